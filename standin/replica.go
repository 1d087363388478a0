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
	// Events and EventTime shape a stream, Work is the time of a plain answer.
	Events    int
	EventTime time.Duration
	Work      time.Duration

	// Fatal tells of a request, if set, that the replica does not survive it; Crash is called then.
	Fatal func(uri string) bool
	Crash func()

	mutex   sync.Mutex
	running int
	fault   ReplicaFault
	arrived []Seen
}

// ReplicaFault is how a replica misbehaves.
type ReplicaFault int

// The faults of a replica.
const (
	ReplicaNone ReplicaFault = iota
	// ReplicaShed turns requests away as not run.
	ReplicaShed
	// ReplicaError answers 500 after running.
	ReplicaError
	// ReplicaReset breaks the connection off before an answer.
	ReplicaReset
	// ReplicaCut breaks a stream off after two events.
	ReplicaCut
	// ReplicaSilent runs the request and never answers.
	ReplicaSilent
	// ReplicaForeign signs the answer for another request.
	ReplicaForeign
	// ReplicaUnsigned answers without its signature.
	ReplicaUnsigned
)

// Seen is one request that reached the replica.
type Seen struct {
	ID string
	// Ran tells that the replica worked on the request.
	Ran     bool
	URI     string
	Body    string
	Tenant  string
	Key     string
	After   string
	Left    string
	Arrived time.Time
}

// SetFault makes the replica misbehave from now on.
func (r *Replica) SetFault(fault ReplicaFault) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fault = fault
}

// Seen returns the requests that ran.
func (r *Replica) Seen() []Seen {
	return slices.DeleteFunc(r.Arrived(), func(seen Seen) bool { return !seen.Ran })
}

// Arrived returns the requests that reached the replica, with those that it turned away.
func (r *Replica) Arrived() []Seen {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.arrived)
}

// Registration is what a replica says of itself in the store.
type Registration struct {
	Address  string
	Zone     string
	Leaving  bool
	Born     int64
	Sequence int64
	// Cold is for how many milliseconds the replica stays cold.
	Cold int
}

// Key returns the key of the replica's record.
func (r *Replica) Key() string { return "servers/" + r.ID }

// Record returns what the replica writes to the store.
func (r *Replica) Record(own Registration) map[string]any {
	state := "ready"
	if own.Leaving {
		state = "draining"
	}
	return map[string]any{
		"service": r.Service, "address": own.Address, "zone": own.Zone, "version": "v1", "slots": r.Slots,
		"state": state, "cold_remaining_ms": own.Cold, "seq": own.Sequence, "born": own.Born,
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
	if r.Fatal != nil && r.Fatal(request.RequestURI) {
		r.Crash()
		panic(http.ErrAbortHandler)
	}
	id := request.Header.Get(HeaderRequestID)
	if fault == ReplicaForeign {
		id = "another"
	}
	header.Set(HeaderRequestID, id)
	if fault != ReplicaUnsigned {
		header.Set(HeaderSignature, "seal-"+r.ID)
	}
	switch fault {
	case ReplicaReset:
		panic(http.ErrAbortHandler)
	case ReplicaSilent:
		<-request.Context().Done()
		return
	case ReplicaError:
		w.WriteHeader(http.StatusInternalServerError)
		return
	default:
	}
	if r.Events == 0 {
		wait(request, r.Work)
		_, _ = io.WriteString(w, "done by "+r.ID)
		return
	}
	r.stream(w, request, fault)
}

func (r *Replica) begin(request *http.Request) (ReplicaFault, bool) {
	body, _ := io.ReadAll(request.Body)
	seen := Seen{
		ID: request.Header.Get(HeaderRequestID), URI: request.RequestURI, Body: string(body),
		Tenant: request.Header.Get("Lovageshift-Tenant"), Key: request.Header.Get("Authorization"),
		After: request.Header.Get("Last-Event-Id"), Left: request.Header.Get("Lovageshift-Deadline-Milliseconds"),
		Arrived: time.Now(),
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	seen.Ran = r.fault != ReplicaShed && r.running < r.Slots
	r.arrived = append(r.arrived, seen)
	if seen.Ran {
		r.running++
	}
	return r.fault, seen.Ran
}

func (r *Replica) end() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.running--
}

func (r *Replica) stream(w http.ResponseWriter, request *http.Request, fault ReplicaFault) {
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for number := first + 1; number <= r.Events; number++ {
		wait(request, r.EventTime)
		if fault == ReplicaCut && number > first+2 {
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
