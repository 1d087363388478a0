package stream

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
	"sync"

	"lovageshift"
	"lovageshift/membership"
)

const (
	// All entries use the same few recorders, so that few messages keep all of them known everywhere.
	chosenCount = 8
	// An origin is recorded at this many of them. Of the eight in use, two may be all that are left of three zones after two of these
	// are lost. With four copies a fifth of the streams had none there.
	copies = 6
	// A recorder that was not seen for this long is not used.
	recorderTimeoutMillis lovageshift.Millis = 8000
	// A report that a recorder was running may reach an entry so much later than the recorder's own message.
	reportDelayMillis lovageshift.Millis = 1000
	// A recorder that stops is asked for this long after it last said so.
	leaveMillis lovageshift.Millis = 1000
	// The key of the rendezvous hashing that chooses the recorders.
	chosenKey = "recorder"
)

// Recorders are the recorders that an entry knows of. It is safe for concurrent use.
type Recorders struct {
	mutex  sync.Mutex
	seenAt map[netip.Addr]lovageshift.Millis
	// leftAt holds when recorders said that they stop.
	leftAt map[netip.Addr]lovageshift.Millis
	// scores holds the results of score for the recorders in seenAt.
	scores map[netip.Addr]uint64
}

// RecorderAge is a recorder and the time since it was last seen.
type RecorderAge struct {
	Address netip.Addr
	Age     lovageshift.Millis
}

// NewRecorders returns an empty list.
func NewRecorders() *Recorders {
	return &Recorders{
		seenAt: map[netip.Addr]lovageshift.Millis{}, leftAt: map[netip.Addr]lovageshift.Millis{}, scores: map[netip.Addr]uint64{},
	}
}

// Seen records that the recorder said that it is running.
func (r *Recorders) Seen(now lovageshift.Millis, recorder netip.Addr) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.leftAt, recorder)
	r.seenAt[recorder] = now
}

// Reported records that another entry knows that the recorder was running at the time.
func (r *Recorders) Reported(at lovageshift.Millis, recorder netip.Addr) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if leftAt, left := r.leftAt[recorder]; left && at <= leftAt+reportDelayMillis {
		return
	}
	if last, known := r.seenAt[recorder]; !known || at > last {
		r.seenAt[recorder] = at
	}
}

// Left records that the recorder said that it stops. It still answers for a moment.
func (r *Recorders) Left(now lovageshift.Millis, recorder netip.Addr) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.seenAt, recorder)
	r.leftAt[recorder] = now
}

// Leaving returns the recorders that have stopped lately.
func (r *Recorders) Leaving(now lovageshift.Millis) []netip.Addr {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var leaving []netip.Addr
	for recorder, at := range r.leftAt {
		switch {
		case now-at > recorderTimeoutMillis:
			delete(r.leftAt, recorder)
		case now-at < leaveMillis:
			leaving = append(leaving, recorder)
		}
	}
	return leaving
}

// Chosen returns the recorders that are in use, at most chosenCount. All entries that know of the same recorders choose the
// same ones.
func (r *Recorders) Chosen(now lovageshift.Millis) []RecorderAge {
	live := r.ranked(now)
	return live[:min(len(live), chosenCount)]
}

// Next returns the recorders, at most chosenCount, that rank next after those of Chosen. Some of them may have been in use before
// others became known, or are in use at other entries, so they may have records too.
func (r *Recorders) Next(now lovageshift.Millis) []netip.Addr {
	var next []netip.Addr
	for rank, recorder := range r.ranked(now) {
		if rank >= chosenCount && rank < 2*chosenCount {
			next = append(next, recorder.Address)
		}
	}
	return next
}

// ranked returns the recorders that were seen lately in the order in which they are chosen.
func (r *Recorders) ranked(now lovageshift.Millis) []RecorderAge {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var live []RecorderAge
	for address, at := range r.seenAt {
		if now-at > recorderTimeoutMillis {
			delete(r.seenAt, address)
			delete(r.scores, address)
			continue
		}
		live = append(live, RecorderAge{address, now - at})
	}
	slices.SortFunc(live, func(a, b RecorderAge) int { return cmp.Compare(r.score(b.Address), r.score(a.Address)) })
	return live
}

// score returns the score by which recorders are chosen. The caller holds the mutex.
func (r *Recorders) score(recorder netip.Addr) uint64 {
	score, known := r.scores[recorder]
	if !known {
		score = membership.Score(chosenKey, recorder.String())
		r.scores[recorder] = score
	}
	return score
}

// ReplicasOf returns the addresses, of those given, at which the origin of the attempt's stream is recorded, and as many that
// may have it if some of the first were not in the list then.
func ReplicasOf(attempt AttemptHash, addresses []netip.Addr) (replicas, others []netip.Addr) {
	key := strconv.FormatUint(uint64(attempt), 16)
	sorted := slices.SortedFunc(slices.Values(addresses), func(a, b netip.Addr) int {
		return cmp.Compare(membership.Score(key, b.String()), membership.Score(key, a.String()))
	})
	count := min(len(sorted), copies)
	return sorted[:count], sorted[count:min(len(sorted), 2*copies)]
}
