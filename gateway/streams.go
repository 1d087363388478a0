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
	// The longest wait until it is known which software version began a stream.
	maxFindWait lovageshift.Millis = 1500
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
// request if it is not known. Others, or this entry later, may know it.
func (r *request) findRelease(ctx context.Context) *lovageshift.Refusal {
	if r.headers.LastEventID == "" || r.route.Kind != catalog.KindStream {
		return nil
	}
	origin, err := r.findOrigin(ctx)
	if err == nil && origin.Service != r.service {
		return lovageshift.NotRun(lovageshift.ReasonStreamUnknown, "the stream began at another service")
	}
	known := err == nil
	r.originFound = known
	r.release = origin.Version
	if !known && !errors.Is(err, stream.ErrUndecided) {
		r.release, known = r.onlyRelease(ctx)
	}
	r.hasRelease = known
	if !known {
		return lovageshift.NotRun(lovageshift.ReasonStreamUnknown, err.Error()).WithRetryAfter(shortRetryAfter)
	}
	return nil
}

// onlyRelease returns the only software version at which the caller's stream can have begun, and false if there may be several.
func (r *request) onlyRelease(ctx context.Context) (lovageshift.SoftwareVersion, bool) {
	g := r.gateway
	if g.tracker.ViewAge() >= maxVersionsAge {
		return "", false
	}
	ctx, cancel := r.partOfTimeLeft(ctx, 2, maxProofWait)
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

// observeVersions records the software versions and incarnations of the view's targets.
func (g *Gateway) observeVersions(now lovageshift.Millis, view *catalog.View) {
	if g.unseenMillis() >= maxVersionsAge {
		g.versions.Missed(now)
	}
	g.versions.Observe(now, view)
	g.streams.Incarnations().Observe(view)
}

// unseenMillis returns for how long targets may have come and gone before the view that is just being published, without one
// that showed them.
func (g *Gateway) unseenMillis() lovageshift.Millis {
	return min(g.tracker.ViewAge(), g.clock.SinceBoot()-g.startedAt)
}

// findOrigin returns where the caller's stream began.
func (r *request) findOrigin(ctx context.Context) (stream.Origin, error) {
	if r.headers.Resumes == "" {
		return stream.Origin{}, stream.ErrUnknown
	}
	ctx, cancel := r.partOfTimeLeft(ctx, 4, maxFindWait)
	defer cancel()
	return r.gateway.streams.Find(ctx, r.headers.Resumes)
}

// partOfTimeLeft returns a context that ends after one part in so many of the request's time, at the latest after most.
func (r *request) partOfTimeLeft(ctx context.Context, parts, most lovageshift.Millis) (context.Context, context.CancelFunc) {
	if left := r.timeLeft(); left > 0 {
		most = min(most, left/parts)
	}
	return context.WithTimeout(ctx, most.Duration())
}

// bindRelease binds the request's stream to the software version of the target that sends its first event. If that may have
// started again, its version is not known yet. Until the target itself shows that it has not (see rebindRelease), this attempt
// does not go on with the stream; a later one may.
func (r *request) bindRelease(slot *placement.Slot) {
	g := r.gateway
	if r.hasRelease {
		return
	}
	if shownUntil := g.changesShownUntil(); g.scheduler.MayHaveRestarted(shownUntil, slot) {
		r.releaseUnknown = true
		if r.route.Resumable {
			r.decideLater(shownUntil, slot)
		}
		return
	}
	r.setRelease(slot)
}

// rebindRelease binds a stream whose version is not known yet, at an event after the first. The time that has passed is not
// enough for that: this entry may have been out of touch with the store meanwhile.
func (r *request) rebindRelease(slot *placement.Slot) {
	if r.releaseUnknown && r.gateway.scheduler.ShownSame(slot) {
		r.releaseUnknown = false
		r.setRelease(slot)
	}
}

func (r *request) setRelease(slot *placement.Slot) {
	r.release, r.hasRelease = slot.Target.Version, true
	r.job.Version, r.job.HasVersion = r.release, true
	if r.route.Resumable {
		r.gateway.streams.Record(r.headers.ID, stream.Origin{Service: r.service, Version: r.release})
	}
}
