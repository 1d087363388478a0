package gateway

import (
	"context"
	"errors"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
	"lovageshift/stream"
)

// A view that is not older than this shows all software versions that may have begun a stream.
const maxVersionsAge lovageshift.Millis = 3000

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
		r.release, r.hasRelease, r.originFound = origin.Version, true, true
		return nil
	}
	only, known := g.versions.Only(g.clock.Now(), r.service, r.route.Timeout)
	if known && g.tracker.ViewAge() < maxVersionsAge {
		r.release, r.hasRelease = only, true
		return nil
	}
	refusal := lovageshift.NotRun(lovageshift.ReasonStreamUnknown, err.Error())
	if errors.Is(err, stream.ErrNoAnswer) {
		refusal = refusal.WithRetryAfter(shortRetryAfter)
	}
	return refusal
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
