package gateway

import (
	"context"
	"errors"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
	"lovageshift/stream"
)

const (
	// An entry whose view is older than this is out of touch with the store. Targets may have come and gone since.
	maxVersionsAge lovageshift.Millis = 3000
	// The longest wait for a view that shows all software versions that may have begun a stream. Without changes, the answer to
	// a reader's next call to the store becomes known so late.
	maxProofWait lovageshift.Millis = 2800
)

// streamAttempt returns the id of the attempt that began the request's stream: the one that the caller names if it takes a
// stream up, or else the request itself.
func (r *request) streamAttempt() string {
	if r.headers.LastEventID != "" && r.headers.Resumes != "" {
		return r.headers.Resumes
	}
	return r.headers.ID
}

// findRelease finds the software version at which the caller's stream began if the request takes one up, and refuses the
// request if it is not known.
func (r *request) findRelease(ctx context.Context) *lovageshift.Refusal {
	if r.headers.LastEventID == "" || r.route.Kind != catalog.KindStream {
		return nil
	}
	g := r.gateway
	origin, err := g.findOrigin(ctx, r.headers.Resumes)
	if err == nil && origin.Service != r.service {
		return lovageshift.NotRun(lovageshift.ReasonStreamUnknown, "the stream began at another service")
	}
	if err == nil {
		r.release, r.hasRelease = origin.Version, true
		return nil
	}
	if only, known := r.onlyRelease(ctx); known {
		r.release, r.hasRelease = only, true
		return nil
	}
	refusal := lovageshift.NotRun(lovageshift.ReasonStreamUnknown, err.Error())
	if errors.Is(err, stream.ErrNoAnswer) {
		refusal = refusal.WithRetryAfter(shortRetryAfter)
	}
	return refusal
}

// onlyRelease returns the only software version at which the caller's stream can have begun, and false if there may be several.
func (r *request) onlyRelease(ctx context.Context) (lovageshift.SoftwareVersion, bool) {
	g := r.gateway
	if g.tracker.ViewAge() >= maxVersionsAge {
		return "", false
	}
	wait := maxProofWait
	if left := r.timeLeft(); left > 0 {
		wait = min(wait, left/2)
	}
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	return g.versions.Prove(ctx, g.clock, g.tracker, r.service, r.longestStream())
}

// longestStream returns the length of the longest stream of the route, 0 for no bound. If entries use any view for the route,
// however old it is, streams may still begin at targets whose records were removed long ago.
func (r *request) longestStream() lovageshift.Millis {
	if r.gateway.revocation == 0 || !r.needsKey(r.gateway.tracker.View()) {
		return 0
	}
	return r.route.Timeout
}

// observeVersions records the software versions of the view's targets.
func (g *Gateway) observeVersions(now lovageshift.Millis, view *catalog.View) {
	if g.unseenMillis() >= maxVersionsAge {
		g.versions.Missed(now)
	}
	g.versions.Observe(now, view)
}

// unseenMillis returns for how long targets may have come and gone before the view that is just being published, without one
// that showed them.
func (g *Gateway) unseenMillis() lovageshift.Millis {
	return min(g.tracker.ViewAge(), g.clock.SinceBoot()-g.startedAt)
}

// findOrigin returns where the attempt's stream began; "" stands for an attempt that the caller does not name.
func (g *Gateway) findOrigin(ctx context.Context, attempt string) (stream.Origin, error) {
	if attempt == "" {
		return stream.Origin{}, stream.ErrUnknown
	}
	return g.streams.Find(ctx, attempt)
}

// bindRelease binds the request's stream to the software version of the target that sends its first event. If that may have
// started again, its version is not known, and neither an entry nor the caller can go on with the stream.
func (r *request) bindRelease(slot *placement.Slot) {
	g := r.gateway
	if r.hasRelease {
		return
	}
	if g.scheduler.MayHaveRestarted(g.clock.Now(), slot) {
		r.releaseUnknown = true
		return
	}
	r.release, r.hasRelease = slot.Target.Version, true
	r.job.Version, r.job.HasVersion = r.release, true
	if r.route.Resumable {
		g.streams.Record(r.headers.ID, stream.Origin{Service: r.service, Version: r.release})
	}
}
