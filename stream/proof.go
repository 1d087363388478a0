package stream

import (
	"context"
	"time"

	"lovageshift"
	"lovageshift/catalog"
)

// How often Versions.Prove looks whether the view has been confirmed.
const confirmationInterval = 20 * time.Millisecond

// Views tells how well an entry's view of the store is confirmed.
type Views interface {
	// ViewAge returns the time since the last moment at which the store is known to have had nothing newer than the view,
	// including time for which the VM was suspended.
	ViewAge() lovageshift.Millis
}

// Prove returns the only version at which a stream of at most the length can have begun before the call, and false if there
// were several or it is not known. A length of 0 is that of a stream without a bound.
//
// Other entries may have let the stream begin at targets that this entry's view does not show yet. But they know these from
// the store, so a view that the store has confirmed since the call shows them too. Prove waits for one until the context ends.
func (v *Versions) Prove(
	ctx context.Context, clock lovageshift.Clock, views Views, service catalog.ServiceID, length lovageshift.Millis,
) (lovageshift.SoftwareVersion, bool) {
	calledAt := clock.SinceBoot()
	if _, known := v.Only(clock.Now(), service, length); !known {
		return "", false
	}
	for !confirmedSince(clock, views, calledAt) {
		if ctx.Err() != nil {
			return "", false
		}
		lovageshift.Pause(ctx, confirmationInterval)
	}
	return v.Only(clock.Now(), service, length)
}

// confirmedSince reports whether the store had nothing newer than the view at a time (Clock.SinceBoot) later than at. The
// process may be suspended at any point, so it reads the clock before the view's age.
func confirmedSince(clock lovageshift.Clock, views Views, at lovageshift.Millis) bool {
	now := clock.SinceBoot()
	return now-views.ViewAge() > at
}
