package quota_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/quota"
)

const (
	rate  = 1000
	burst = 1000
)

func account() *catalog.Account {
	return &catalog.Account{ID: "acme", Rate: rate, Burst: burst, DefaultCharge: 10}
}

func accounts() map[lovageshift.AccountID]*catalog.Account {
	return map[lovageshift.AccountID]*catalog.Account{"acme": account()}
}

// fleet is several entries that tell each other of their charges, late.
type fleet struct {
	meters []*quota.Meter
	told   []map[int]quota.Usage // what each entry last heard of each other
	now    lovageshift.Millis
}

func newFleet(count int, tolerance quota.Tolerance) *fleet {
	f := &fleet{now: 1}
	for range count {
		meter := quota.NewMeter(tolerance)
		meter.SetAccounts(f.now, accounts())
		f.meters = append(f.meters, meter)
		f.told = append(f.told, map[int]quota.Usage{})
	}
	return f
}

// tell passes the news of each entry to all others.
func (f *fleet) tell() {
	for from, meter := range f.meters {
		use := meter.Usages(f.now)[0]
		for to, other := range f.meters {
			if to != from {
				last := f.told[to][from]
				other.ApplyRemoteUsage(f.now, use.Account, use.Used-last.Used, use.Declared-last.Declared)
				f.told[to][from] = use
			}
		}
	}
}

func TestCharge(t *testing.T) {
	Convey("A bucket starts empty, fills at the rate and holds the burst", t, func() {
		meter := quota.NewMeter(quota.Tolerance{})
		meter.SetAccounts(1, accounts())
		wait, ok := meter.Charge(1, account(), 500, 0)
		So(ok, ShouldBeFalse)
		So(wait, ShouldBeBetween, 499, 503)
		_, ok = meter.Charge(501, account(), 500, 0)
		So(ok, ShouldBeTrue)
		_, ok = meter.Charge(60_000, account(), burst, 0)
		So(ok, ShouldBeTrue)
		_, ok = meter.Charge(60_000, account(), 1, 0)
		So(ok, ShouldBeFalse)
	})
	Convey("A short wait for tokens is granted in advance, a long one is not", t, func() {
		meter := quota.NewMeter(quota.Tolerance{})
		meter.SetAccounts(1, accounts())
		wait, ok := meter.Charge(1, account(), 100, 150)
		So(ok, ShouldBeTrue)
		So(wait, ShouldBeBetween, 99, 103)
		_, ok = meter.Charge(1, account(), 100, 150)
		So(ok, ShouldBeFalse)
	})
	Convey("What was declared and not used is given back, within the tolerance for declared tokens", t, func() {
		meter := quota.NewMeter(quota.Tolerance{Overshoot: 1})
		meter.SetAccounts(1, accounts())
		_, ok := meter.Charge(1001, account(), 1000, 0)
		So(ok, ShouldBeTrue)
		meter.Settle(account(), 900)
		_, ok = meter.Charge(1001, account(), 500, 0)
		So(ok, ShouldBeTrue)
		meter.Settle(account(), 450)
		_, ok = meter.Charge(1001, account(), 100, 0)
		So(ok, ShouldBeFalse)
	})
	Convey("A request that did not run costs nothing", t, func() {
		meter := quota.NewMeter(quota.Tolerance{})
		meter.SetAccounts(1, accounts())
		_, ok := meter.Charge(1001, account(), 1000, 0)
		So(ok, ShouldBeTrue)
		meter.Refund(account(), 1000)
		_, ok = meter.Charge(1001, account(), 1000, 0)
		So(ok, ShouldBeTrue)
	})
	Convey("A request above the burst passes a full bucket and is paid off afterwards", t, func() {
		meter := quota.NewMeter(quota.Tolerance{})
		meter.SetAccounts(1, accounts())
		_, ok := meter.Charge(5000, account(), 3*burst, 0)
		So(ok, ShouldBeTrue)
		wait, ok := meter.Charge(5000, account(), 1, 0)
		So(ok, ShouldBeFalse)
		So(wait, ShouldBeGreaterThan, 1900)
	})
	Convey("A new entry takes over what the others believe to be left", t, func() {
		old, fresh := quota.NewMeter(quota.Tolerance{}), quota.NewMeter(quota.Tolerance{})
		old.SetAccounts(1, accounts())
		fresh.SetAccounts(10_000, accounts())
		fresh.AdoptLevels(10_000, old.Usages(10_000)[0])
		_, ok := fresh.Charge(10_000, account(), burst, 0)
		So(ok, ShouldBeTrue)
	})
}

// TestDeclaredTokensInAnyWindow plays entries that send as much as they may, hear of each other late, are cut off and
// restart, and checks the bound that operators set for any window over all of them.
func TestDeclaredTokensInAnyWindow(t *testing.T) {
	const (
		window      = 8000
		overshoot   = 0.25
		slack       = 400
		step        = 20
		news        = 100
		maxRequest  = 60
		stretchPart = 1.25
	)
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 5).Draw(t, "entries")
		f := newFleet(count, quota.Tolerance{Overshoot: overshoot, Slack: slack})
		cut := rapid.Bool().Draw(t, "cut")
		restart := rapid.IntRange(0, 400).Draw(t, "restart")
		type sent struct {
			at     lovageshift.Millis
			tokens lovageshift.Tokens
		}
		var all []sent
		for tick := range 800 {
			f.now += step
			if f.now%news < step && !cut {
				f.tell()
			}
			if cut {
				for _, meter := range f.meters {
					meter.SetFraction(f.now, 1/float64(count))
				}
			}
			if tick == restart {
				f.meters[0] = quota.NewMeter(quota.Tolerance{Overshoot: overshoot, Slack: slack})
				f.meters[0].SetAccounts(f.now, accounts())
				for other := range f.told {
					delete(f.told[other], 0)
				}
			}
			for _, meter := range f.meters {
				tokens := lovageshift.Tokens(rapid.IntRange(1, maxRequest).Draw(t, "tokens"))
				if _, ok := meter.Charge(f.now, account(), tokens, 0); ok {
					all = append(all, sent{f.now, tokens})
					meter.Settle(account(), tokens/2)
				}
			}
		}
		first, total := 0, lovageshift.Tokens(0)
		for _, request := range all {
			total += request.tokens
			for all[first].at <= request.at-window {
				total -= all[first].tokens
				first++
			}
			if float64(total) > (rate*window/1000+burst)*stretchPart+slack {
				t.Fatalf("%d tokens in a window", total)
			}
		}
	})
}
