package hedge

import (
	"math/bits"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lovageshift"
	"lovageshift/catalog"
)

const (
	// Measured times count for one to two times this long, so that the decision follows a change of the service's speed.
	timesWindow lovageshift.Millis = 10_000
	// Fewer measured times than this give no reliable quantile.
	minTimes = 50
	// Longest time that is distinguished, in milliseconds, and the number of significant decimal digits. A histogram takes 2 kB.
	maxTime           lovageshift.Millis = 60_000
	significantDigits                    = 1
	// How long a measurement is used before it is made anew, which takes some microseconds.
	measureInterval lovageshift.Millis = 100
	// Most pairs of service and size class whose times are kept.
	maxSeries = 256
	// Requests up to this size are of class 0; each further class reaches to twice the size.
	smallestSize = 256
	// The largest size class.
	maxSizeClass SizeClass = 12
)

// SizeClass is a class of request sizes, within which the times to the first byte are taken to be alike.
type SizeClass uint8

// ClassOf returns the class of a request's size, in prompt tokens or, where those are not declared, bytes.
func ClassOf(size int64) SizeClass {
	return min(SizeClass(bits.Len64(uint64(max(size-1, 0))/smallestSize)), maxSizeClass)
}

// series identifies the times that are kept together.
type series struct {
	service catalog.ServiceID
	size    SizeClass
}

// times holds the times to the first byte. It is not safe for concurrent use.
type times struct {
	// quantile is the one after which a response is late.
	quantile float64
	kept     map[series]*window
}

// window holds the times of the current and the previous time window.
type window struct {
	began             lovageshift.Millis // when the current one began
	current, previous *hdrhistogram.Histogram
	// cached is the last measurement, made at cachedAt; it is not used if it is not known.
	cached   measurement
	cachedAt lovageshift.Millis
}

// measurement sums up the times of a series: their median, and the quantile after which a response is late.
type measurement struct {
	median, late lovageshift.Millis
	// known is set if enough times were measured.
	known bool
}

func newTimes(quantile float64) *times { return &times{quantile: quantile, kept: map[series]*window{}} }

// record adds one time. It drops it if times of too many series are kept.
func (t *times) record(now lovageshift.Millis, s series, took lovageshift.Millis) {
	w := t.kept[s]
	if w == nil {
		if len(t.kept) >= maxSeries && !t.evict(now) {
			return
		}
		w = &window{began: now, current: newHistogram(), previous: newHistogram()}
		t.kept[s] = w
	}
	w.turn(now)
	_ = w.current.RecordValue(int64(min(max(took, 1), maxTime))) // within the bounds, so it does not fail
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxTime), significantDigits)
}

// evict removes the series without recent times, and reports whether there were any.
func (t *times) evict(now lovageshift.Millis) bool {
	for s, w := range t.kept {
		if now-w.began >= 2*timesWindow {
			delete(t.kept, s)
		}
	}
	return len(t.kept) < maxSeries
}

// turn begins the window of the time now.
func (w *window) turn(now lovageshift.Millis) {
	age := now - w.began
	if age < timesWindow {
		return
	}
	w.current, w.previous = w.previous, w.current
	w.current.Reset()
	if age >= 2*timesWindow {
		w.previous.Reset()
	}
	w.began = now
}

// measured returns the measurement of a series. The result is up to measureInterval old.
func (t *times) measured(now lovageshift.Millis, s series) measurement {
	w := t.kept[s]
	if w == nil {
		return measurement{}
	}
	w.turn(now)
	if w.cached.known && now-w.cachedAt < measureInterval {
		return w.cached
	}
	all := newHistogram()
	all.Merge(w.previous)
	all.Merge(w.current)
	w.cachedAt, w.cached = now, measurement{
		median: lovageshift.Millis(all.ValueAtQuantile(50)), late: lovageshift.Millis(all.ValueAtQuantile(t.quantile * 100)),
		known: all.TotalCount() >= minTimes,
	}
	return w.cached
}
