package eventlog

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"lovageshift"
)

const (
	// Lines of one kind beyond this rate are left out and counted.
	linesPerSecond = 300
	// Lines that wait for a slow reader; more are left out and counted.
	maxWaiting = 4096
	// How often the number of lines left out is told.
	tellInterval = time.Second
)

// Log writes structured lines; a nil Log writes nothing.
type Log struct {
	logger *slog.Logger
	lines  *lines
	recent recent

	mutex sync.Mutex
	kinds map[string]*allowedLines
}

type allowedLines struct {
	since   time.Time
	count   int
	leftOut int64
}

// New returns a log that writes JSON lines, each with the process's name, to the writer; Run does the writing.
func New(out io.Writer, name lovageshift.EntryID) *Log {
	waiting := &lines{queue: make(chan []byte, maxWaiting), out: out}
	handler := slog.NewJSONHandler(waiting, nil)
	return &Log{
		logger: slog.New(handler).With("process", string(name)),
		lines:  waiting,
		kinds:  map[string]*allowedLines{},
	}
}

// CaptureKlog sends klog's lines to this log too.
func (l *Log) CaptureKlog() { klog.SetSlogLogger(l.logger) }

// Info writes one line of the kind with alternating keys and values.
func (l *Log) Info(kind string, keysAndValues ...any) {
	if l == nil {
		return
	}
	l.recent.keep(time.Now(), kind, keysAndValues)
	if !l.allow(kind) {
		return
	}
	l.logger.Info(kind, keysAndValues...)
}

func (l *Log) allow(kind string) bool {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	allowed := l.kinds[kind]
	if allowed == nil {
		allowed = &allowedLines{since: now}
		l.kinds[kind] = allowed
	}
	if now.Sub(allowed.since) >= time.Second {
		allowed.since, allowed.count = now, 0
	}
	allowed.count++
	if allowed.count > linesPerSecond {
		allowed.leftOut++
		return false
	}
	return true
}

// Dropped returns how many lines were not written, by a full queue or by the rate of their kind.
func (l *Log) Dropped() int64 {
	if l == nil {
		return 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	total := l.lines.leftOut.Load()
	for _, allowed := range l.kinds {
		total += allowed.leftOut
	}
	return total
}

// Run writes queued lines until the context ends, and then what still waits.
func (l *Log) Run(ctx context.Context) error {
	ticker := time.NewTicker(tellInterval)
	defer ticker.Stop()
	var told int64
	for {
		select {
		case line := <-l.lines.queue:
			l.lines.write(line)
		case <-ticker.C:
			if leftOut := l.Dropped(); leftOut > told {
				l.Info("linesLeftOut", "count", leftOut-told)
				told = leftOut
			}
		case <-ctx.Done():
			l.drain()
			return nil
		}
	}
}

func (l *Log) drain() {
	for {
		select {
		case line := <-l.lines.queue:
			l.lines.write(line)
		default:
			return
		}
	}
}

// lines queues written lines for the one goroutine that may wait for the reader.
type lines struct {
	queue   chan []byte
	out     io.Writer
	leftOut atomic.Int64
}

// Write queues a copy of the line or counts it as left out.
func (l *lines) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.leftOut.Add(1)
	}
	return len(line), nil
}

func (l *lines) write(line []byte) {
	if _, err := l.out.Write(line); err != nil {
		l.leftOut.Add(1)
	}
}
