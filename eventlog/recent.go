package eventlog

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	// Number of lines about requests that are kept, including those that the rate limit of their event drops.
	maxRecentLines = 2048
	// Lines of this event that begin with the request and this status are not kept, as the request succeeded.
	successEvent  = "answered"
	statusKey     = "status"
	successStatus = 200
)

// ErrNoRecentLines is returned for a request about which no line is kept, or none any longer.
var ErrNoRecentLines = trace.NotFound("no recent line names the request")

// recentLines is a ring buffer of the last lines about requests, without those that report a success.
type recentLines struct {
	mutex sync.Mutex
	lines [maxRecentLines]recentLine
	next  int
}

type recentLine struct {
	at      time.Time
	event   string
	request string
	values  []any
}

// add keeps a line if its first key is the request and the line doesn't report its success.
func (r *recentLines) add(at time.Time, event string, values []any) {
	if len(values) < 2 || values[0] != requestKey || succeeded(event, values[2:]) {
		return
	}
	request, isString := values[1].(string)
	if !isString {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lines[r.next] = recentLine{at, event, request, values}
	r.next = (r.next + 1) % maxRecentLines
}

func succeeded(event string, values []any) bool {
	return event == successEvent && len(values) >= 2 && values[0] == statusKey && values[1] == successStatus
}

// forRequest returns the kept lines about a request, oldest first.
func (r *recentLines) forRequest(request string) []recentLine {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var found []recentLine
	for i := range maxRecentLines {
		if line := r.lines[(r.next+i)%maxRecentLines]; line.request == request && line.event != "" {
			found = append(found, line)
		}
	}
	return found
}

// WriteRecent writes the kept lines about a refused or failed request as JSON, oldest first, or returns
// ErrNoRecentLines.
func (l *Log) WriteRecent(request string, out io.Writer) error {
	if l == nil {
		return ErrNoRecentLines
	}
	found := l.recent.forRequest(request)
	if len(found) == 0 {
		return ErrNoRecentLines
	}
	handler := slog.NewJSONHandler(out, nil)
	for _, line := range found {
		record := slog.NewRecord(line.at, slog.LevelInfo, line.event, 0)
		record.Add(line.values...)
		if err := handler.Handle(context.Background(), record); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
