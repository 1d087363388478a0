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
	// Number of lines about requests that are kept in memory, including lines that are dropped from the output.
	maxRecentLines = 2048
	// A line of successEvent whose second key is statusKey with the value successStatus reports a success and is not kept.
	successEvent  = "answered"
	statusKey     = "status"
	successStatus = 200
)

// ErrNoRecentLines is returned for a request about which no line was kept, or whose kept lines have all been overwritten
// by newer ones.
var ErrNoRecentLines = trace.NotFound("no recent line names the request")

// recentLines is a ring buffer of the newest lines about requests, without those that report a success. WriteRecent
// reads it.
type recentLines struct {
	mutex sync.Mutex
	lines [maxRecentLines]recentLine
	next  int // index that the next line overwrites
}

type recentLine struct {
	at            time.Time
	event         string
	request       string
	keysAndValues []any
}

// add keeps a line if its first key is "request" and it doesn't report that this request succeeded.
func (r *recentLines) add(at time.Time, event string, keysAndValues []any) {
	if len(keysAndValues) < 2 || keysAndValues[0] != requestKey || succeeded(event, keysAndValues[2:]) {
		return
	}
	request, isString := keysAndValues[1].(string)
	if !isString {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lines[r.next] = recentLine{at, event, request, keysAndValues}
	r.next = (r.next + 1) % maxRecentLines
}

// succeeded reports whether a line, given without its request key and id, says that the request was answered with status 200.
func succeeded(event string, keysAndValues []any) bool {
	return event == successEvent && len(keysAndValues) >= 2 && keysAndValues[0] == statusKey && keysAndValues[1] == successStatus
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

// WriteRecent writes the kept lines about a request as JSON, oldest first, or returns ErrNoRecentLines. All lines
// about requests are kept, such as those of retries and refusals, except the last line of a request that was answered
// with status 200, until newer lines overwrite them.
func (l *Log) WriteRecent(request string, out io.Writer) error {
	if l == nil {
		return ErrNoRecentLines
	}
	found := l.recent.forRequest(cut(request))
	if len(found) == 0 {
		return ErrNoRecentLines
	}
	handler := slog.NewJSONHandler(out, nil)
	for _, line := range found {
		record := slog.NewRecord(line.at, slog.LevelInfo, line.event, 0)
		record.Add(line.keysAndValues...)
		if err := handler.Handle(context.Background(), record); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
