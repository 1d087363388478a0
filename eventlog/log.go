package eventlog

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"lovageshift"
)

const (
	// Rate limit of each event: lines beyond it are dropped and counted.
	maxLinesPerSecond = 300
	// Most lines queued for a slow reader of the output; further ones are dropped and counted.
	maxQueuedLines = 4096
	// Longest text of a value, in bytes. Values may quote what a target or a caller sent, and many lines are kept.
	maxTextBytes = 1 << 10
	// Interval at which Run logs how many lines were dropped since its last report, if there are any.
	reportInterval = time.Second
)

// Log queues structured lines, which Run writes. A nil Log does nothing. It is safe for concurrent use.
type Log struct {
	logger *slog.Logger
	queue  *lineQueue
	recent recentLines

	mutex sync.Mutex
	rates map[string]*eventRate
}

// eventRate counts the lines of one event in the second that began at secondStart, and all lines of the event that the
// rate limit has dropped.
type eventRate struct {
	secondStart time.Time
	count       int
	dropped     int64
}

// New returns a log that writes JSON lines to out, each with the process's name. Nothing is written until Run is called.
func New(out io.Writer, name lovageshift.EntryID) *Log {
	queue := &lineQueue{pending: make(chan []byte, maxQueuedLines), out: out}
	handler := slog.NewJSONHandler(queue, nil)
	return &Log{
		logger: slog.New(handler).With("process", string(name)),
		queue:  queue,
		rates:  map[string]*eventRate{},
	}
}

// CaptureKlog makes klog write its lines to this log. They have no rate limit, but are dropped if the queue is full.
func (l *Log) CaptureKlog() { klog.SetSlogLogger(l.logger) }

// Info queues one line of the event with alternating keys and values, or drops it if the event's rate limit is reached
// or the queue is full. Texts longer than maxTextBytes are cut. It never waits for the output. Lines about requests are kept as WriteRecent
// describes, even if they are dropped here.
func (l *Log) Info(event string, keysAndValues ...any) {
	if l == nil {
		return
	}
	keysAndValues = shortened(keysAndValues)
	l.recent.add(time.Now(), event, keysAndValues)
	if !l.allow(event) {
		return
	}
	l.logger.Info(event, keysAndValues...)
}

// shortened returns the keys and values with errors as text, and each text cut to maxTextBytes.
func shortened(keysAndValues []any) []any {
	short := slices.Clone(keysAndValues)
	for i, value := range short {
		switch value := value.(type) {
		case string:
			short[i] = cut(value)
		case error:
			short[i] = cut(value.Error())
		}
	}
	return short
}

// cut returns a text of at most maxTextBytes that does not keep the memory of a longer one.
func cut(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.Clone(text[:maxTextBytes])
}

// allow counts a line of the event and reports whether it is within the rate limit.
func (l *Log) allow(event string) bool {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	rate := l.rates[event]
	if rate == nil {
		rate = &eventRate{secondStart: now}
		l.rates[event] = rate
	}
	if now.Sub(rate.secondStart) >= time.Second {
		rate.secondStart, rate.count = now, 0
	}
	rate.count++
	if rate.count > maxLinesPerSecond {
		rate.dropped++
		return false
	}
	return true
}

// Dropped returns the number of lines that were not written because of a full queue, the rate limit of their event or a
// write error.
func (l *Log) Dropped() int64 {
	if l == nil {
		return 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	total := l.queue.dropped.Load()
	for _, rate := range l.rates {
		total += rate.dropped
	}
	return total
}

// Run writes queued lines until the context ends, and then the lines left in the queue.
func (l *Log) Run(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var reported int64
	for {
		select {
		case line := <-l.queue.pending:
			l.queue.write(line)
		case <-ticker.C:
			if dropped := l.Dropped(); dropped > reported {
				l.Info("linesLeftOut", "count", dropped-reported)
				reported = dropped
			}
		case <-ctx.Done():
			l.drain()
			return nil
		}
	}
}

// drain writes the lines left in the queue without waiting for further ones.
func (l *Log) drain() {
	for {
		select {
		case line := <-l.queue.pending:
			l.queue.write(line)
		default:
			return
		}
	}
}

// lineQueue queues lines for Run, the only goroutine that a slow reader may block.
type lineQueue struct {
	pending chan []byte
	out     io.Writer
	dropped atomic.Int64
}

// Write queues a copy of the line, or drops and counts it if the queue is full. It never returns an error.
func (q *lineQueue) Write(line []byte) (int, error) {
	select {
	case q.pending <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// write writes a line to the output, or counts it as dropped if that fails.
func (q *lineQueue) write(line []byte) {
	if _, err := q.out.Write(line); err != nil {
		q.dropped.Add(1)
	}
}
