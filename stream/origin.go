package stream

import (
	"github.com/cespare/xxhash/v2"

	"lovageshift"
	"lovageshift/catalog"
)

// Origin is what sent the first event of a stream.
type Origin struct {
	Service catalog.ServiceID
	Version lovageshift.SoftwareVersion
	// Doubt is set, and Service is not, while the version is not known: entries of earlier builds then refuse to go on, as the
	// stream is not of the attempt's service.
	Doubt Doubt
}

// Doubt is about a target that may have started again before it sent the first event of a stream.
type Doubt struct {
	Target TargetHash
	// Born is the incarnation that was known.
	Born int64
	// DecidedAt is when (Clock.Now) the record of the next incarnation must have arrived, if there was one.
	DecidedAt lovageshift.Millis
}

// Undecided reports whether the version is not known yet.
func (o Origin) Undecided() bool { return o.Service == "" }

// TargetHash names a target in messages, see TargetHashOf.
type TargetHash uint64

// TargetHashOf returns the hash of a target's id: its xxHash64.
func TargetHashOf(id lovageshift.TargetID) TargetHash {
	return TargetHash(xxhash.Sum64String(string(id)))
}

// AttemptHash names an attempt in messages and ledgers, see HashOf.
type AttemptHash uint64

// HashOf returns the hash of the request id of an attempt: its xxHash64.
func HashOf(attempt string) AttemptHash { return AttemptHash(xxhash.Sum64String(attempt)) }
