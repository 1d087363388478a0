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

// checkIncarnations asks the targets that may have restarted whether they have, until the context ends.
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
	ask := upstream.Born
	if g.tracker.Unconfirmed() {
		ask = g.pool.Born
	}
	born, err := ask(ctx, target)
	detail := ""
	switch {
	case errors.Is(err, upstream.ErrNoReport):
		g.scheduler.RecordNoReport(target.ID, target.Born)
		detail = oneLine(err.Error())
	case err != nil:
		detail = oneLine(err.Error())
	case born == target.Born:
		until := askedAt
		if now := g.clock.Now(); g.scheduler.ConfirmIncarnation(now, askedAt, target.ID, born) {
			until = now
		}
		g.recordAnswered(target, until)
	default:
		g.scheduler.RecordRestart(target)
	}
	g.log.Info("incarnationChecked", "target", target.ID, "same", err == nil && born == target.Born, "afterMillis", g.clock.Now()-askedAt, "detail", detail)
}
