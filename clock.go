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

// Clock reads three kinds of time, in milliseconds: a monotonic time that starts at 1 when the clock is created (Now),
// the time since the VM's boot (SinceBoot) and the wall time (Wall).
type Clock struct {
	start time.Time
	// virtual is set if SinceBoot must return Now.
	virtual bool
}

// NewClock returns a clock whose Now starts at 1 ms, so that a Millis of 0 can mean that a time is not set.
func NewClock() Clock { return Clock{start: time.Now()} }

// NewVirtualClock returns a clock like NewClock whose SinceBoot returns Now, for tests in virtual time, which the kernel's
// clocks do not follow.
func NewVirtualClock() Clock { return Clock{start: time.Now(), virtual: true} }

// Now returns the milliseconds since the clock was created, plus 1. The result never decreases.
func (c Clock) Now() Millis { return Millis(time.Since(c.start).Milliseconds()) + 1 }

// SinceBoot returns the milliseconds since the VM booted. Unlike Now it includes the time for which the VM was
// suspended. If the kernel does not provide this clock, SinceBoot returns Now.
func (c Clock) SinceBoot() Millis {
	if c.virtual {
		return c.Now()
	}
	var sinceBoot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot); err != nil {
		return c.Now()
	}
	return Millis(sinceBoot.Nano() / int64(time.Millisecond))
}

// Pause waits for the given time, or until the context is done if that is earlier.
func Pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Every calls do at the given interval until the context is done.
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

// Wall returns the wall time, in milliseconds since the Unix epoch.
func (c Clock) Wall() Millis { return Millis(time.Now().UnixMilli()) }
