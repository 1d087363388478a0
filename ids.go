package lovageshift

import (
	"fmt"
	"strconv"
)

// AccountID identifies a client account.
type AccountID string

// KeyID identifies a key of a client account. It is not secret.
type KeyID string

// TierID identifies a tier.
type TierID string

// ModelID is the name under which callers request a model.
type ModelID string

// ZoneID identifies an availability zone.
type ZoneID string

// TargetID identifies a target: one engine or one replica of a plain service.
type TargetID string

// RouteID identifies a route to a plain service.
type RouteID string

// EntryID identifies an entry, the process that faces callers.
type EntryID string

// Tokens is a number of model tokens, the unit of prompts, outputs and charges.
type Tokens int64

// Revision is the number of a published configuration. Each later configuration has a higher number.
type Revision int64

// SoftwareVersion is the version of a target's software, as the target names it. Versions have no order.
type SoftwareVersion string

// Incarnation is the number of one run of a process, from its start to its end. A later run has a higher number.
type Incarnation int64

// Rank is the place of a tier in the order of tiers. The tier with the lowest rank number is the highest tier: its
// requests are served first and shed last.
type Rank int

// DispatchID identifies one dispatch of one request by one incarnation of an entry.
type DispatchID struct {
	Entry       EntryID
	Incarnation Incarnation
	Sequence    uint64 // number of the dispatch within the entry's incarnation
}

// String returns the ID as entry/incarnation/sequence.
func (d DispatchID) String() string {
	return fmt.Sprintf("%s/%d/%d", d.Entry, d.Incarnation, d.Sequence)
}

// Fingerprint is a hash by which a request is recognized when the caller or an entry sends it again. It covers at least
// the client account, the path and the body.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// Millicores is a processor's capacity in thousandths of a core.
type Millicores int
