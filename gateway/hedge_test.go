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

// behavior is what a target does with a request: it waits for the channel, if there is one, and then answers with the fault.
type behavior struct {
	waitFor func(d *duel) <-chan struct{}
	fault   standin.ReplicaFault
}

// duel is a request that targets, whichever these are, treat by the order in which they get it.
type duel struct {
	mutex     sync.Mutex
	behaviors []behavior
	arrived   int
	both      chan struct{} // closed when two targets have got the request
	onBoth    func()        // called then
	ended     chan int      // gets the number of each target that was still waiting when its connection ended
}

func both(d *duel) <-chan struct{} { return d.both }
func never(*duel) <-chan struct{}  { return nil }

// later lets a target answer some time after both have the request.
func later(d *duel) <-chan struct{} {
	done := make(chan struct{})
	time.AfterFunc(50*time.Millisecond, func() {
		<-d.both
		close(done)
	})
	return done
}

// alone lets a target answer after a second attempt would have been sent.
func alone(*duel) <-chan struct{} {
	done := make(chan struct{})
	time.AfterFunc(300*time.Millisecond, func() { close(done) })
	return done
}

func (d *duel) faultOf(request *http.Request) standin.ReplicaFault {
	d.mutex.Lock()
	number := d.arrived
	d.arrived++
	if d.arrived == 2 {
		close(d.both)
		d.onBoth()
	}
	d.mutex.Unlock()
	if number >= len(d.behaviors) || d.behaviors[number].waitFor == nil {
		return d.behaviors[min(number, len(d.behaviors)-1)].fault
	}
	select {
	case <-d.behaviors[number].waitFor(d):
	case <-request.Context().Done():
		d.ended <- number
		return standin.ReplicaFaultReset
	}
	return d.behaviors[number].fault
}

// hedgeSetup is an entry that sends second attempts, with three targets and measured times.
type hedgeSetup struct {
	*setup
	duels sync.Map // by request id
	count int
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

// play calls send with the id of a new request that meets the behaviors. It does so again if the entry sent no second attempt
// although it should have, as on a machine under load requests may have to wait for their slots.
func (h *hedgeSetup) play(isHedged bool, behaviors []behavior, send func(id string, d *duel)) *duel {
	for range 10 {
		for range 60 { // so that times are measured
			So(h.send("before", "GET", "/hedged/before", "").status, ShouldEqual, 200)
		}
		sent := h.metrics.Counts(metrics.Hedges)[string(hedge.Allowed)]
		d := &duel{behaviors: behaviors, both: make(chan struct{}), onBoth: func() {}, ended: make(chan int, 10)}
		h.count++
		id := fmt.Sprintf("duel-%d", h.count)
		h.duels.Store(id, d)
		send(id, d)
		if !isHedged || h.metrics.Counts(metrics.Hedges)[string(hedge.Allowed)] > sent {
			return d
		}
	}
	So("no second attempt was sent", ShouldBeEmpty)
	return nil
}

// holdsNoSlot waits until the entry has released all slots.
func (h *hedgeSetup) holdsNoSlot() {
	h.waitFor(func() bool { return len(h.gateway.StateUpdate(lovageshift.NewClock().Now()).Targets) == 0 })
}

func TestSecondAttempts(t *testing.T) {
	const (
		none, refuse   = standin.ReplicaFaultNone, standin.ReplicaFaultRefuse
		failure, reset = standin.ReplicaFaultServerError, standin.ReplicaFaultReset
	)
	for _, test := range []struct {
		name      string
		path      string // "/hedged/" if empty
		share     float64
		behaviors []behavior
		status    int
		arrived   int
		canceled  []int // which of the targets had to end
	}{
		{name: "the first target is silent", share: 0.5, behaviors: []behavior{{never, none}, {nil, none}}, status: 200, arrived: 2, canceled: []int{0}},
		{name: "the first target answers first", share: 0.5, behaviors: []behavior{{both, none}, {never, none}}, status: 200, arrived: 2, canceled: []int{1}},
		{name: "both targets reset their connections", share: 0.5, behaviors: []behavior{{both, reset}, {later, reset}}, status: 502, arrived: 2},
		{name: "the first target fails before the second answers", share: 0.5, behaviors: []behavior{{both, failure}, {later, none}}, status: 200, arrived: 2},
		{name: "the second target fails before the first answers", share: 0.5, behaviors: []behavior{{later, none}, {nil, failure}}, status: 200, arrived: 2},
		{name: "the second target resets its connection before the first answers", share: 0.5, behaviors: []behavior{{later, none}, {nil, reset}}, status: 200, arrived: 2},
		{name: "both targets fail", share: 0.5, behaviors: []behavior{{both, failure}, {later, failure}}, status: 500, arrived: 2},
		{name: "one target fails and the other resets its connection", share: 0.5, behaviors: []behavior{{both, failure}, {later, reset}}, status: 500, arrived: 2},
		{name: "one target resets its connection and the other refuses, so that a third may run it", share: 0.5, behaviors: []behavior{{later, reset}, {nil, refuse}, {nil, none}}, status: 200, arrived: 3},
		{name: "all targets refuse", share: 0.5, behaviors: []behavior{{later, refuse}, {nil, refuse}, {nil, refuse}}, status: 503, arrived: 3},
		{name: "the request must not be repeated", share: 0.5, path: "/book/", behaviors: []behavior{{alone, none}, {nil, none}}, status: 200, arrived: 1},
		{name: "the share is 0", share: 0, behaviors: []behavior{{alone, none}, {nil, none}}, status: 200, arrived: 1},
	} {
		Convey("The caller gets the right outcome when "+test.name, t, func() {
			h := newHedgeSetup(test.share)
			defer h.stop()
			var got result
			path := test.path
			if path == "" {
				path = "/hedged/"
			}
			d := h.play(test.share > 0 && test.path == "", test.behaviors, func(id string, _ *duel) { got = h.send(id, "POST", path+id, "") })
			So(got.status, ShouldEqual, test.status)
			So(got.complete, ShouldBeTrue)
			So(d.arrived, ShouldEqual, test.arrived)
			for _, number := range test.canceled {
				So(<-d.ended, ShouldEqual, number)
			}
			h.holdsNoSlot()
		})
	}
}

func TestSecondAttemptsThatEndTogether(t *testing.T) {
	Convey("A cancellation that crosses a response neither cuts the answer nor keeps a slot", t, func() {
		h := newHedgeSetup(0.5)
		defer h.stop()
		for range 15 {
			d := h.play(true, []behavior{{both, standin.ReplicaFaultNone}, {}}, func(id string, _ *duel) {
				got := h.send(id, "POST", "/hedged/"+id, "")
				So(got.status, ShouldEqual, 200)
				So(got.complete, ShouldBeTrue)
			})
			So(d.arrived, ShouldEqual, 2)
		}
		h.holdsNoSlot()
	})
	for _, cause := range []error{context.Canceled, gateway.ErrStopping} {
		Convey("Both attempts end when the request does: "+cause.Error(), t, func() {
			h := newHedgeSetup(0.5)
			defer h.stop()
			d := h.play(true, []behavior{{never, standin.ReplicaFaultNone}, {never, standin.ReplicaFaultNone}}, func(id string, d *duel) {
				ctx, cancel := context.WithCancelCause(context.Background())
				d.onBoth = func() { cancel(cause) }
				request := httptest.NewRequestWithContext(ctx, "POST", "http://h/hedged/"+id, nil)
				request.Header.Set(standin.HeaderRequestID, id)
				request.Header.Set("Authorization", "Token "+key)
				recorder := httptest.NewRecorder()
				h.gateway.ServeHTTP(recorder, request)
				So(recorder.Code, ShouldEqual, 502)
			})
			So(d.arrived, ShouldEqual, 2)
			So((<-d.ended)+(<-d.ended), ShouldEqual, 1)
			h.holdsNoSlot()
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
		for number := range i.entries {
			for count := range 60 {
				So(i.send(number, standin.CallerRequest{ID: fmt.Sprintf("before-%d-%d", number, count), Path: "/hedged/before"}).Status, ShouldEqual, 200)
			}
			sent := func() int64 { return i.entries[number].metrics.Counts(metrics.Hedges)[string(hedge.Won)] }
			for count := 0; count < 10 && sent() == 0; count++ {
				So(i.send(number, standin.CallerRequest{ID: fmt.Sprintf("x-%d-%d", number, count), Path: "/hedged/x"}).Status, ShouldEqual, 200)
			}
			So(sent(), ShouldBeGreaterThan, 0)
		}
	})
}
