package memory_test

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"lovageshift"
	"lovageshift/memory"
)

// Guards against bytes that are counted twice, never or for ever, in any order of operations, and against an owner that leaves
// others no room.
func TestBudgetHoldsItsSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = memory.Bytes(10_000)
		b := memory.NewBudget(size)
		var now lovageshift.Millis = 1
		type holding struct {
			*memory.Reservation
			owner              memory.Owner
			bytes              memory.Bytes
			complete, released bool
			evictions          int
		}
		var all []*holding
		owners := []memory.Owner{{Account: "a"}, {Account: "b"}, {Address: "127.0.0.1"}, {Address: "127.0.0.2"}}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += lovageshift.Millis(rapid.IntRange(0, 3000).Draw(t, "pause"))
			bytes := memory.Bytes(rapid.IntRange(0, 6000).Draw(t, "bytes"))
			operation := rapid.SampledFrom([]string{"reserve", "grow", "shrink", "progress", "complete", "release"}).Draw(t, "operation")
			if operation == "reserve" || len(all) == 0 {
				h := &holding{owner: rapid.SampledFrom(owners).Draw(t, "owner"), bytes: bytes}
				var err error
				h.Reservation, err = b.Reserve(now, h.owner, bytes, func() {
					h.evictions++
					if h.complete || h.released {
						t.Fatal("evicted after its end")
					}
				})
				if err == nil {
					all = append(all, h)
				} else if !errors.Is(err, memory.ErrExhausted) {
					t.Fatal(err)
				}
				continue
			}
			h := rapid.SampledFrom(all).Draw(t, "holding")
			switch operation {
			case "grow":
				if !h.released && h.Grow(now, bytes) == nil {
					h.bytes += bytes
				}
			case "shrink":
				h.Shrink(bytes)
				h.bytes -= min(bytes, h.bytes)
			case "progress":
				h.Progress(now)
			case "complete":
				h.complete = h.Complete() == nil || h.complete
			case "release":
				h.Release()
				h.bytes, h.released = 0, true
			}
			held := map[memory.Owner]memory.Bytes{}
			var sum memory.Bytes
			for _, each := range all {
				held[each.owner] += each.bytes
				sum += each.bytes
				if each.evictions > 1 || each.evictions == 1 && !each.Evicted() {
					t.Fatal("an eviction that was repeated or forgotten")
				}
			}
			if b.Usage().Held != sum || sum > size {
				t.Fatalf("%d held, %d counted, of %d", sum, b.Usage().Held, size)
			}
			for _, owner := range owners {
				if b.HeldBy(owner) != held[owner] {
					t.Fatalf("%v holds %d, counted %d", owner, held[owner], b.HeldBy(owner))
				}
			}
		}
		for _, h := range all {
			h.Release()
		}
		if usage := b.Usage(); usage.Held != 0 || usage.Bodies != 0 {
			t.Fatalf("%+v is left", usage)
		}
	})
}

// Guards against one owner that takes the budget from others, also with many requests.
func TestOwnersLeaveRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := memory.NewBudget(100_000)
		for range 1000 {
			_, _ = b.Reserve(1, memory.Owner{Account: "greedy"}, memory.Bytes(rapid.IntRange(1, 5000).Draw(t, "bytes")), func() {})
		}
		if held := b.HeldBy(memory.Owner{Account: "greedy"}); held > 66_667 || held < 60_000 {
			t.Fatalf("one owner holds %d", held)
		}
		if _, err := b.Reserve(1, memory.Owner{Account: "modest"}, 20_000, func() {}); err != nil {
			t.Fatal("no room for another owner: ", err)
		}
	})
}

// Guards against bodies that have stalled and still keep others out, and against the eviction of bodies that make progress.
func TestStalledBodiesAreEvictedUnderPressure(t *testing.T) {
	b := memory.NewBudget(100)
	evicted := map[string]bool{}
	reserve := func(now lovageshift.Millis, name string, bytes memory.Bytes) *memory.Reservation {
		r, err := b.Reserve(now, memory.Owner{Account: lovageshift.AccountID(name)}, bytes, func() { evicted[name] = true })
		if err != nil {
			return nil
		}
		return r
	}
	stalled, moving, complete := reserve(1, "stalled", 30), reserve(1, "moving", 30), reserve(1, "complete", 10)
	if complete.Complete() != nil {
		t.Fatal("not evicted")
	}
	reserve(3000, "small", 1).Release()
	if len(evicted) > 0 {
		t.Fatal("evicted without pressure")
	}
	moving.Progress(5000)
	if reserve(5100, "large", 30) != nil {
		t.Fatal("more than the budget")
	}
	if !evicted["stalled"] || evicted["moving"] || evicted["complete"] {
		t.Fatal(evicted)
	}
	if !errors.Is(stalled.Complete(), memory.ErrEvicted) {
		t.Fatal("completed after its eviction")
	}
	stalled.Release()
	if reserve(5200, "large", 30) == nil {
		t.Fatal("no room after the eviction")
	}
}

// Guards against shares of a VM's memory by which a body of the largest permitted size finds no room in an idle entry.
func TestLargestBodyFitsTheSmallestVM(t *testing.T) {
	limits := memory.LimitsOf(184*memory.Megabyte, 4100)
	b := memory.NewBudget(limits.Bodies)
	for _, account := range []lovageshift.AccountID{"first", "second", "third"} {
		if _, err := b.Reserve(1, memory.Owner{Account: account}, 4*memory.Megabyte, func() {}); err != nil {
			t.Fatal(account, err)
		}
	}
	if limits.Connections < 1000 || limits.Connections > 4100-200 {
		t.Fatal(limits.Connections)
	}
	if none := memory.LimitsOf(0, 0); none != (memory.Limits{}) {
		t.Fatal(none)
	}
}

func BenchmarkReservation(b *testing.B) {
	budget := memory.NewBudget(1 << 30)
	owner := memory.Owner{Account: "account"}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r, _ := budget.Reserve(1, owner, 1000, func() {})
			r.Progress(2)
			_ = r.Complete()
			r.Release()
		}
	})
}
