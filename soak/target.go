package soak

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"lovageshift"
	"lovageshift/standin"
)

const (
	// A target runs at most this many requests at once.
	targetSlots = 8
	// Number of events of a stream.
	streamEvents = 8
	// Time that a target takes for each event of a stream and for a plain response.
	workTime = 20 * time.Millisecond
	// The same for each event with Options.Ends.
	longWorkTime  = 100 * time.Millisecond
	headerTimeout = 10 * time.Second
	// Targets of this many versions of their software are in service side by side. Each next target of a host has another
	// one.
	softwareVersions = 2
	// The cold rate: requests per second that a cold target may receive.
	coldPerSecond = 10.0
	// Requests whose path begins with this crash the target that runs them.
	fatalPrefix = "/fatal/"

	// A target that starts cold or is reset to cold stays cold for this long.
	coldMillis lovageshift.Millis = 4000
	// The next target at an address starts this long after the one before it exited.
	downMillis lovageshift.Millis = 1500
	// A draining target continues to serve for this long.
	targetDrainMillis lovageshift.Millis = 5000
	// Targets write their record at this interval. The store drops the record after 3 intervals without a write.
	recordInterval lovageshift.Millis = 1200
	recordTTL                         = 3 * recordInterval
)

// instance is one target, from its start to its exit.
type instance struct {
	replica   *standin.Replica
	zone      string
	service   string
	startedAt lovageshift.Millis // wall time, unlike the other times, which are on the clock of the run
	// drainingSince is when the target began to drain, 0 if it does not drain.
	drainingSince lovageshift.Millis
	// limitedSince is when the target last began to name a limit, 0 if it never did.
	limitedSince lovageshift.Millis
	coldSpans    []coldSpan
	sequence     int64 // sequence number of the target's latest record
}

// coldAt reports whether the target was cold at a time. It also returns when the running target was reset to cold, or 0
// if the target was not cold or had been cold since its start.
func (i *instance) coldAt(at lovageshift.Millis) (bool, lovageshift.Millis) {
	for _, cold := range i.coldSpans {
		if cold.Contains(at) && cold.AfterReset {
			return true, cold.From
		}
		if cold.Contains(at) {
			return true, 0
		}
	}
	return false, 0
}

// resetToCold makes the running target cold from now on, for coldMillis.
func (i *instance) resetToCold(now lovageshift.Millis) {
	i.coldSpans = append(i.coldSpans, coldSpan{Span: Span{now, now + coldMillis}, AfterReset: true})
}

// name makes the running target name its limit from now on.
func (i *instance) name(now lovageshift.Millis) {
	i.limitedSince = now
	i.replica.SetLimit(strconv.Itoa(limitPerSecond))
}

// coldSpan is a period in which a target is cold. AfterReset is set if the period began with a reset of the running
// target (resetToCold), and not with its start.
type coldSpan struct {
	Span
	AfterReset bool
}

// targetHost is an address at which targets of one service run one after another.
type targetHost struct {
	number  int
	service string
	zone    string
	address string
	proxy   *Proxy
	clock   lovageshift.Clock
	// eventInterval is the time that targets take for each event, and endsWithConnection whether their answers end with the
	// connection.
	eventInterval      time.Duration
	endsWithConnection bool

	mutex        sync.Mutex
	server       *http.Server
	instances    []*instance
	current      *instance          // nil while no target runs here
	recordPaused bool               // the target writes no record to the store
	startAt      lovageshift.Millis // when the next target is due to start
	keepID       bool               // the next target has the id of the last one
}

// start starts a new target, which is cold for coldMillis if cold is set. The returned function serves the target's
// requests until the target is killed.
func (h *targetHost) start(cold bool) (func() error, error) {
	listener, err := net.Listen("tcp", h.address)
	if err != nil {
		return nil, err
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.clock.Now()
	id := fmt.Sprintf("t-%d-%d", h.number, len(h.instances))
	if h.keepID {
		id = h.instances[len(h.instances)-1].replica.ID
	}
	replica := &standin.Replica{
		ID: id, Service: h.service, Slots: targetSlots, ServiceTime: workTime, EndsWithConnection: h.endsWithConnection,
		Version: fmt.Sprintf("v%d", (h.number+len(h.instances))%softwareVersions),
		CrashesOn: func(r *http.Request) bool {
			return strings.HasPrefix(r.RequestURI, fatalPrefix) || strings.Contains(r.Header.Get(standin.HeaderPromptParts), fatalPart)
		},
	}
	if h.service == streamService {
		replica.EventCount, replica.EventInterval = streamEvents, h.eventInterval
	}
	h.current = &instance{replica: replica, zone: h.zone, service: h.service, startedAt: h.clock.Wall()}
	if cold {
		h.current.coldSpans = append(h.current.coldSpans, coldSpan{Span: Span{now, now + coldMillis}})
	}
	h.instances = append(h.instances, h.current)
	server := &http.Server{Handler: replica, ReadHeaderTimeout: headerTimeout}
	h.server = server
	replica.OnCrash = func() { h.kill(false) }
	return func() error { return server.Serve(listener) }, nil
}

// kill ends the target that runs, if there is one. The next target at the address is due after downMillis. If keepID is
// set, the next target has the same id.
func (h *targetHost) kill(keepID bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.current == nil {
		return
	}
	_ = h.server.Close()
	h.current, h.startAt, h.keepID = nil, h.clock.Now()+downMillis, keepID
}

// update changes the target that runs, if there is one.
func (h *targetHost) update(change func(*instance)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.current != nil {
		change(h.current)
	}
}

// misbehave gives the target that runs a fault until wait returns.
func (h *targetHost) misbehave(fault standin.ReplicaFault, wait func()) {
	h.update(func(i *instance) { i.replica.SetFault(fault) })
	wait()
	h.update(func(i *instance) { i.replica.SetFault(standin.ReplicaFaultNone) })
}

// recordKey returns the store key of the record of the target that runs, or "" if none runs.
func (h *targetHost) recordKey() string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.current == nil {
		return ""
	}
	return h.current.replica.Key()
}

// record returns the key and the value of the next record of the target that runs. It returns false if no target runs or
// if its records are paused.
func (h *targetHost) record() (string, map[string]any, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.current == nil || h.recordPaused {
		return "", nil, false
	}
	h.current.sequence++
	registration := standin.Registration{
		Address: h.proxy.Address(), Zone: h.zone, Draining: h.current.drainingSince > 0,
		Born: int64(h.current.startedAt), Sequence: h.current.sequence,
	}
	for _, cold := range h.current.coldSpans {
		registration.ColdMillis = int(max(cold.To-h.clock.Now(), 0))
	}
	return h.current.replica.Key(), h.current.replica.Record(registration), true
}

// startDue reports whether no target runs and the next one is due.
func (h *targetHost) startDue() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.current == nil && h.clock.Now() >= h.startAt
}

// setRecordPaused stops or resumes the writes of the target's record.
func (h *targetHost) setRecordPaused(paused bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.recordPaused = paused
}
