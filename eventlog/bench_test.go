package eventlog_test

import (
	"context"
	"io"
	"testing"

	"golang.org/x/sync/errgroup"

	"lovageshift/eventlog"
)

// BenchmarkLine measures Info with the keys of the line that an entry logs at the end of a request.
func BenchmarkLine(b *testing.B) {
	log := eventlog.New(io.Discard, "entry-1")
	ctx, stop := context.WithCancel(context.Background())
	var tasks errgroup.Group
	tasks.Go(func() error { return log.Run(ctx) })
	b.ReportAllocs()
	for b.Loop() {
		log.Info("refused", "request", "9c41d07be2a35f68", "status", 503, "detail", "shed", "route", "chat", "rank", 0,
			"account", "acme", "cost", 200, "prompt", 1460, "output", 80, "version", 17, "viewAgeMillis", 790,
			"target", "i-7f3a91c2", "zone", "zone-a", "running", 4, "tried", 1, "throttledMillis", 0, "waitedMillis", 3,
			"firstByteMillis", 14, "firstEventMillis", 15, "events", 48, "longestGapMillis", 40, "totalMillis", 1200)
	}
	stop()
	_ = tasks.Wait()
}
