package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	headerLeaving = "Server-Leaving"
)

// SetLeaving makes the replica say in all answers from now on that it leaves.
func (r *Replica) SetLeaving() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.leaving = true
}

// RefuseUntil makes the replica refuse all requests until a time with status 503, the header that says that they did not
// run, and the time that is left as Retry-After.
func (r *Replica) RefuseUntil(until time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refuseUntil = until
}

// setLeavingHeader sets the header of an answer to a request that is not recorded.
func (r *Replica) setLeavingHeader(header http.Header) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.leaving {
		header.Set(headerLeaving, "1")
	}
}

// refuse answers a request that does not run.
func refuse(w http.ResponseWriter, received ReceivedRequest) {
	header := w.Header()
	header.Set(HeaderRequestID, received.ID)
	header.Set(HeaderNotRun, "1")
	if received.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(received.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// takeRefusal returns the id of the request that was refused on the connection, once, and "" if there is none.
func (r *Replica) takeRefusal(connection string) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	refused := r.refusedOn[connection]
	delete(r.refusedOn, connection)
	return refused
}

// repeatRefusal runs a request, and sends the refusal of an earlier one on the connection before the answer. It then closes
// the connection.
func (r *Replica) repeatRefusal(w http.ResponseWriter, request *http.Request, refused string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n",
		HeaderRequestID, refused, HeaderNotRun)
	_ = buffer.Flush()
	time.Sleep(r.ServiceTime + time.Duration(r.EventCount)*r.EventInterval)
	body := r.wholeBody(request)
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		HeaderRequestID, request.Header.Get(HeaderRequestID), HeaderSignature, r.ID, len(body), body)
	_ = buffer.Flush()
}

// wholeBody returns the body of the answer to a request.
func (r *Replica) wholeBody(request *http.Request) string {
	if r.EventCount == 0 {
		return "done by " + r.ID
	}
	var body strings.Builder
	first, _ := strconv.Atoi(request.Header.Get(headerLastEvent))
	for number := first + 1; number <= r.EventCount; number++ {
		body.WriteString(r.event(number))
	}
	return body.String()
}
