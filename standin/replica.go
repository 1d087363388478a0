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

// Replica stands in for a target of the users' platform: an engine that streams events, or a plain service.
type Replica struct {
	// ID and Service are what the replica registers; Slots bound how many requests run at once.
	ID      string
	Service string
	Slots   int
	// EventCount and EventTime shape a stream, Work is the time of a plain answer.
	EventCount    int
	EventInterval time.Duration
	ServiceTime   time.Duration

	// CrashesOn tells of a request, if set, that the replica does not survive it; Crash is called then.
	CrashesOn func(uri string) bool
	OnCrash   func()

	mutex   sync.Mutex
	running int
	fault   ReplicaFault
	arrived []ReceivedRequest
}

// ReplicaFault is how a replica misbehaves.
type ReplicaFault int

// The faults of a replica.
const (
	ReplicaNoFault ReplicaFault = iota
	// ReplicaShed turns requests away as not run.
	ReplicaShed
	// ReplicaError answers 500 after running.
	ReplicaError
	// ReplicaReset breaks the connection off before an answer.
	ReplicaReset
	// ReplicaTruncate breaks a stream off after two events.
	ReplicaTruncate
	// ReplicaUnresponsive runs the request and never answers.
	ReplicaUnresponsive
	// ReplicaWrongRequestID signs the answer for another request.
	ReplicaWrongRequestID
	// ReplicaUnsigned answers without its signature.
	ReplicaUnsigned
)

// ReceivedRequest is one request that reached the replica.
type ReceivedRequest struct {
	ID string
	// Executed tells that the replica worked on the request.
	Executed       bool
	URI            string
	Body           string
	Account        string
	Authorization  string
	LastEventID    string
	DeadlineMillis string
	ReceivedAt     time.Time
}

// SetFault makes the replica misbehave from now on.
func (r *Replica) SetFault(fault ReplicaFault) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fault = fault
}

// Executed returns the requests that ran.
func (r *Replica) Executed() []ReceivedRequest {
	return slices.DeleteFunc(r.Received(), func(seen ReceivedRequest) bool { return !seen.Executed })
}

// Received returns the requests that reached the replica, with those that it turned away.
func (r *Replica) Received() []ReceivedRequest {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.arrived)
}

// Registration is what a replica says of itself in the store.
type Registration struct {
	Address  string
	Zone     string
	Draining bool
	Born     int64
	Sequence int64
	// ColdMillis is for how many milliseconds the replica stays cold.
	ColdMillis int
}

// Key returns the key of the replica's record.
func (r *Replica) Key() string { return "servers/" + r.ID }

// Record returns what the replica writes to the store.
func (r *Replica) Record(own Registration) map[string]any {
	state := "ready"
	if own.Draining {
		state = "draining"
	}
	return map[string]any{
		"service": r.Service, "address": own.Address, "zone": own.Zone, "version": "v1", "slots": r.Slots,
		"state": state, "cold_remaining_ms": own.ColdMillis, "seq": own.Sequence, "born": own.Born,
	}
}

// ServeHTTP runs one request.
func (r *Replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	header := w.Header()
	if expected := request.Header.Get("Lovageshift-Expected-Instance"); expected != r.ID {
		header.Set("Lovageshift-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fault, ran := r.begin(request)
	if !ran {
		header.Set("Lovageshift-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.end()
	if r.CrashesOn != nil && r.CrashesOn(request.RequestURI) {
		r.OnCrash()
		panic(http.ErrAbortHandler)
	}
	id := request.Header.Get(HeaderRequestID)
	if fault == ReplicaWrongRequestID {
		id = "another"
	}
	header.Set(HeaderRequestID, id)
	if fault != ReplicaUnsigned {
		header.Set(HeaderSignature, "seal-"+r.ID)
	}
	switch fault {
	case ReplicaReset:
		panic(http.ErrAbortHandler)
	case ReplicaUnresponsive:
		<-request.Context().Done()
		return
	case ReplicaError:
		w.WriteHeader(http.StatusInternalServerError)
		return
	default:
	}
	if r.EventCount == 0 {
		wait(request, r.ServiceTime)
		_, _ = io.WriteString(w, "done by "+r.ID)
		return
	}
	r.stream(w, request, fault)
}

func (r *Replica) begin(request *http.Request) (ReplicaFault, bool) {
	body, _ := io.ReadAll(request.Body)
	seen := ReceivedRequest{
		ID: request.Header.Get(HeaderRequestID), URI: request.RequestURI, Body: string(body),
		Account: request.Header.Get("Lovageshift-Tenant"), Authorization: request.Header.Get("Authorization"),
		LastEventID: request.Header.Get("Last-Event-Id"), DeadlineMillis: request.Header.Get("Lovageshift-Deadline-Milliseconds"),
		ReceivedAt: time.Now(),
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	seen.Executed = r.fault != ReplicaShed && r.running < r.Slots
	r.arrived = append(r.arrived, seen)
	if seen.Executed {
		r.running++
	}
	return r.fault, seen.Executed
}

func (r *Replica) end() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.running--
}

func (r *Replica) stream(w http.ResponseWriter, request *http.Request, fault ReplicaFault) {
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for number := first + 1; number <= r.EventCount; number++ {
		wait(request, r.EventInterval)
		if fault == ReplicaTruncate && number > first+2 {
			_, _ = io.WriteString(w, fmt.Sprintf("id: %d\nda", number))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, fmt.Sprintf("id: %d\ndata: piece %d\n\n", number, number))
		_ = http.NewResponseController(w).Flush()
	}
}

func wait(request *http.Request, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-request.Context().Done():
	}
}
