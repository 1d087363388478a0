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
}

// AttemptHash names an attempt in messages and ledgers, see HashOf.
type AttemptHash uint64

// HashOf returns the hash of the request id of an attempt: its xxHash64.
func HashOf(attempt string) AttemptHash { return AttemptHash(xxhash.Sum64String(attempt)) }
