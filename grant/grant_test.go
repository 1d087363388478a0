package grant_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"lovageshift"
	"lovageshift/grant"
)

const (
	lease   lovageshift.Millis = 3_000
	transit lovageshift.Millis = 2_000
)

// spending is tokens that a request used, at the time it reached its target.
type spending struct {
	at     lovageshift.Millis
	tokens lovageshift.Tokens
}

// running is a request under way in the model.
type running struct {
	wallet *grant.LeaseCache
	charge *grant.Charge
	used   lovageshift.Tokens
	ends   lovageshift.Millis
}

// model is one share with its keeper and several entries, whose messages get lost, late or doubled.
type model struct {
	random   *rand.Rand
	now      lovageshift.Millis
	terms    grant.Terms
	keeper   *grant.Issuer
	since    lovageshift.Millis
	wallets  []*grant.LeaseCache
	starts   lovageshift.Incarnation
	running  []running
	spent    []spending
	inFlight []func() // late messages
}

func newModel(t *rapid.T) *model {
	m := &model{
		random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		now:    1_000_000, keeper: grant.NewIssuer(1, lease, transit), since: 1,
	}
	m.terms = grant.Terms{Rate: float64(m.between(1, 400)), Burst: float64(m.between(500, 2000))}
	for range 3 {
		m.wallets = append(m.wallets, m.newWallet())
	}
	return m
}

// between returns a number from least to most; rapid's own numbers are mostly small.
func (m *model) between(least, most int) int { return least + m.random.IntN(most-least+1) }

func (m *model) newWallet() *grant.LeaseCache {
	m.starts++
	return grant.NewLeaseCache(grant.Holder{Entry: "e", Incarnation: m.starts})
}

func (m *model) wallet() *grant.LeaseCache {
	return m.wallets[m.between(0, len(m.wallets)-1)]
}

func (m *model) ask() {
	wallet := m.wallet()
	tokens := lovageshift.Tokens(m.terms.Burst)
	if m.between(0, 2) > 0 {
		tokens = lovageshift.Tokens(m.between(1, int(m.terms.Burst)))
	}
	ask := wallet.NextRequest("a", 0, tokens, 0)
	sentAt, answered := m.now, false
	m.send(func() {
		granted := m.keeper.Grant(m.now, m.since, m.terms, ask)
		if m.between(0, 4) > 0 && !answered {
			answered = true
			wallet.Add(sentAt, "k", ask, granted)
		}
	})
}

func (m *model) take() {
	wallet := m.wallet()
	missing := wallet.Shortfall(m.now, "a", 1<<40)
	live := 1<<40 - missing
	if live == 0 {
		return
	}
	tokens := live
	if m.between(0, 2) == 0 {
		tokens = lovageshift.Tokens(m.between(1, int(live)))
	}
	if charge := wallet.Take(m.now, "a", tokens); charge != nil {
		m.dispatch(wallet, charge)
	}
}

// send delivers a message now, later, twice or never.
func (m *model) send(deliver func()) {
	switch m.between(0, 9) {
	case 0:
	case 1:
		m.inFlight = append(m.inFlight, deliver)
	case 2:
		deliver()
		m.inFlight = append(m.inFlight, deliver)
	default:
		deliver()
	}
}

// dispatch lets a request reach its target up to the transit time after the last check.
func (m *model) dispatch(wallet *grant.LeaseCache, charge *grant.Charge) {
	if !charge.Live(m.now) {
		wallet.Settle(m.now, charge, 0)
		return
	}
	late := lovageshift.Millis(m.between(0, int(transit)))
	used := charge.Tokens
	if m.between(0, 1) == 0 {
		used = lovageshift.Tokens(m.between(0, int(charge.Tokens)))
	}
	length := lovageshift.Millis(m.between(0, 30_000))
	m.running = append(m.running, running{wallet, charge, used, m.now + late + length})
	m.spent = append(m.spent, spending{m.now + late, used})
}

func (m *model) tick() {
	m.now += lovageshift.Millis(m.between(1, 1_200))
	var left []running
	for _, r := range m.running {
		if r.ends > m.now {
			left = append(left, r)
			continue
		}
		r.wallet.Settle(m.now, r.charge, r.used)
	}
	m.running = left
	for _, wallet := range m.wallets {
		for _, report := range wallet.DueReports(m.now) {
			m.report(wallet, report)
		}
	}
}

func (m *model) report(wallet *grant.LeaseCache, report grant.Report) {
	sentAt, arrived := m.now, false
	m.send(func() {
		arrived = true
		for _, use := range report.Usages {
			m.keeper.ApplyUsage(m.now, use)
		}
	})
	if arrived {
		wallet.ReportDelivered(sentAt, report)
	} else {
		wallet.ReportFailed(m.now, report)
	}
}

func (m *model) deliverLate() {
	if len(m.inFlight) > 0 {
		deliver := m.inFlight[0]
		m.inFlight = m.inFlight[1:]
		deliver()
	}
}

func (m *model) restartKeeper() {
	m.keeper = grant.NewIssuer(lovageshift.Incarnation(m.now), lease, transit)
	m.since = m.now
}

func (m *model) restartEntry() {
	m.wallets[m.between(0, len(m.wallets)-1)] = m.newWallet()
}

// overAdmission returns how many tokens any window holds beyond burst plus rate times its length.
func (m *model) overAdmission() float64 {
	worst := 0.0
	for _, first := range m.spent {
		for _, last := range m.spent {
			if last.at < first.at {
				continue
			}
			sum := 0.0
			for _, one := range m.spent {
				if one.at >= first.at && one.at <= last.at {
					sum += float64(one.tokens)
				}
			}
			allowed := m.terms.Burst + m.terms.Rate*(last.at-first.at).Seconds()
			worst = max(worst, sum-allowed)
		}
	}
	return worst
}

func TestNoWindowExceedsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range 400 {
			switch m.between(0, 24) {
			case 0:
				if m.between(0, 3) == 0 {
					m.restartKeeper()
				}
			case 1:
				if m.between(0, 3) == 0 {
					m.restartEntry()
				}
			case 2, 3:
				m.deliverLate()
			case 4:
				m.keeper.Sweep(m.now)
			case 5, 6, 7, 8:
				m.tick()
			case 9, 10, 11, 12, 13:
				m.ask()
			default:
				m.take()
			}
		}
		if over := m.overAdmission(); over > 1 {
			t.Fatalf("a window holds %.0f tokens too many", over)
		}
	})
}

func TestKeeper(t *testing.T) {
	terms := grant.Terms{Rate: 100, Burst: 1000}
	ask := func(id grant.LeaseID, tokens lovageshift.Tokens) grant.LeaseRequest {
		return grant.LeaseRequest{Holder: grant.Holder{Entry: "e", Incarnation: 1}, Lease: id, Account: "a", Tokens: tokens}
	}
	Convey("A keeper", t, func() {
		keeper := grant.NewIssuer(1, lease, transit)
		Convey("grants nothing until no earlier lease can be alive, and then starts empty", func() {
			So(keeper.Grant(4_999, 0, terms, ask(1, 10)).Tokens, ShouldEqual, 0)
			So(keeper.Grant(5_000, 0, terms, ask(2, 10)).Tokens, ShouldEqual, 0)
			So(keeper.Grant(6_000, 0, terms, ask(3, 1000)).Tokens, ShouldEqual, 100)
		})
		Convey("says when the rest may be there", func() {
			wait := keeper.Grant(6_000, 0, terms, ask(1, 600)).RetryAfter
			So(wait, ShouldBeBetween, 4_900, 5_100)
		})
		Convey("grants a doubled ask once", func() {
			first := keeper.Grant(60_000, 0, terms, ask(1, 600))
			again := keeper.Grant(60_000, 0, terms, ask(1, 600))
			So(again.Tokens, ShouldEqual, first.Tokens)
			So(keeper.Grant(60_000, 0, terms, ask(2, 1000)).Tokens, ShouldEqual, 400)
		})
		Convey("takes a refund back once", func() {
			keeper.Grant(60_000, 0, terms, ask(1, 1000))
			use := grant.Usage{Holder: grant.Holder{Entry: "e", Incarnation: 1}, IssuerIncarnation: 1, Lease: 1, Account: "a", Used: 100, Returned: 900}
			keeper.ApplyUsage(60_000, use)
			keeper.ApplyUsage(60_000, use)
			So(keeper.Grant(60_000, 0, terms, ask(2, 1000)).Tokens, ShouldEqual, 900)
		})
		Convey("forgets untouched shares", func() {
			keeper.Grant(60_000, 0, terms, ask(1, 10))
			keeper.Sweep(120_000)
			So(keeper.Buckets(), ShouldEqual, 0)
		})
	})
}

func TestLease(t *testing.T) {
	asker := grant.Holder{Entry: "e", Incarnation: 1}
	Convey("A lease", t, func() {
		wallet := grant.NewLeaseCache(asker)
		ask := wallet.NextRequest("a", 0, 1000, 0)
		Convey("is spent only for its time since it was asked for", func() {
			wallet.Add(10_000, "k", ask, grant.Grant{Lease: ask.Lease, Tokens: 1000, TTL: lease})
			So(wallet.Take(12_900, "a", 10), ShouldNotBeNil)
			So(wallet.Take(13_000, "a", 10), ShouldBeNil)
		})
		Convey("serves a refund again while it lives and returns it afterwards", func() {
			wallet.Add(10_000, "k", ask, grant.Grant{Lease: ask.Lease, Tokens: 1000, TTL: lease})
			charge := wallet.Take(10_100, "a", 1000)
			wallet.Settle(10_200, charge, 100)
			So(wallet.Shortfall(10_300, "a", 900), ShouldEqual, 0)
			charge = wallet.Take(10_400, "a", 900)
			wallet.Settle(20_000, charge, 100)
			So(wallet.Shortfall(20_000, "a", 1), ShouldEqual, 1)
			So(wallet.DueReports(20_200)[0].Usages[0].Returned, ShouldEqual, 800)
		})
		Convey("whose unspent tokens the keeper gave up brings them back no more", func() {
			keeper := grant.NewIssuer(1, lease, transit)
			terms := grant.Terms{Rate: 100, Burst: 1000}
			keeper.Grant(60_000, 0, terms, grant.LeaseRequest{Holder: asker, Lease: 1, Account: "a", Tokens: 1000})
			use := grant.Usage{Holder: asker, IssuerIncarnation: 1, Lease: 1, Account: "a", InFlight: 400}
			keeper.ApplyUsage(61_000, use)
			// At 65 s the 600 unspent ones are given up; 3 s later 300 have come anew.
			So(keeper.Grant(68_000, 0, terms, grant.LeaseRequest{Holder: asker, Lease: 2, Account: "a", Tokens: 1000}).Tokens, ShouldEqual, 300)
			use.InFlight, use.Used, use.Returned = 0, 400, 600
			keeper.ApplyUsage(68_000, use)
			So(keeper.Grant(68_000, 0, terms, grant.LeaseRequest{Holder: asker, Lease: 3, Account: "a", Tokens: 1000}).Tokens, ShouldEqual, 0)
		})
	})
}
