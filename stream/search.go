package stream

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"lovageshift/wire"
)

// search is the search of Client.Find for the origin of an attempt's stream.
type search struct {
	client  *Client
	attempt AttemptHash
	answers chan answer
	// answered holds the recorders that answered that they do not know the stream.
	answered map[netip.Addr]bool
	// undecided is set if a recorder, or this entry, knows that the version is not known yet, and has doubtful in its place.
	undecided bool
	doubtful  Origin
}

// askOnce asks those recorders that have not answered yet, and waits for the interval at most. It returns the first origin that
// is not undecided, or has become decided.
func (s *search) askOnce(ctx context.Context, recorders []netip.Addr, interval time.Duration) (Origin, bool) {
	waiting := map[netip.Addr]bool{}
	packet := &wire.EntryPacket{Body: &wire.EntryPacket_StreamAsk{StreamAsk: &wire.StreamAsk{Attempt: uint64(s.attempt)}}}
	for _, recorder := range recorders {
		if !s.answered[recorder] {
			waiting[recorder] = true
			s.client.peers.Send(recorder, packet)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	for len(waiting) > 0 {
		select {
		case a := <-s.answers:
			if origin, decided := s.take(a); decided {
				return origin, true
			}
			delete(waiting, a.from)
		case <-ctx.Done():
			return s.decide()
		}
	}
	if s.client.mayLearn(s) { // but not at once
		<-ctx.Done()
	}
	return s.decide()
}

// take takes over an answer. It returns the origin if that is decided.
func (s *search) take(a answer) (Origin, bool) {
	if !a.known {
		s.answered[a.from] = true
		return Origin{}, false
	}
	if a.origin.Undecided() {
		s.undecided, s.doubtful = true, a.origin
	}
	return s.client.incarnations.Decide(a.origin)
}

// decide returns the origin if this entry has come to know it.
func (s *search) decide() (Origin, bool) {
	if own, known := s.client.ledger.Find(s.client.clock.Now(), s.attempt); known && !own.Undecided() {
		return own, true
	}
	if !s.undecided {
		return Origin{}, false
	}
	return s.client.incarnations.Decide(s.doubtful)
}

// haveAnswered reports whether all of them answered that they do not know the stream.
func (s *search) haveAnswered(addresses []netip.Addr) bool {
	return !slices.ContainsFunc(addresses, func(address netip.Addr) bool { return !s.answered[address] })
}
