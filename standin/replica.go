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

// Replica is a stand-in for a target on the platform: one replica of a service, which entries reach without an agent.
// It answers with a stream of events or with a plain text; Key and Record give its record in the store.
type Replica struct {
	ID      string // the target's id
	Service string // the service that the replica belongs to
	Version string // of its software; "" stands for v1
	Slots   int    // how many requests may run at once; further ones are refused
	// EventCount is the number of events of a stream; 0 means plain answers. EventInterval is the time before each
	// event of a stream, ServiceTime the time that a plain answer takes.
	EventCount    int
	EventInterval time.Duration
	ServiceTime   time.Duration

	// EndsWithConnection makes the body of each answer end with its connection, without a length or chunks.
	EndsWithConnection bool

	// NoReport makes the replica answer a call for its report with status 404.
	NoReport bool

	// FaultOf, if set, returns the fault of the answer to a request. It may wait first.
	FaultOf func(request *http.Request) ReplicaFault

	// CrashesOn, if set, reports whether a request crashes the replica. The replica then begins its answer, calls OnCrash,
	// which must be set too, and aborts the connection.
	CrashesOn func(request *http.Request) bool
	OnCrash   func()

	mutex       sync.Mutex
	running     int // requests that run now
	fault       ReplicaFault
	limit       string
	leaving     bool
	refuseUntil time.Time
	refusedOn   map[string]string // id of the refused request by connection, for ReplicaFaultRepeatRefusal
	silenced    chan struct{}     // closed when the answers that run now send nothing any more, nil before the first request
	received    []ReceivedRequest
	born        int64 // of the last record
}

// ReplicaFault is what a replica does wrong when it answers.
type ReplicaFault int

// Faults of a replica.
const (
	// ReplicaFaultNone answers correctly.
	ReplicaFaultNone ReplicaFault = iota
	// ReplicaFaultRefuse refuses every request with status 503 and the header that says that it did not run.
	ReplicaFaultRefuse
	// ReplicaFaultServerError runs the request and answers with status 500.
	ReplicaFaultServerError
	// ReplicaFaultReset runs the request and aborts the connection without an answer.
	ReplicaFaultReset
	// ReplicaFaultTruncate aborts the connection within the third event that it sends. Plain answers are correct.
	ReplicaFaultTruncate
	// ReplicaFaultNoResponse runs the request and sends nothing until the request is cancelled.
	ReplicaFaultNoResponse
	// ReplicaFaultWrongRequestID answers with the id of another request, and with a signature.
	ReplicaFaultWrongRequestID
	// ReplicaFaultUnsigned answers without a signature.
	ReplicaFaultUnsigned
	// ReplicaFaultRepeatRefusal refuses the first request on each connection as ReplicaFaultRefuse does. It runs the second
	// one, and sends the refusal once more just before the answer.
	ReplicaFaultRepeatRefusal
)

// ReceivedRequest is a request for the replica that reached it.
type ReceivedRequest struct {
	ID string
	// Executed is set if the replica ran the request, and not if it refused it.
	Executed       bool
	URI            string
	Body           string
	PromptParts    string // the header with the parts of the prompt
	Account        string // the client account that the entry names
	Authorization  string // the Authorization header
	LastEventID    string // the Last-Event-Id header
	DeadlineMillis string // the deadline header as received
	ReceivedAt     time.Time
	// Leaving is set if the answer says that the replica leaves. RetryAfter is the time that a refusal names, 0 for none.
	Leaving    bool
	RetryAfter time.Duration
}

// SetFault sets the fault of the answers to all requests that arrive from now on.
func (r *Replica) SetFault(fault ReplicaFault) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fault, r.refusedOn = fault, map[string]string{}
}

// SetLimit sets the number of requests a second that the replica names as its limit in all answers from now on, "" for none.
func (r *Replica) SetLimit(perSecond string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.limit = perSecond
}

// Silence makes all answers that have begun send nothing any more, as if the replica's machine had lost its power. Later
// answers are sent.
func (r *Replica) Silence() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.silenced != nil {
		close(r.silenced)
	}
	r.silenced = make(chan struct{})
}

// silence returns the channel that ends the answer of a request.
func (r *Replica) silence() <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.silenced == nil {
		r.silenced = make(chan struct{})
	}
	return r.silenced
}

// Executed returns the requests that the replica ran, in order of arrival.
func (r *Replica) Executed() []ReceivedRequest {
	return slices.DeleteFunc(r.Received(), func(received ReceivedRequest) bool { return !received.Executed })
}

// Received returns the requests that reached the replica, in order of arrival. It includes those that were refused for
// want of a slot or because of ReplicaFaultRefuse, but not those meant for another replica.
func (r *Replica) Received() []ReceivedRequest {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.received)
}

// Registration holds those fields of a replica's record in the store that are not fields of Replica.
type Registration struct {
	Address    string // IP:port
	Zone       string
	Draining   bool  // the replica announces its shutdown
	Born       int64 // wall time of the incarnation's start, in milliseconds since the Unix epoch
	Sequence   int64 // rises with each record of one incarnation
	ColdMillis int   // how long the replica is still cold, in milliseconds
}

// TargetKeyPrefix is the beginning of the keys of all replicas' records.
const TargetKeyPrefix = "servers/"

// Key returns the key of the replica's record in the store.
func (r *Replica) Key() string { return TargetKeyPrefix + r.ID }

// Record returns the value of the replica's record in the store, to be encoded as JSON.
func (r *Replica) Record(registration Registration) map[string]any {
	r.mutex.Lock()
	r.born = registration.Born
	r.mutex.Unlock()
	state := "ready"
	if registration.Draining {
		state = "draining"
	}
	return map[string]any{
		"service": r.Service, "address": registration.Address, "zone": registration.Zone, "version": r.version(), "slots": r.Slots,
		"state": state, "cold_remaining_ms": registration.ColdMillis, "seq": registration.Sequence, "born": registration.Born,
	}
}

// SetVersion sets the version of the software that the replica's next incarnation has.
func (r *Replica) SetVersion(version string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Version = version
}

func (r *Replica) version() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.Version == "" {
		return "v1"
	}
	return r.Version
}

// versionMark precedes the replica's version in the data of an event.
const versionMark = "data: version "

// ServeHTTP runs or refuses one request. A request that is meant for another replica gets status 421; one that finds no
// free slot gets status 503 and the header that says that it did not run.
func (r *Replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	header := w.Header()
	header.Set(HeaderRequestID, request.Header.Get(HeaderRequestID))
	if expected := request.Header.Get("Lovageshift-Expected-Instance"); expected != r.ID {
		r.setLeavingHeader(header)
		header.Set("Lovageshift-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == reportPath && r.NoReport {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if request.URL.Path == reportPath {
		r.writeReport(w)
		return
	}
	fault, received := r.admit(request)
	if limit := r.currentLimit(); limit != "" {
		header.Set(HeaderLimit, limit)
	}
	if received.Leaving {
		header.Set(headerLeaving, "1")
	}
	if !received.Executed {
		refuse(w, received)
		return
	}
	defer r.release()
	silenced := r.silence()
	if r.EndsWithConnection {
		header.Set("Transfer-Encoding", "identity")
	}
	if fault == ReplicaFaultWrongRequestID {
		header.Set(HeaderRequestID, "another")
	}
	if fault != ReplicaFaultUnsigned {
		header.Set(HeaderSignature, "seal-"+r.ID)
	}
	if r.CrashesOn != nil && r.CrashesOn(request) {
		_ = http.NewResponseController(w).Flush()
		r.OnCrash()
		r.abort(request, silenced)
	}
	if refused := r.takeRefusal(request.RemoteAddr); refused != "" {
		r.repeatRefusal(w, request, refused)
		return
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
	r.stream(w, request, fault, silenced)
}

// reportPath is the path at which a replica describes itself.
const reportPath = "/-/report"

func (r *Replica) writeReport(w http.ResponseWriter) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"running":%d,"born":%d}`, r.running, r.born)
}

// abort ends an answer when its connection does if the replica is silenced, and its connection otherwise.
func (r *Replica) abort(request *http.Request, silenced <-chan struct{}) {
	select {
	case <-silenced:
		<-request.Context().Done()
	default:
	}
	panic(http.ErrAbortHandler)
}

// admit records a request and takes a slot for it unless it is refused. It returns the fault that applies to its answer.
func (r *Replica) admit(request *http.Request) (ReplicaFault, ReceivedRequest) {
	body, _ := io.ReadAll(request.Body)
	received := ReceivedRequest{
		ID: request.Header.Get(HeaderRequestID), URI: request.RequestURI, Body: string(body),
		PromptParts: request.Header.Get(HeaderPromptParts),
		Account:     request.Header.Get("Lovageshift-Tenant"), Authorization: request.Header.Get("Authorization"),
		LastEventID:    request.Header.Get(headerLastEvent),
		DeadlineMillis: request.Header.Get("Lovageshift-Deadline-Milliseconds"),
		ReceivedAt:     time.Now(),
	}
	var fault ReplicaFault
	if r.FaultOf != nil {
		fault = r.FaultOf(request)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.FaultOf == nil {
		fault = r.fault
	}
	received.Leaving, received.RetryAfter = r.leaving, max(r.refuseUntil.Sub(received.ReceivedAt), 0)
	received.Executed = received.RetryAfter == 0 && fault != ReplicaFaultRefuse && r.running < r.Slots
	if fault == ReplicaFaultRepeatRefusal && r.refusedOn[request.RemoteAddr] == "" {
		r.refusedOn[request.RemoteAddr], received.Executed = received.ID, false
	}
	r.received = append(r.received, received)
	if received.Executed {
		r.running++
	}
	return fault, received
}

func (r *Replica) currentLimit() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.limit
}

// release frees the slot of a request that has ended.
func (r *Replica) release() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.running--
}

// stream writes the events that follow the one whose number is in the Last-Event-Id header, or all events if there is
// no such header.
func (r *Replica) stream(w http.ResponseWriter, request *http.Request, fault ReplicaFault, silenced <-chan struct{}) {
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(request.Header.Get(headerLastEvent))
	for number := first + 1; number <= r.EventCount; number++ {
		sleep(request, r.EventInterval)
		select {
		case <-silenced:
			r.abort(request, silenced)
		default:
		}
		if fault == ReplicaFaultTruncate && number > first+2 {
			_, _ = io.WriteString(w, fmt.Sprintf("id: %d\nda", number))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, r.event(number))
		_ = http.NewResponseController(w).Flush()
	}
}

// event returns one event of a stream.
func (r *Replica) event(number int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d\n%s%s\n\n", number, number, versionMark, r.version())
}

// sleep waits for the duration; it returns early if the request is cancelled.
func sleep(request *http.Request, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-request.Context().Done():
	}
}
