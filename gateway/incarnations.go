package gateway

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/upstream"
)

const (
	// Interval at which the targets that may have restarted are looked for.
	doubtInterval = 20 * time.Millisecond
	// Most targets that are asked for their incarnation at once.
	maxIncarnationChecks = 32
)

// checkIncarnations asks the targets to which connections were lost whether they have restarted, until the context ends.
func (g *Gateway) checkIncarnations(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxIncarnationChecks)
	lovageshift.Every(ctx, doubtInterval, func() {
		for _, target := range g.scheduler.Doubted(g.clock.Now()) {
			group.Go(func() error {
				g.checkIncarnation(ctx, target)
				return nil
			})
		}
	})
	return group.Wait()
}

func (g *Gateway) checkIncarnation(ctx context.Context, target *catalog.Target) {
	askedAt := g.clock.Now()
	born, err := upstream.Born(ctx, target)
	detail := ""
	switch {
	case errors.Is(err, upstream.ErrNoReport):
		g.scheduler.RecordNoReport(target.ID, target.Born)
		detail = oneLine(err.Error())
	case err != nil:
		detail = oneLine(err.Error())
	case born == target.Born:
		g.scheduler.ConfirmIncarnation(g.clock.Now(), askedAt, target.ID, born)
	default:
		g.scheduler.RecordRestart(target)
	}
	g.log.Info("incarnationChecked", "target", target.ID, "same", err == nil && born == target.Born, "afterMillis", g.clock.Now()-askedAt, "detail", detail)
}
