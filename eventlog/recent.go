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
	// Lines about requests that are kept, also where their kind's rate leaves them out.
	keptLines = 2048
	// Lines of this kind that begin with the request and this status are not kept, as it was served.
	servedKind   = "answered"
	statusKey    = "status"
	servedStatus = 200
)

// ErrNoRecentLines is returned for a request of which no line is kept any more.
var ErrNoRecentLines = trace.NotFound("no recent line names the request")

// recent keeps the last lines about requests that were not simply served.
type recent struct {
	mutex sync.Mutex
	lines [keptLines]keptLine
	next  int
}

type keptLine struct {
	at      time.Time
	kind    string
	request string
	values  []any
}

// keep takes in a line if its first key names a request.
func (r *recent) keep(at time.Time, kind string, values []any) {
	if len(values) < 2 || values[0] != requestKey || served(kind, values[2:]) {
		return
	}
	request, isText := values[1].(string)
	if !isText {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lines[r.next] = keptLine{at, kind, request, values}
	r.next = (r.next + 1) % keptLines
}

func served(kind string, values []any) bool {
	return kind == servedKind && len(values) >= 2 && values[0] == statusKey && values[1] == servedStatus
}

// about returns the lines kept about a request, oldest first.
func (r *recent) about(request string) []keptLine {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var found []keptLine
	for i := range keptLines {
		if line := r.lines[(r.next+i)%keptLines]; line.request == request && line.kind != "" {
			found = append(found, line)
		}
	}
	return found
}

// WriteRecent writes the last lines about a refused or failed request, or returns ErrNoRecentLines.
func (l *Log) WriteRecent(request string, out io.Writer) error {
	if l == nil {
		return ErrNoRecentLines
	}
	found := l.recent.about(request)
	if len(found) == 0 {
		return ErrNoRecentLines
	}
	handler := slog.NewJSONHandler(out, nil)
	for _, line := range found {
		record := slog.NewRecord(line.at, slog.LevelInfo, line.kind, 0)
		record.Add(line.values...)
		if err := handler.Handle(context.Background(), record); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
