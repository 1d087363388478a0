package placement_test

import (
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
	"lovageshift/quota"
)

// client is an account of which interval is the mean time between two requests, and output their size. A backlogged client
// has, from a time on, more requests waiting at the start of each step than there are slots; the others repeat each refused request after retryAfter, unless it is 0.
type client struct {
	weight             float64
	interval           lovageshift.Millis
	output             lovageshift.Tokens
	backlogged         bool
	from, retryAfter   lovageshift.Millis
	refused, submitted int
	served, atStart    float64 // work in tokens
	waiting            []*submission
	repeats            []lovageshift.Millis
	next               lovageshift.Millis
}

const (
	shareSlots                      = 20
	shareStep    lovageshift.Millis = 5
	shareRuntime lovageshift.Millis = 6_000
)

// playShares lets the clients send to one coordinator, whose targets take a millisecond for a token. It calls check after each
// step with the number of the running requests.
func playShares(clients []*client, check func(now lovageshift.Millis, running int)) {
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
			c.send(random, now, func(job placement.Job) {
				job.Account, job.Weight = quota.AccountHash(i+1), c.weight
				job.ExpectedOutput = c.output*3/4 + lovageshift.Tokens(random.IntN(int(c.output/2)))
				job.Arrived, job.Objective = now, 1000
				job.LimitWait()
				if c.backlogged {
					job.QueueDeadline = shareRuntime
				}
				c.waiting = append(c.waiting, submit(s, now, &job))
			})
		}
		s.Tick(now)
		for _, c := range clients {
			var waiting []*submission
			for _, sub := range c.waiting {
				switch {
				case sub.Slot != nil:
					running++
					c.served += float64(1 + sub.job.ExpectedOutput)
					end := now + lovageshift.Millis(sub.job.ExpectedOutput)
					ends[end-end%shareStep] = append(ends[end-end%shareStep], sub)
				case sub.Refusal != nil:
					c.refused++
					c.repeats = append(c.repeats, now+c.retryAfter)
				default:
					waiting = append(waiting, sub)
				}
			}
			c.waiting = waiting
		}
		check(now, running)
	}
}

func (c *client) send(random *rand.Rand, now lovageshift.Millis, submit func(placement.Job)) {
	for c.backlogged && now >= c.from && len(c.waiting) <= shareSlots {
		submit(placement.Job{})
	}
	for len(c.repeats) > 0 && c.repeats[0] < now && c.retryAfter > 0 {
		c.repeats = c.repeats[1:]
		submit(placement.Job{RefusedBefore: true})
	}
	for ; !c.backlogged && now >= c.next; c.next += c.interval/2 + lovageshift.Millis(random.IntN(int(c.interval))) {
		c.submitted++
		submit(placement.Job{})
	}
}

// TestAccountsWithinTheirSharesAreServed guards against slots that go to the account that sends and retries the most. Of 20
// slots that each serve a request in 300 ms, each of five equal accounts has a share of 13.3 requests a second. A request of an
// account within its share waits for one of each other account, which takes 75 ms of the 500 that it may wait.
func TestAccountsWithinTheirSharesAreServed(t *testing.T) {
	Convey("An account that sends four times its share, and repeats at once, costs the others no request", t, func() {
		large := &client{interval: 19, output: 300, retryAfter: shareStep}
		clients := []*client{large}
		for range 4 {
			clients = append(clients, &client{interval: 90, output: 300})
		}
		idle := 0
		playShares(clients, func(_ lovageshift.Millis, running int) {
			for _, c := range clients {
				if len(c.waiting) > 0 && running < shareSlots {
					idle++
				}
			}
		})
		So(idle, ShouldEqual, 0)
		for _, small := range clients[1:] {
			So(small.refused, ShouldEqual, 0)
		}
		So(large.served, ShouldBeGreaterThan, clients[1].served)
	})
}

// TestSlotsAreSharedByWeight guards against slots that go to the account with the largest or the most requests, and against
// credit for having been idle. Of two accounts that always have a request waiting, neither is served more for its weight,
// in any time, than one request of each (the bound of start-time fair queueing).
func TestSlotsAreSharedByWeight(t *testing.T) {
	for name, clients := range map[string][]*client{
		"large and small requests": {{weight: 1, output: 1200}, {weight: 1, output: 60}},
		"unequal weights":          {{weight: 3, output: 300}, {weight: 1, output: 300}, {weight: 0.5, output: 100}},
		"one was idle":             {{weight: 1, output: 200}, {weight: 2, output: 300}, {weight: 1, output: 250, from: 3_000}},
	} {
		Convey("Of accounts with waiting requests, each gets its share: "+name, t, func() {
			worst := math.Inf(-1)
			for _, c := range clients {
				c.backlogged = true
			}
			playShares(clients, func(now lovageshift.Millis, _ int) {
				for _, a := range clients {
					for _, b := range clients {
						if now <= max(a.from, b.from, shareStep) {
							a.atStart, b.atStart = a.served, b.served
							continue
						}
						most := float64(a.output)/a.weight*5/4 + float64(b.output)/b.weight*5/4
						ahead := (a.served-a.atStart)/a.weight - (b.served-b.atStart)/b.weight
						worst = max(worst, ahead/most)
					}
				}
			})
			So(worst, ShouldBeLessThanOrEqualTo, 1)
		})
	}
}
