package eventlog_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/gravitational/trace"
	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"lovageshift/eventlog"
)

// blockedWriter blocks every write until released is closed, like standard output that nobody reads, and counts the lines
// written.
type blockedWriter struct {
	released chan struct{}
	mutex    sync.Mutex
	lines    int
}

func (b *blockedWriter) Write(line []byte) (int, error) {
	<-b.released
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.lines++
	return len(line), nil
}

func TestRecent(t *testing.T) {
	Convey("Lines about requests that did not succeed are found by request id, even if the rate limit dropped them from the output", t, func() {
		log := eventlog.New(io.Discard, "entry-1")
		log.Info("answered", "request", "good", "status", 200, "detail", "")
		log.Info("refused", "request", "old", "status", 503)
		for i := range 2046 {
			log.Info("refused", "request", fmt.Sprintf("r-%d", i), "status", 503, "detail", "shed")
		}
		log.Info("brokenOff", "request", "cut", "status", 200)
		log.Info("retry", "request", "r-2045", "reason", "targetFailing")
		var out bytes.Buffer
		So(log.WriteRecent("r-2045", &out), ShouldBeNil)
		So(strings.Count(out.String(), "\n"), ShouldEqual, 2)
		So(out.String(), ShouldContainSubstring, `"msg":"refused","request":"r-2045","status":503,"detail":"shed"`)
		So(strings.Index(out.String(), "refused"), ShouldBeLessThan, strings.Index(out.String(), "retry"))
		So(log.WriteRecent("r-0", &out), ShouldBeNil)
		So(log.WriteRecent("cut", &out), ShouldBeNil)
		So(trace.IsNotFound(log.WriteRecent("old", &out)), ShouldBeTrue)
		So(errors.Is(log.WriteRecent("good", &out), eventlog.ErrNoRecentLines), ShouldBeTrue)
		var none *eventlog.Log
		So(errors.Is(none.WriteRecent("r-0", &out), eventlog.ErrNoRecentLines), ShouldBeTrue)
	})
}

// Guards against a target whose malformed answers fill the memory, as the lines that quote them are kept.
func TestLinesWithLongTextsTakeLittleMemory(t *testing.T) {
	Convey("A long text is cut in the lines that are kept", t, func() {
		const lines, mostOfALine = 3000, 8 << 10
		log := eventlog.New(io.Discard, "entry-1")
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range lines {
			text := strings.Repeat("a", 128<<10)
			log.Info("refused", "request", fmt.Sprintf("r-%d", i), "detail", text, "error", errors.New(text))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		So(int64(after.HeapAlloc)-int64(before.HeapAlloc), ShouldBeLessThan, lines*mostOfALine)
		var out bytes.Buffer
		So(log.WriteRecent("r-2999", &out), ShouldBeNil)
		So(out.Len(), ShouldBeLessThan, mostOfALine)
	})
}

func TestLog(t *testing.T) {
	Convey("A blocked writer doesn't block the callers of Info, and dropped lines are counted", t, func() {
		out := &blockedWriter{released: make(chan struct{})}
		log := eventlog.New(out, "entry-1")
		ctx, cancel := context.WithCancel(context.Background())
		var tasks errgroup.Group
		tasks.Go(func() error { return log.Run(ctx) })
		const total = 10_000
		for i := range total {
			log.Info("kind" + string(rune('a'+i%26)))
		}
		dropped := log.Dropped()
		So(dropped, ShouldBeGreaterThan, 0)
		close(out.released)
		cancel()
		_ = tasks.Wait()
		out.mutex.Lock()
		defer out.mutex.Unlock()
		So(out.lines, ShouldBeGreaterThan, 0)
		So(int64(out.lines)+log.Dropped(), ShouldBeGreaterThanOrEqualTo, total)
	})
	Convey("The rate limit of one event does not drop lines of other events", t, func() {
		var out bytes.Buffer
		log := eventlog.New(&out, "entry-1")
		for range 1000 {
			log.Info("frequent")
		}
		log.Info("rare")
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		So(log.Run(ctx), ShouldBeNil)
		So(strings.Count(out.String(), "frequent"), ShouldBeLessThanOrEqualTo, 600)
		So(out.String(), ShouldContainSubstring, `"msg":"rare","process":"entry-1"`)
		So(log.Dropped(), ShouldBeGreaterThanOrEqualTo, 400)
	})
	Convey("A nil log writes nothing", t, func() {
		var log *eventlog.Log
		log.Info("line")
		So(log.Dropped(), ShouldEqual, 0)
	})
}

func TestFilterRequest(t *testing.T) {
	lines := `  12.5 entry-2 {"time":"2026-12-04T04:00:02Z","level":"INFO","msg":"refused","process":"entry-2","request":"r1","status":503,"detail":"shed"}
not a line of ours
{"time":"2026-12-04T04:00:03Z","msg":"answered","process":"entry-1","request":"r2","status":200}
{"time":"2026-12-04T04:00:01Z","msg":"retry","process":"entry-1","request":"r1","reason":"targetFailing"}
{"time":"2026-12-04T04:00:01Z","msg":"broken r1
`
	Convey("The lines about one request from all processes are written in order of time", t, func() {
		var out bytes.Buffer
		So(eventlog.FilterRequest(strings.NewReader(lines), "r1", &out), ShouldBeNil)
		So(out.String(), ShouldEqual, "04:00:01.000 entry-1 retry reason=targetFailing\n04:00:02.000 entry-2 refused detail=shed status=503\n")
	})
	Convey("A request about which there is no line is an error", t, func() {
		So(eventlog.FilterRequest(strings.NewReader(lines), "r9", &bytes.Buffer{}), ShouldNotBeNil)
	})
}
