package stream

import (
	"github.com/cespare/xxhash/v2"

	"lovageshift"
	"lovageshift/catalog"
)

// Origin is what sent the first event of a stream. It is empty while the version is not known yet, as the target may have started
// again: entries of earlier builds then refuse to go on, as the service is not that of the attempt.
type Origin struct {
	Service catalog.ServiceID
	Version lovageshift.SoftwareVersion
}

// Undecided reports whether the version is not known yet.
func (o Origin) Undecided() bool { return o == Origin{} }

// AttemptHash names an attempt in messages and ledgers, see HashOf.
type AttemptHash uint64

// HashOf returns the hash of the request id of an attempt: its xxHash64.
func HashOf(attempt string) AttemptHash { return AttemptHash(xxhash.Sum64String(attempt)) }
