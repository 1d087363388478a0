package placement_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
	"lovageshift/quota"
)

// client is an account that sends a request of about output tokens in each interval, and may repeat refused ones at once.
// Without an interval it has, from a time on, more requests waiting at each step than there are slots.
type client struct {
	weight         float64
	output         lovageshift.Tokens
	interval, from lovageshift.Millis
	repeats        bool

	sent, refused, repeated, aboveShare int
	waiting                             []*submission
	served, atStart                     float64 // work, in tokens
}

const (
	shareSlots                      = 20
	shareStep    lovageshift.Millis = 5
	shareRuntime lovageshift.Millis = 6_000
)

// playShares lets the clients send to one coordinator, whose targets take a millisecond for a token. It calls check after each
// step, and returns in how many steps a slot was free while a request waited.
func playShares(clients []*client, check func(now lovageshift.Millis)) (unused int) {
	random := rand.New(rand.NewPCG(7, 1))
	s := newScheduler(&catalog.Service{ID: pool, Engine: true}, targets(4, shareSlots/4)...)
	ends := map[lovageshift.Millis][]*submission{}
	running := 0
	for now := shareStep; now < shareRuntime; now += shareStep {
		for _, sub := range ends[now] {
			running--
			s.Release(now, sub.Slot, placement.Result{Outcome: placement.Served, FirstEvent: 20})
		}
		for i, c := range clients {
			for range c.due(now) {
				job := &placement.Job{Account: quota.AccountHash(i + 1), Weight: c.weight, Arrived: now, Objective: 1000}
				job.ExpectedOutput = c.output*3/4 + lovageshift.Tokens(random.IntN(int(c.output/2)))
				job.RefusedBefore = c.repeats && c.repeated < c.refused
				c.repeated += min(c.refused-c.repeated, 1)
				job.LimitWait()
				if c.interval == 0 {
					job.QueueDeadline = shareRuntime
				}
				c.waiting = append(c.waiting, submit(s, now, job))
			}
		}
		s.Tick(now)
		waiting := 0
		for _, c := range clients {
			c.waiting = slices.DeleteFunc(c.waiting, func(sub *submission) bool {
				if sub.Slot != nil {
					running++
					c.served += float64(1 + sub.job.ExpectedOutput)
					end := (now + lovageshift.Millis(sub.job.ExpectedOutput)) / shareStep * shareStep
					ends[end] = append(ends[end], sub)
				} else if sub.Refusal != nil {
					c.refused++
					if sub.Refusal.AboveShare {
						c.aboveShare++
					}
				}
				return sub.Slot != nil || sub.Refusal != nil
			})
			waiting += len(c.waiting)
		}
		if waiting > 0 && running < shareSlots {
			unused++
		}
		check(now)
	}
	return unused
}

// due returns how many requests the client sends now.
func (c *client) due(now lovageshift.Millis) int {
	if c.interval == 0 && now >= c.from {
		return max(shareSlots+1-len(c.waiting), 0)
	}
	count := 0
	for ; c.interval > 0 && now >= lovageshift.Millis(c.sent)*c.interval; c.sent++ {
		count++
	}
	if c.repeats {
		count += c.refused - c.repeated
	}
	return count
}

// TestAccountsWithinTheirSharesAreServed guards against slots that go to the account that sends and retries the most. Of 20
// slots that each serve a request in 300 ms, each of five equal accounts has a share of 13.3 requests a second. A request of an
// account within its share waits for one of each other account, which takes 75 ms of the 500 that it may wait.
func TestAccountsWithinTheirSharesAreServed(t *testing.T) {
	Convey("An account that sends four times its share, and repeats at once, costs the others no request", t, func() {
		clients := []*client{{interval: 19, output: 300, repeats: true}}
		for range 4 {
			clients = append(clients, &client{interval: 90, output: 300})
		}
		So(playShares(clients, func(lovageshift.Millis) {}), ShouldEqual, 0)
		for _, small := range clients[1:] {
			So(small.refused, ShouldEqual, 0)
		}
		So(clients[0].aboveShare, ShouldBeGreaterThan, 0)
		So(clients[0].served, ShouldBeGreaterThan, clients[1].served)
	})
}

// TestSlotsAreSharedByWeight guards against slots that go to the account with the largest or the most requests, and against
// credit for having been idle. Of two accounts that always have a request waiting, neither is served more for its weight,
// in any time, than one request of each (the bound of start-time fair queueing).
func TestSlotsAreSharedByWeight(t *testing.T) {
	Convey("The weight is the rate divided by the mean rate in the same unit, and 1 without a rate", t, func() {
		accounts := []*catalog.Account{{ID: "a", Rate: 30}, {ID: "b", Rate: 10}, {ID: "c"}, {ID: "d", Rate: 7, PerRequest: true}, nil}
		published := catalog.New(1, catalog.Limits{}, nil, accounts[:4], nil)
		for i, weight := range []float64{1.5, 0.5, 1, 1, 1} {
			So(published.WeightOf(accounts[i]), ShouldEqual, weight)
		}
	})
	for name, clients := range map[string][]*client{
		"large and small requests": {{weight: 1, output: 1200}, {weight: 1, output: 60}},
		"unequal weights":          {{weight: 3, output: 300}, {weight: 1, output: 300}, {weight: 0.5, output: 100}},
		"one was idle":             {{weight: 1, output: 200}, {weight: 2, output: 300}, {weight: 1, output: 250, from: 3_000}},
	} {
		Convey("Of accounts with waiting requests, each gets its share: "+name, t, func() {
			worst := 0.0 // the most that one was ahead, as a share of the bound
			playShares(clients, func(now lovageshift.Millis) {
				for _, a := range clients {
					for _, b := range clients {
						if now <= max(a.from, b.from, shareStep) {
							a.atStart, b.atStart = a.served, b.served
							continue
						}
						bound := float64(a.output)/a.weight*5/4 + float64(b.output)/b.weight*5/4
						worst = max(worst, ((a.served-a.atStart)/a.weight-(b.served-b.atStart)/b.weight)/bound)
					}
				}
			})
			So(worst, ShouldBeLessThanOrEqualTo, 1)
		})
	}
}
