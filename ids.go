package lovageshift

import "fmt"

// AccountID names a client account.
type AccountID string

// KeyID names a published key of a client account.
type KeyID string

// TierID names a tier of requests.
type TierID string

// ModelID is the name under which callers request a model.
type ModelID string

// ZoneID names an availability zone.
type ZoneID string

// TargetID names a target: one engine or one replica of a plain service.
type TargetID string

// RouteID names a route to a plain service.
type RouteID string

// EntryID names an entry process.
type EntryID string

// Tokens counts model tokens.
type Tokens int64

// Revision is the number of a published configuration. It only increases.
type Revision int64

// Incarnation distinguishes the runs of a process. A later run has a higher number.
type Incarnation int64

// Rank orders tiers: requests of a lower rank are served first and shed last.
type Rank int

// DispatchID identifies one dispatch of one request by one incarnation of an entry.
type DispatchID struct {
	Entry       EntryID
	Incarnation Incarnation
	Sequence    uint64
}

// String returns the ID as entry/incarnation/sequence.
func (d DispatchID) String() string {
	return fmt.Sprintf("%s/%d/%d", d.Entry, d.Incarnation, d.Sequence)
}

// Fingerprint is a hash of a client account and a request body.
type Fingerprint uint64
