package lovageshift

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point in time or a duration in milliseconds.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Seconds returns m in seconds.
func (m Millis) Seconds() float64 { return float64(m) / 1000 }

// Clock reads a monotonic time since its start and the wall time.
type Clock struct {
	start time.Time
}

// NewClock returns a clock that starts at one millisecond now.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now returns the milliseconds since the clock started; it never goes back.
func (c Clock) Now() Millis { return Millis(time.Since(c.start).Milliseconds()) + 1 }

// SinceBoot returns the milliseconds since the machine started, counting the time it was suspended, which Now leaves out.
func (c Clock) SinceBoot() Millis {
	var since unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &since); err != nil {
		return c.Now()
	}
	return Millis(since.Nano() / int64(time.Millisecond))
}

// Pause waits for the time given, or until the context ends.
func Pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Every does something at an interval until the context ends.
func Every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

// Wall returns the wall time in milliseconds since the Unix epoch.
func (c Clock) Wall() Millis { return Millis(time.Now().UnixMilli()) }
