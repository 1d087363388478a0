package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/gateway"
	"lovageshift/hedge"
	"lovageshift/metrics"
	"lovageshift/standin"
)

// behavior is what a target does with a request: it answers with the fault at once or, with a delay, so long after two targets
// have the request.
type behavior struct {
	delay time.Duration
	fault standin.ReplicaFault
}

const never = time.Hour

// duel is a request that targets, whichever these are, treat by the order in which they get it.
type duel struct {
	behaviors []behavior
	mutex     sync.Mutex
	arrived   int
	both      chan struct{}    // closed when two targets have the request
	onBoth    func()           // called then
	alone     <-chan time.Time // ends the wait for the second target, nil unless only one is to get the request
	ended     chan int         // gets the number of each target that had not answered when its connection ended
}

func (d *duel) faultOf(request *http.Request) standin.ReplicaFault {
	d.mutex.Lock()
	number := d.arrived
	if d.arrived++; d.arrived == 2 {
		close(d.both)
		d.onBoth()
	}
	d.mutex.Unlock()
	b := d.behaviors[number]
	if b.delay == 0 {
		return b.fault
	}
	ctx, cancel := context.WithTimeout(request.Context(), b.delay+time.Minute)
	defer cancel()
	select {
	case <-d.both:
		lovageshift.Pause(ctx, b.delay)
	case <-d.alone:
	case <-ctx.Done():
	}
	if request.Context().Err() != nil {
		d.ended <- number
	}
	return b.fault
}

// hedgeSetup is an entry with three targets.
type hedgeSetup struct {
	*setup
	duels sync.Map // by request id
}

func newHedgeSetup(share float64) *hedgeSetup {
	h := &hedgeSetup{}
	var replicas []*standin.Replica
	for number := range 3 {
		replica := plainReplica(fmt.Sprintf("i-%d", number))
		replica.FaultOf = func(request *http.Request) standin.ReplicaFault {
			if d, found := h.duels.Load(request.Header.Get(standin.HeaderRequestID)); found {
				return d.(*duel).faultOf(request)
			}
			return standin.ReplicaFaultNone
		}
		replicas = append(replicas, replica)
	}
	h.setup = newSetupWithOptions(noPeers{}, func(o *gateway.Options) { o.HedgeShare = share }, replicas...)
	return h
}

// play measures times and then sends a request that meets the behaviors, again if there was no second attempt although there
// should be one: on a machine under load, requests may have to wait for slots. At the end all slots must be free.
func (h *hedgeSetup) play(isHedged bool, behaviors []behavior, send func(id string, d *duel)) *duel {
	for try := range 10 {
		for range 60 {
			So(h.send("before", "GET", "/hedged/before", "").status, ShouldEqual, 200)
		}
		sent := h.metrics.Counts(metrics.Hedges)[string(hedge.Allowed)]
		id := fmt.Sprintf("duel-%d-%d", sent, try)
		d := &duel{behaviors: behaviors, both: make(chan struct{}), onBoth: func() {}, ended: make(chan int, 10)}
		if !isHedged {
			d.alone = time.After(300 * time.Millisecond)
		}
		h.duels.Store(id, d)
		send(id, d)
		if !isHedged || h.metrics.Counts(metrics.Hedges)[string(hedge.Allowed)] > sent {
			h.waitFor(func() bool { return len(h.gateway.StateUpdate(lovageshift.NewClock().Now()).Targets) == 0 })
			return d
		}
	}
	So("no second attempt was sent", ShouldBeEmpty)
	return nil
}

func TestSecondAttempts(t *testing.T) {
	const soon, later = time.Millisecond, 50 * time.Millisecond
	const none, refuse, failure, reset = standin.ReplicaFaultNone, standin.ReplicaFaultRefuse, standin.ReplicaFaultServerError, standin.ReplicaFaultReset
	for _, test := range []struct {
		name            string
		behaviors       []behavior
		status, arrived int
		canceled        []int // which of the targets had to end
		path            string
	}{
		{"the first target is silent", []behavior{{never, none}, {0, none}}, 200, 2, []int{0}, "/hedged/"},
		{"the first target answers first", []behavior{{soon, none}, {never, none}}, 200, 2, []int{1}, "/hedged/"},
		{"both targets reset their connections", []behavior{{soon, reset}, {later, reset}}, 502, 2, nil, "/hedged/"},
		{"the first target fails before the second answers", []behavior{{soon, failure}, {later, none}}, 200, 2, nil, "/hedged/"},
		{"the second target fails before the first answers", []behavior{{later, none}, {0, failure}}, 200, 2, nil, "/hedged/"},
		{"the second target resets its connection before the first answers", []behavior{{later, none}, {0, reset}}, 200, 2, nil, "/hedged/"},
		{"both targets fail", []behavior{{soon, failure}, {later, failure}}, 500, 2, nil, "/hedged/"},
		{"one target fails and the other resets its connection", []behavior{{soon, failure}, {later, reset}}, 500, 2, nil, "/hedged/"},
		{"one resets its connection and one refuses, so that a third may run it", []behavior{{later, reset}, {0, refuse}, {0, none}}, 200, 3, nil, "/hedged/"},
		{"all targets refuse", []behavior{{later, refuse}, {0, refuse}, {0, refuse}}, 503, 3, nil, "/hedged/"},
		{"the request must not be repeated", []behavior{{later, none}, {0, none}}, 200, 1, nil, "/book/"},
		{"the route allows one attempt", []behavior{{later, none}, {0, none}}, 200, 1, nil, "/open/"},
		{"no second attempts are allowed", []behavior{{later, none}, {0, none}}, 200, 1, nil, "/hedged/off"},
	} {
		Convey("The caller gets the right outcome when "+test.name, t, func() {
			share := 0.5
			if test.path == "/hedged/off" {
				share = 0
			}
			h := newHedgeSetup(share)
			defer h.stop()
			var got result
			d := h.play(test.path == "/hedged/", test.behaviors, func(id string, _ *duel) { got = h.send(id, "POST", test.path+id, "") })
			So(got.status, ShouldEqual, test.status)
			So(got.complete, ShouldBeTrue)
			So(d.arrived, ShouldEqual, test.arrived)
			for _, number := range test.canceled {
				So(<-d.ended, ShouldEqual, number)
			}
		})
	}
	Convey("A cancellation that crosses a response neither cuts the answer nor keeps a slot", t, func() {
		h := newHedgeSetup(0.5)
		defer h.stop()
		for range 10 {
			h.play(true, []behavior{{soon, none}, {soon, none}}, func(id string, _ *duel) {
				got := h.send(id, "POST", "/hedged/"+id, "")
				So(got.status, ShouldEqual, 200)
				So(got.complete, ShouldBeTrue)
			})
		}
	})
	for _, cause := range []error{context.Canceled, gateway.ErrStopping} {
		Convey("Both attempts end when the request does: "+cause.Error(), t, func() {
			h := newHedgeSetup(0.5)
			defer h.stop()
			d := h.play(true, []behavior{{never, none}, {never, none}}, func(id string, d *duel) {
				ctx, cancel := context.WithCancelCause(context.Background())
				d.mutex.Lock() // the target's goroutine reads it under the mutex
				d.onBoth = func() { cancel(cause) }
				d.mutex.Unlock()
				request := httptest.NewRequestWithContext(ctx, "POST", "http://h/hedged/"+id, nil)
				request.Header.Set(standin.HeaderRequestID, id)
				request.Header.Set("Authorization", "Token "+key)
				recorder := httptest.NewRecorder()
				h.gateway.ServeHTTP(recorder, request)
				So(recorder.Code, ShouldEqual, 502)
			})
			So((<-d.ended)+(<-d.ended), ShouldEqual, 1)
		})
	}
}

func TestSecondAttemptsThroughAnyEntry(t *testing.T) {
	Convey("Entries that do not coordinate the targets get slots for second attempts too", t, func() {
		var arrived sync.Map
		i := newInstallation(2, 3, targetOptions{hedgeShare: 0.5, faultOf: func(_ int, request *http.Request) standin.ReplicaFault {
			if _, again := arrived.LoadOrStore(request.Header.Get(standin.HeaderRequestID), true); !again && request.URL.Path == "/hedged/x" {
				return standin.ReplicaFaultNoResponse
			}
			return standin.ReplicaFaultNone
		}})
		defer i.stop()
		for number, entry := range i.entries {
			won := func() int64 { return entry.metrics.Counts(metrics.Hedges)[string(hedge.Won)] }
			for count := 0; count < 200 && won() == 0; count++ {
				path := "/hedged/before"
				if count >= 60 {
					path = "/hedged/x"
				}
				So(i.send(number, standin.CallerRequest{ID: fmt.Sprintf("%d-%d", number, count), Path: path}).Status, ShouldEqual, 200)
			}
			So(won(), ShouldBeGreaterThan, 0)
		}
	})
}
