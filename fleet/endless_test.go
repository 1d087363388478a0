package fleet_test

import (
	"context"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/fleet"
	"lovageshift/standin"
)

const (
	endlessCallers = 20
	// What the fleet may hold while 16 requests run at once: for each an event of at most 1 MiB at the agent, whose buffer is up to
	// twice as large, and as much on the way to the caller.
	endlessHeap = 16 * 4 << 20
	// Interval at which the heap is measured.
	heapInterval = 20 * time.Millisecond
)

// TestStreamsWithoutEndTakeLittleMemory guards against engines that send events or comments without end, and thereby take the
// memory of their agents and of entries, or get the answer taken for a complete one.
func TestStreamsWithoutEndTakeLittleMemory(t *testing.T) {
	cases := map[string]struct {
		fault  standin.EngineFault
		reason lovageshift.Reason
	}{
		"event":    {standin.EngineFaultEndlessEvent, lovageshift.ReasonEngineAnswerMalformed},
		"comments": {standin.EngineFaultEndlessComments, lovageshift.ReasonEngineAnswerTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			growth := watchHeap()
			withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
				for _, engine := range f.Engines {
					engine.SetFault(c.fault)
				}
				var callers errgroup.Group
				var complete, named atomic.Int64
				for range endlessCallers {
					callers.Go(func() error {
						reply := f.Entry(0).Complete(context.Background(), fleet.CompletionRequest{Account: "painters", Prompt: "hi", OutputTokens: 20})
						if reply.EndReceived || reply.Err == nil && reply.Reason == "" {
							complete.Add(1)
						}
						if reply.Reason == string(c.reason) {
							named.Add(1)
						}
						return nil
					})
				}
				_ = callers.Wait()
				if complete.Load() > 0 {
					t.Errorf("%d answers without end looked complete", complete.Load())
				}
				for _, engine := range f.Engines {
					engine.SetFault(standin.EngineFaultNone)
				}
				time.Sleep(time.Minute) // until the engines are not taken for failing any more
				request := fleet.CompletionRequest{Account: "painters", Prompt: "other", OutputTokens: 20}
				if reply := f.Entry(0).Complete(context.Background(), request); !reply.Correct(request) {
					t.Errorf("%+v", reply)
				}
				if named.Load() == 0 {
					t.Error("no refusal named the reason")
				}
			})
			grown := growth()
			t.Logf("the heap grew by at most %d kB", grown>>10)
			if grown > endlessHeap {
				t.Errorf("the heap grew by %d bytes", grown)
			}
		})
	}
}

// watchHeap measures the heap until the function that it returns is called, which returns by how much it has grown at most. It
// must not be called within the synthetic time of a fleet.
func watchHeap() func() int64 {
	heap := func() int64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	before := heap()
	highest := before
	stop := make(chan struct{})
	var watch errgroup.Group
	watch.Go(func() error {
		for {
			select {
			case <-stop:
				return nil
			case <-time.After(heapInterval):
				highest = max(highest, heap())
			}
		}
	})
	return func() int64 {
		close(stop)
		_ = watch.Wait()
		return highest - before
	}
}
