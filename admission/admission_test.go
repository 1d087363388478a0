package admission_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"lovageshift"
	"lovageshift/admission"
)

func id(incarnation lovageshift.Incarnation, sequence uint64) lovageshift.DispatchID {
	return lovageshift.DispatchID{Entry: "e", Incarnation: incarnation, Sequence: sequence}
}

func TestWindowAcceptsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := admission.NewReplayWindow(2_000)
		accepted := map[lovageshift.DispatchID]int{}
		now := lovageshift.Millis(10_000)
		for range rapid.IntRange(1, 300).Draw(t, "messages") {
			now += lovageshift.Millis(rapid.IntRange(0, 50).Draw(t, "tick"))
			message := id(lovageshift.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")),
				uint64(rapid.IntRange(1, 6_000).Draw(t, "sequence")))
			delay := lovageshift.Millis(rapid.IntRange(0, 4_000).Draw(t, "delay"))
			refusal := window.Accept(now, message, now-delay)
			if refusal == nil {
				accepted[message]++
			}
			if accepted[message] > 1 {
				t.Fatalf("%s was accepted twice", message)
			}
			seen := accepted[message] > 0
			if refusal != nil && refusal.Outcome == lovageshift.OutcomeNotRun && seen {
				t.Fatalf("%s ran and was called not run", message)
			}
		}
	})
}

func TestWindow(t *testing.T) {
	Convey("A window", t, func() {
		window := admission.NewReplayWindow(2_000)
		window.ObserveEntry(10_000, "e", 5, 1_000)
		Convey("refuses what was under way too long, also when it was never seen", func() {
			So(window.Accept(20_000, id(5, 1), 8_500).Reason, ShouldEqual, lovageshift.ReasonStaleDispatch)
		})
		Convey("refuses an older incarnation", func() {
			So(window.Accept(10_001, id(6, 1), 1_001), ShouldBeNil)
			So(window.Accept(10_002, id(5, 1), 1_002).Reason, ShouldEqual, lovageshift.ReasonOldIncarnation)
		})
		Convey("refuses what fell out of its memory", func() {
			So(window.Accept(10_001, id(5, 9_000), 1_001), ShouldBeNil)
			So(window.Accept(10_002, id(5, 1), 1_002).Reason, ShouldEqual, lovageshift.ReasonDuplicate)
		})
	})
}

func ticket(rank lovageshift.Rank, account lovageshift.AccountID) *admission.Waiter {
	return &admission.Waiter{Rank: rank, Account: account, PromptTokens: 10, OutputLimit: 10, Deadline: 1 << 40}
}

// TestNoHigherTierIsShedFirst walks arrivals over several rooms as entries do.
func TestNoHigherTierIsShedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rooms []*admission.Queue
		for range 3 {
			rooms = append(rooms, admission.NewQueue(admission.NewConcurrencyLimiter(1, 2), rapid.IntRange(0, 4).Draw(t, "places")))
		}
		now := lovageshift.Millis(1)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now++
			if rapid.IntRange(0, 3).Draw(t, "step") == 0 {
				finishOne(t, now, rooms)
				continue
			}
			arrive(t, now, rooms, ticket(lovageshift.Rank(rapid.IntRange(1, 3).Draw(t, "rank")), "a"))
		}
	})
}

func finishOne(t *rapid.T, now lovageshift.Millis, rooms []*admission.Queue) {
	room := rooms[rapid.IntRange(0, len(rooms)-1).Draw(t, "room")]
	for _, running := range room.RunningWaiters() {
		room.Finish(now, running, admission.Result{Complete: true})
		break
	}
	room.Admit(now)
}

// arrive asks room after room; what gives way walks on in its turn.
func arrive(t *rapid.T, now lovageshift.Millis, rooms []*admission.Queue, arrival *admission.Waiter) {
	for _, room := range rooms {
		displaced, refusal := room.Enqueue(now, arrival)
		room.Admit(now)
		if displaced != nil && displaced.Rank < arrival.Rank {
			t.Fatalf("rank %d gave way to rank %d", displaced.Rank, arrival.Rank)
		}
		if refusal == nil {
			return
		}
	}
	for _, room := range rooms {
		for _, waiting := range room.Waiting() {
			if waiting.Rank > arrival.Rank {
				t.Fatalf("rank %d was shed while rank %d waits", arrival.Rank, waiting.Rank)
			}
		}
	}
}

func TestColdTargetGetsNoMoreThanItBears(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cold := rapid.IntRange(1, 4).Draw(t, "cold")
		warmth := admission.NewConcurrencyLimiter(cold, 16)
		room := admission.NewQueue(warmth, 64)
		whole, before := 0, map[*admission.Waiter]bool{}
		now := lovageshift.Millis(1)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now++
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				warmth.ResetToCold()
				whole, before = 0, map[*admission.Waiter]bool{}
				for _, running := range room.RunningWaiters() {
					before[running] = true
				}
			case 1, 2, 3:
				for _, running := range room.RunningWaiters() {
					room.Finish(now, running, admission.Result{Complete: true})
					if !before[running] {
						whole++
					}
					break
				}
			default:
				_, _ = room.Enqueue(now, ticket(1, "a"))
			}
			started, _ := room.Admit(now)
			if len(started) > 0 && room.Running() > min(cold+whole, 16) {
				t.Fatalf("%d run, %d proven", room.Running(), cold+whole)
			}
		}
	})
}

func TestRoom(t *testing.T) {
	Convey("A room", t, func() {
		warmth := admission.NewConcurrencyLimiter(1, 4)
		room := admission.NewQueue(warmth, 2)
		Convey("serves the higher tier first and equal accounts in turn", func() {
			first := ticket(2, "greedy")
			_, _ = room.Enqueue(1, first)
			room.Admit(1)
			greedy, modest := ticket(2, "greedy"), ticket(2, "modest")
			_, _ = room.Enqueue(2, greedy)
			_, _ = room.Enqueue(2, modest)
			room.Finish(3, first, admission.Result{OutputTokens: 100})
			started, _ := room.Admit(3)
			So(started, ShouldResemble, []*admission.Waiter{modest})
		})
		Convey("drops what can no longer be in time before it costs prefill", func() {
			late := ticket(1, "a")
			late.Deadline = 5
			_, _ = room.Enqueue(1, ticket(1, "a"))
			room.Admit(1)
			_, _ = room.Enqueue(1, late)
			_, dropped := room.Admit(6)
			So(dropped, ShouldResemble, []*admission.Waiter{late})
		})
		Convey("runs a suspect alone", func() {
			warmth.SetLimits(4, 4)
			suspect := ticket(1, "a")
			suspect.Alone = true
			_, _ = room.Enqueue(1, suspect)
			_, _ = room.Enqueue(1, ticket(1, "b"))
			started, _ := room.Admit(1)
			So(started, ShouldResemble, []*admission.Waiter{suspect})
		})
	})
	Convey("A warm target whose first token comes far too late is cold", t, func() {
		warmth := admission.NewConcurrencyLimiter(1, 2)
		warmth.ObserveCompletion(warmth.Epoch())
		warmth.ObservePrefill(1000, 100)
		So(warmth.Cold(), ShouldBeFalse)
		So(warmth.ObserveFirstToken(1000, 2_000), ShouldBeTrue)
		So(warmth.Limit(), ShouldEqual, 1)
	})
}
