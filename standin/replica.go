package standin

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Replica is a stand-in for a target of the users' platform: an engine that streams events, or a plain service.
type Replica struct {
	// ID and Service identify the replica in its record; Slots is how many requests run at once.
	ID      string
	Service string
	Slots   int
	// EventCount is the number of events of a stream, 0 for a plain answer. EventInterval is the time before each event,
	// ServiceTime the time that a plain answer takes.
	EventCount    int
	EventInterval time.Duration
	ServiceTime   time.Duration

	// CrashesOn, if set, reports whether the request with the URI crashes the replica; OnCrash is called then.
	CrashesOn func(uri string) bool
	OnCrash   func()

	mutex    sync.Mutex
	running  int
	fault    ReplicaFault
	received []ReceivedRequest
}

// ReplicaFault is a kind of wrong answer of a replica.
type ReplicaFault int

// Faults of a replica.
const (
	ReplicaFaultNone ReplicaFault = iota
	// ReplicaFaultRefuse refuses requests as not run.
	ReplicaFaultRefuse
	// ReplicaFaultServerError answers with status 500 after running the request.
	ReplicaFaultServerError
	// ReplicaFaultReset aborts the connection before it answers.
	ReplicaFaultReset
	// ReplicaFaultTruncate aborts a stream after two events, within the third.
	ReplicaFaultTruncate
	// ReplicaFaultNoResponse runs the request and never answers.
	ReplicaFaultNoResponse
	// ReplicaFaultWrongRequestID signs the answer for another request.
	ReplicaFaultWrongRequestID
	// ReplicaFaultUnsigned answers without a signature.
	ReplicaFaultUnsigned
)

// ReceivedRequest is a request that reached the replica.
type ReceivedRequest struct {
	ID string
	// Executed is set if the replica ran the request, and did not refuse it.
	Executed       bool
	URI            string
	Body           string
	Account        string
	Authorization  string
	LastEventID    string
	DeadlineMillis string // the deadline header as received
	ReceivedAt     time.Time
}

// SetFault sets the fault of all further answers.
func (r *Replica) SetFault(fault ReplicaFault) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fault = fault
}

// Executed returns the requests that the replica ran, in order of arrival.
func (r *Replica) Executed() []ReceivedRequest {
	return slices.DeleteFunc(r.Received(), func(received ReceivedRequest) bool { return !received.Executed })
}

// Received returns the requests for the replica that reached it, with those that it refused, in order of arrival.
func (r *Replica) Received() []ReceivedRequest {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.received)
}

// Registration holds the fields of a replica's record in the store that the Replica itself does not know. Born is when
// the incarnation started, as wall time in milliseconds; Sequence rises with each record of an incarnation.
type Registration struct {
	Address  string
	Zone     string
	Draining bool
	Born     int64
	Sequence int64
	// ColdMillis is for how many more milliseconds the replica is cold.
	ColdMillis int
}

// Key returns the key of the replica's record in the store.
func (r *Replica) Key() string { return "servers/" + r.ID }

// Record returns the value of the replica's record in the store.
func (r *Replica) Record(registration Registration) map[string]any {
	state := "ready"
	if registration.Draining {
		state = "draining"
	}
	return map[string]any{
		"service": r.Service, "address": registration.Address, "zone": registration.Zone, "version": "v1", "slots": r.Slots,
		"state": state, "cold_remaining_ms": registration.ColdMillis, "seq": registration.Sequence, "born": registration.Born,
	}
}

// ServeHTTP runs or refuses one request. It refuses one that is meant for another replica or finds no free slot.
func (r *Replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	header := w.Header()
	if expected := request.Header.Get("Lovageshift-Expected-Instance"); expected != r.ID {
		header.Set("Lovageshift-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fault, executed := r.admit(request)
	if !executed {
		header.Set("Lovageshift-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.release()
	if r.CrashesOn != nil && r.CrashesOn(request.RequestURI) {
		r.OnCrash()
		panic(http.ErrAbortHandler)
	}
	id := request.Header.Get(HeaderRequestID)
	if fault == ReplicaFaultWrongRequestID {
		id = "another"
	}
	header.Set(HeaderRequestID, id)
	if fault != ReplicaFaultUnsigned {
		header.Set(HeaderSignature, "seal-"+r.ID)
	}
	switch fault {
	case ReplicaFaultReset:
		panic(http.ErrAbortHandler)
	case ReplicaFaultNoResponse:
		<-request.Context().Done()
		return
	case ReplicaFaultServerError:
		w.WriteHeader(http.StatusInternalServerError)
		return
	default:
	}
	if r.EventCount == 0 {
		sleep(request, r.ServiceTime)
		_, _ = io.WriteString(w, "done by "+r.ID)
		return
	}
	r.stream(w, request, fault)
}

// admit records a request and takes a slot for it; it reports false if the request is refused.
func (r *Replica) admit(request *http.Request) (ReplicaFault, bool) {
	body, _ := io.ReadAll(request.Body)
	received := ReceivedRequest{
		ID: request.Header.Get(HeaderRequestID), URI: request.RequestURI, Body: string(body),
		Account: request.Header.Get("Lovageshift-Tenant"), Authorization: request.Header.Get("Authorization"),
		LastEventID:    request.Header.Get("Last-Event-Id"),
		DeadlineMillis: request.Header.Get("Lovageshift-Deadline-Milliseconds"),
		ReceivedAt:     time.Now(),
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	received.Executed = r.fault != ReplicaFaultRefuse && r.running < r.Slots
	r.received = append(r.received, received)
	if received.Executed {
		r.running++
	}
	return r.fault, received.Executed
}

// release frees a slot.
func (r *Replica) release() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.running--
}

// stream writes the events after the one that the Last-Event-Id header names.
func (r *Replica) stream(w http.ResponseWriter, request *http.Request, fault ReplicaFault) {
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for number := first + 1; number <= r.EventCount; number++ {
		sleep(request, r.EventInterval)
		if fault == ReplicaFaultTruncate && number > first+2 {
			_, _ = io.WriteString(w, fmt.Sprintf("id: %d\nda", number))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, fmt.Sprintf("id: %d\ndata: piece %d\n\n", number, number))
		_ = http.NewResponseController(w).Flush()
	}
}

// sleep waits for the duration, or until the client has gone away.
func sleep(request *http.Request, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-request.Context().Done():
	}
}
