package admission_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"lovageshift"
	"lovageshift/admission"
)

func dispatchID(incarnation lovageshift.Incarnation, sequence uint64) lovageshift.DispatchID {
	return lovageshift.DispatchID{Entry: "e", Incarnation: incarnation, Sequence: sequence}
}

// TestReplayWindowAcceptsOnce sends duplicated and delayed dispatches of several incarnations of an entry. No dispatch may be
// accepted twice. No duplicate of an accepted dispatch may be refused as not run, as the entry would then send the request
// again although it has run.
func TestReplayWindowAcceptsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := admission.NewReplayWindow(2_000)
		accepted := map[lovageshift.DispatchID]int{}
		now := lovageshift.Millis(10_000)
		for range rapid.IntRange(1, 300).Draw(t, "messages") {
			now += lovageshift.Millis(rapid.IntRange(0, 50).Draw(t, "tick"))
			dispatch := dispatchID(lovageshift.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")),
				uint64(rapid.IntRange(1, 6_000).Draw(t, "sequence")))
			delay := lovageshift.Millis(rapid.IntRange(0, 4_000).Draw(t, "delay"))
			refusal := window.Accept(now, dispatch, now-delay)
			if refusal == nil {
				accepted[dispatch]++
			}
			if accepted[dispatch] > 1 {
				t.Fatalf("%s was accepted twice", dispatch)
			}
			seen := accepted[dispatch] > 0
			if refusal != nil && refusal.Outcome == lovageshift.OutcomeNotRun && seen {
				t.Fatalf("%s was accepted earlier and is now refused as not run", dispatch)
			}
		}
	})
}

func TestReplayWindow(t *testing.T) {
	Convey("A replay window", t, func() {
		window := admission.NewReplayWindow(2_000)
		window.ObserveEntry(10_000, "e", 5, 1_000)
		Convey("refuses a dispatch that was in transit for too long, even if it is no duplicate", func() {
			So(window.Accept(20_000, dispatchID(5, 1), 8_500).Reason, ShouldEqual, lovageshift.ReasonStaleDispatch)
		})
		Convey("refuses a dispatch of an older incarnation", func() {
			So(window.Accept(10_001, dispatchID(6, 1), 1_001), ShouldBeNil)
			So(window.Accept(10_002, dispatchID(5, 1), 1_002).Reason, ShouldEqual, lovageshift.ReasonOldIncarnation)
		})
		Convey("refuses a sequence number too far below the highest as a duplicate", func() {
			So(window.Accept(10_001, dispatchID(5, 9_000), 1_001), ShouldBeNil)
			So(window.Accept(10_002, dispatchID(5, 1), 1_002).Reason, ShouldEqual, lovageshift.ReasonDuplicate)
		})
	})
}

func newRequest(rank lovageshift.Rank, account lovageshift.AccountID) *admission.Request {
	return &admission.Request{Rank: rank, Account: account, PromptTokens: 10, OutputLimit: 10, Deadline: 1 << 40}
}

// TestNoHigherTierIsShedFirst offers each request to several queues in turn, as entries do. No request may be displaced by
// one of a lower tier, or be refused by all queues while a request of a lower tier waits in any of them.
func TestNoHigherTierIsShedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queues []*admission.Queue
		for range 3 {
			queues = append(queues, admission.NewQueue(admission.NewConcurrencyLimiter(1, 2), rapid.IntRange(0, 4).Draw(t, "max waiting")))
		}
		now := lovageshift.Millis(1)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now++
			if rapid.IntRange(0, 3).Draw(t, "step") == 0 {
				finishOne(t, now, queues)
				continue
			}
			arrive(t, now, queues, newRequest(lovageshift.Rank(rapid.IntRange(1, 3).Draw(t, "rank")), "a"))
		}
	})
}

// finishOne finishes a request that runs in a random queue, if any does, and admits the next one there.
func finishOne(t *rapid.T, now lovageshift.Millis, queues []*admission.Queue) {
	queue := queues[rapid.IntRange(0, len(queues)-1).Draw(t, "queue")]
	for _, running := range queue.RunningRequests() {
		queue.Finish(now, running, admission.Result{Complete: true})
		break
	}
	queue.Admit(now)
}

// arrive offers the request to one queue after the other until one takes it. A displaced request isn't offered again.
func arrive(t *rapid.T, now lovageshift.Millis, queues []*admission.Queue, arrival *admission.Request) {
	for _, queue := range queues {
		displaced, refusal := queue.Enqueue(now, arrival)
		queue.Admit(now)
		if displaced != nil && displaced.Rank < arrival.Rank {
			t.Fatalf("a request of rank %d was displaced by one of rank %d", displaced.Rank, arrival.Rank)
		}
		if refusal == nil {
			return
		}
	}
	for _, queue := range queues {
		for _, waiting := range queue.Waiting() {
			if waiting.Rank > arrival.Rank {
				t.Fatalf("a request of rank %d was refused by all queues while one of rank %d waits", arrival.Rank, waiting.Rank)
			}
		}
	}
}

// TestColdTargetRunsNoMoreThanItsLimit resets the limiter at random times. After each reset the target may run as many
// requests as the cold limit, and one more for each complete answer to a request admitted since the reset. Complete answers
// to requests admitted earlier must not raise the limit, as they say nothing about the engine after the reset.
func TestColdTargetRunsNoMoreThanItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cold := rapid.IntRange(1, 4).Draw(t, "cold")
		limiter := admission.NewConcurrencyLimiter(cold, 16)
		queue := admission.NewQueue(limiter, 64)
		complete, admittedBeforeReset := 0, map[*admission.Request]bool{}
		now := lovageshift.Millis(1)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now++
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				limiter.ResetToCold()
				complete, admittedBeforeReset = 0, map[*admission.Request]bool{}
				for _, running := range queue.RunningRequests() {
					admittedBeforeReset[running] = true
				}
			case 1, 2, 3:
				for _, running := range queue.RunningRequests() {
					queue.Finish(now, running, admission.Result{Complete: true})
					if !admittedBeforeReset[running] {
						complete++
					}
					break
				}
			default:
				_, _ = queue.Enqueue(now, newRequest(1, "a"))
			}
			started, _ := queue.Admit(now)
			if len(started) > 0 && queue.Running() > min(cold+complete, 16) {
				t.Fatalf("%d requests run, but the limit is at most %d", queue.Running(), cold+complete)
			}
		}
	})
}

func TestQueue(t *testing.T) {
	Convey("A queue", t, func() {
		limiter := admission.NewConcurrencyLimiter(1, 4)
		queue := admission.NewQueue(limiter, 2)
		Convey("admits, within a tier, a request of the account that has been served least", func() {
			first := newRequest(2, "greedy")
			_, _ = queue.Enqueue(1, first)
			queue.Admit(1)
			greedy, modest := newRequest(2, "greedy"), newRequest(2, "modest")
			_, _ = queue.Enqueue(2, greedy)
			_, _ = queue.Enqueue(2, modest)
			queue.Finish(3, first, admission.Result{OutputTokens: 100})
			started, _ := queue.Admit(3)
			So(started, ShouldResemble, []*admission.Request{modest})
		})
		Convey("drops a waiting request that can no longer meet its deadline, so that no prefill is spent on it", func() {
			unmeetable := newRequest(1, "a")
			unmeetable.Deadline = 5
			_, _ = queue.Enqueue(1, newRequest(1, "a"))
			queue.Admit(1)
			_, _ = queue.Enqueue(1, unmeetable)
			_, dropped := queue.Admit(6)
			So(dropped, ShouldResemble, []*admission.Request{unmeetable})
		})
		Convey("runs no other request at the same time as one that must run alone", func() {
			limiter.SetLimits(4, 4)
			alone := newRequest(1, "a")
			alone.Alone = true
			_, _ = queue.Enqueue(1, alone)
			_, _ = queue.Enqueue(1, newRequest(1, "b"))
			started, _ := queue.Admit(1)
			So(started, ShouldResemble, []*admission.Request{alone})
		})
	})
	Convey("A warm target is cold again after a first token that comes much later than its prefill speed suggests", t, func() {
		limiter := admission.NewConcurrencyLimiter(1, 2)
		limiter.ObserveCompletion(limiter.Epoch())
		limiter.ObservePrefill(1000, 100)
		So(limiter.Cold(), ShouldBeFalse)
		So(limiter.ObserveFirstToken(1000, 2_000), ShouldBeTrue)
		So(limiter.Limit(), ShouldEqual, 1)
	})
}
