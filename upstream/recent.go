package upstream

import (
	"github.com/cespare/xxhash/v2"

	"lovageshift"
)

// The ID of a request is kept for at least this long after the request was sent, and for at most twice as long.
const recentIDTTL lovageshift.Millis = 10_000

// sentRequest is a hash of a request's ID and of the incarnation of the target to which it was sent.
type sentRequest uint64

func hashSent(key connKey, id string) sentRequest {
	digest := xxhash.NewWithSeed(uint64(key.born))
	_, _ = digest.WriteString(string(key.id))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(id)
	return sentRequest(digest.Sum64())
}

// recentIDs holds the IDs of the requests that were lately sent to each target.
type recentIDs struct {
	// current holds those sent since startedAt, previous those of the period before.
	current, previous map[sentRequest]struct{}
	startedAt         lovageshift.Millis
}

func newRecentIDs() recentIDs {
	return recentIDs{current: map[sentRequest]struct{}{}, previous: map[sentRequest]struct{}{}}
}

// add adds a request, and reports whether no other one with its ID was lately sent to the target.
func (r *recentIDs) add(now lovageshift.Millis, key connKey, id string) bool {
	if now-r.startedAt >= recentIDTTL {
		r.current, r.previous = r.previous, r.current
		clear(r.current)
		r.startedAt = now
	}
	isFirst := !r.contains(key, id)
	r.current[hashSent(key, id)] = struct{}{}
	return isFirst
}

// contains reports whether a request with the ID was lately sent to the target.
func (r *recentIDs) contains(key connKey, id string) bool {
	hash := hashSent(key, id)
	_, isRecent := r.current[hash]
	_, wasRecent := r.previous[hash]
	return isRecent || wasRecent
}
