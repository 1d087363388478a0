package gateway

import (
	"strconv"

	"lovageshift/upstream"
)

// goesOnWith reports whether the response can hold the rest of a stream that another target has begun: its status and type
// are those that the caller has got.
func (r *request) goesOnWith(response *upstream.TargetResponse) bool {
	return response.Status == r.summary.status && response.Header.Get("Content-Type") == r.w.Header().Get("Content-Type")
}

// recordPosition records the event as the last one that the caller has. If an event has data and no ID, no target can be
// asked for those after it.
func (r *request) recordPosition(event upstream.Event) {
	switch {
	case event.ID != "":
		r.lastEventID, r.positionLost = event.ID, false
	case event.HasData:
		r.positionLost = true
	}
}

// follows reports whether the event may come after the last one that the caller has. Only IDs that are numbers have an order.
func (r *request) follows(event upstream.Event) bool {
	if event.ID == "" || event.ID == r.lastEventID {
		return false
	}
	last, lastErr := strconv.ParseInt(r.lastEventID, 10, 64)
	next, nextErr := strconv.ParseInt(event.ID, 10, 64)
	return lastErr != nil || nextErr != nil || next > last
}
