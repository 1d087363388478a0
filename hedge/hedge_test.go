package hedge_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/hedge"
)

const (
	share                        = 0.2
	objective lovageshift.Millis = 200
	targets                      = 10
	interval  lovageshift.Millis = 4 // between two requests
	requests                     = 10_000
)

// play plays requests at random targets, in virtual time. It returns, for the second half of them, how many took longer than the
// objective without and with second attempts, and the number of second attempts.
func play(waited lovageshift.Millis, serve func(now, usual lovageshift.Millis, target int) lovageshift.Millis) (alone, hedged, sent int) {
	p, random := hedge.New(share), rand.New(rand.NewPCG(1, 2))
	took := func(now lovageshift.Millis, target int) lovageshift.Millis {
		return serve(now, 20+lovageshift.Millis(random.IntN(21)), target)
	}
	due := map[lovageshift.Millis][]func(now lovageshift.Millis){}
	for number := range requests {
		for now := interval * lovageshift.Millis(number); now < interval*lovageshift.Millis(number+1); now++ {
			for _, event := range due[now] {
				event(now)
			}
		}
		now := interval * lovageshift.Millis(number+1)
		p.RecordRequest(now, "pool")
		p.RecordSlot(now, "pool", objective, waited, false)
		a := hedge.Attempt{Service: "pool", Objective: objective, SentAt: now, Deadline: now + 2000}
		target := random.IntN(targets)
		first := took(now, target)
		due[now+first] = append(due[now+first], func(at lovageshift.Millis) { p.RecordFirstByte(at, "pool", 0, first) })
		counts := number >= requests/2
		isLate := counts && first > objective
		if isLate {
			alone++
			hedged++
		}
		if delay, ok := p.Delay(now, a); ok && delay < first {
			due[now+delay] = append(due[now+delay], func(at lovageshift.Millis) {
				if p.Allow(at, a) != hedge.Allowed {
					return
				}
				if counts {
					sent++
				}
				if isLate && delay+took(at, (target+1+random.IntN(targets-1))%targets) <= objective {
					hedged--
				}
			})
		}
	}
	return alone, hedged, sent
}

func TestLoads(t *testing.T) {
	for _, load := range []struct {
		name   string
		serve  func(now, usual lovageshift.Millis, target int) lovageshift.Millis
		waited lovageshift.Millis
		helps  bool // at most a fifth of the late responses may stay late
		never  bool // no second attempt may be sent
	}{
		{name: "one target in ten is slow", helps: true, serve: func(_, usual lovageshift.Millis, target int) lovageshift.Millis {
			return usual * lovageshift.Millis(max(10-10*target, 1))
		}},
		{name: "one target pauses for 1 s in 5 s", helps: true, serve: func(now, usual lovageshift.Millis, target int) lovageshift.Millis {
			return usual + max(1000-now%5000, 0)*lovageshift.Millis(max(1-target, 0))
		}},
		{name: "all targets turn slow", serve: func(now, usual lovageshift.Millis, _ int) lovageshift.Millis {
			return usual * (1 + 9*min(now/20_000, 1))
		}},
		{name: "requests wait for slots", never: true, waited: objective / 2, serve: func(_, usual lovageshift.Millis, _ int) lovageshift.Millis {
			return 5 * usual
		}},
	} {
		Convey("The share of second attempts is kept when "+load.name, t, func() {
			alone, hedged, sent := play(load.waited, load.serve)
			So(sent, ShouldBeLessThanOrEqualTo, int(share*requests/2))
			So(sent == 0, ShouldEqual, load.never)
			if load.helps {
				So(alone, ShouldBeGreaterThan, 0)
				So(hedged, ShouldBeLessThanOrEqualTo, alone/5)
			}
		})
	}
}

func TestWhenNoSecondAttemptIsSent(t *testing.T) {
	Convey("None is due without measured times, in the last part of the time to the deadline or after a refusal", t, func() {
		p := hedge.New(0.5)
		a := hedge.Attempt{Service: "pool", Size: hedge.ClassOf(1000), Objective: objective, SentAt: 1000, Deadline: 1400}
		_, due := p.Delay(1000, a)
		So(due, ShouldBeFalse)
		for number := range 300 { // more series than are kept
			service := catalog.ServiceID(rune(number))
			for range 50 {
				p.RecordRequest(900, "pool")
				p.RecordFirstByte(900, "pool", a.Size, 100)
				p.RecordFirstByte(900, service, 0, 100)
			}
		}
		_, due = p.Delay(1000, hedge.Attempt{Service: catalog.ServiceID(rune(299)), SentAt: 1000})
		So(due, ShouldBeFalse)
		delay, due := p.Delay(1001, a)
		So(due, ShouldBeTrue)
		So(delay, ShouldBeBetween, 90, 110)
		So(p.Allow(1100, a), ShouldEqual, hedge.Allowed)
		So(p.Allow(1301, a), ShouldEqual, hedge.Late)
		p.RecordSlot(1100, "pool", objective, 0, true)
		So(p.Allow(1150, a), ShouldEqual, hedge.NoCapacity)
		a.Deadline = 1250
		_, due = p.Delay(1001, a) // less than two medians would be left
		So(due, ShouldBeFalse)
	})
}
