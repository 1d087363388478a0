package grant

import (
	"lovageshift"
)

const (
	// InFlightMillis is how long a keeper holds charged tokens for an entry that no longer reports.
	InFlightMillis lovageshift.Millis = 15_000
	// ReportMillis is how often an entry reports charges in flight.
	ReportMillis lovageshift.Millis = 5_000
)

// LeaseID identifies a lease among those of one run of an entry.
type LeaseID uint64

// Holder is one run of an entry.
type Holder struct {
	Entry       lovageshift.EntryID
	Incarnation lovageshift.Incarnation
}

// LeaseRequest is a request for tokens of one share.
type LeaseRequest struct {
	Holder  Holder
	Lease   LeaseID
	Account lovageshift.AccountID
	Share   Share
	Tokens  lovageshift.Tokens
}

// Grant answers an ask; fewer tokens than asked come with the milliseconds until the rest may be there.
type Grant struct {
	IssuerIncarnation lovageshift.Incarnation
	Lease             LeaseID
	Tokens            lovageshift.Tokens
	TTL               lovageshift.Millis
	RetryAfter        lovageshift.Millis
}

// Usage reports what became of a lease, in totals since it was granted.
type Usage struct {
	Holder            Holder
	IssuerIncarnation lovageshift.Incarnation // the run that granted it
	Lease             LeaseID
	Account           lovageshift.AccountID
	Share             Share
	Used              lovageshift.Tokens
	InFlight          lovageshift.Tokens
	Returned          lovageshift.Tokens
}

// Issuer holds the shares that one run of an agent keeps.
type Issuer struct {
	incarnation    lovageshift.Incarnation
	lease, transit lovageshift.Millis
	buckets        map[bucketID]*bucket
}

type bucketID struct {
	account lovageshift.AccountID
	share   Share
}

type leaseID struct {
	asker Holder
	id    LeaseID
}

type bucket struct {
	terms       Terms
	since       lovageshift.Millis
	level       float64
	at          lovageshift.Millis
	outstanding float64
	leases      map[leaseID]*lease
}

type lease struct {
	granted  lovageshift.Tokens
	held     lovageshift.Tokens // granted and not known to be used or returned
	used     lovageshift.Tokens
	returned lovageshift.Tokens
	inFlight lovageshift.Tokens
	spends   lovageshift.Millis // until when the entry may charge against it
	expires  lovageshift.Millis
}

// NewIssuer returns a keeper without leases whose grants last lease milliseconds and whose messages take up to transit.
func NewIssuer(incarnation lovageshift.Incarnation, lease, transit lovageshift.Millis) *Issuer {
	return &Issuer{incarnation: incarnation, lease: lease, transit: transit, buckets: map[bucketID]*bucket{}}
}

// SetTimes changes how long grants last and messages take, in milliseconds.
func (k *Issuer) SetTimes(lease, transit lovageshift.Millis) { k.lease, k.transit = lease, transit }

// TakeoverDelay returns how many milliseconds a share rests when its keeper is new, until no earlier lease can be charged.
func (k *Issuer) TakeoverDelay() lovageshift.Millis { return k.lease + k.transit }

// Grant leases tokens of a share that this keeper has kept since the time given.
func (k *Issuer) Grant(now, since lovageshift.Millis, terms Terms, ask LeaseRequest) Grant {
	b := k.bucketOf(now, since, terms, bucketID{ask.Account, ask.Share})
	id := leaseID{ask.Holder, ask.Lease}
	if known := b.leases[id]; known != nil {
		// A doubled ask grants nothing more.
		return Grant{IssuerIncarnation: k.incarnation, Lease: ask.Lease, Tokens: known.granted, TTL: k.lease}
	}
	tokens := max(min(ask.Tokens, lovageshift.Tokens(b.level)), 0)
	grant := Grant{IssuerIncarnation: k.incarnation, Lease: ask.Lease, Tokens: tokens, TTL: k.lease}
	if tokens < ask.Tokens {
		grant.RetryAfter = b.until(now, float64(ask.Tokens))
	}
	if tokens > 0 {
		b.level -= float64(tokens)
		b.outstanding += float64(tokens)
		until := now + k.lease + k.transit
		b.leases[id] = &lease{granted: tokens, held: tokens, spends: until, expires: until}
	}
	return grant
}

// ApplyUsage takes in what became of a lease; a doubled or older report changes nothing,
// nor does one of an expired lease or of another run of the keeper.
func (k *Issuer) ApplyUsage(now lovageshift.Millis, use Usage) {
	b := k.buckets[bucketID{use.Account, use.Share}]
	if b == nil || use.IssuerIncarnation != k.incarnation {
		return
	}
	b.advance(now)
	known := b.leases[leaseID{use.Holder, use.Lease}]
	if known == nil || use.Used < known.used || use.Returned < known.returned || use.Used+use.Returned+use.InFlight > known.granted {
		return
	}
	b.settle(now, known, use)
	if use.InFlight > 0 {
		known.expires = max(known.expires, now+InFlightMillis)
	}
	if known.held <= 0 {
		delete(b.leases, leaseID{use.Holder, use.Lease})
	}
}

// Sweep drops expired leases and the buckets that nothing distinguishes from untouched ones.
func (k *Issuer) Sweep(now lovageshift.Millis) {
	for id, b := range k.buckets {
		b.advance(now)
		if len(b.leases) == 0 && b.level >= b.terms.Burst {
			delete(k.buckets, id)
		}
	}
}

// Buckets returns how many shares have state.
func (k *Issuer) Buckets() int { return len(k.buckets) }

// DropUnowned drops the state of a share that this keeper no longer keeps.
func (k *Issuer) DropUnowned(keeps func(lovageshift.AccountID, Share) bool) {
	for id := range k.buckets {
		if !keeps(id.account, id.share) {
			delete(k.buckets, id)
		}
	}
}

func (k *Issuer) bucketOf(now, since lovageshift.Millis, terms Terms, id bucketID) *bucket {
	b := k.buckets[id]
	if b == nil || b.since != since {
		b = &bucket{terms: terms, since: since, at: since + k.TakeoverDelay(), leases: map[leaseID]*lease{}}
		k.buckets[id] = b
	}
	b.advance(now)
	if b.terms != terms {
		b.terms = terms
		b.level = min(b.level, max(terms.Burst-b.outstanding, 0))
	}
	return b
}

// advance refills the bucket up to now. What is leased leaves no room to refill,
// so each lease's end is a step of its own.
func (b *bucket) advance(now lovageshift.Millis) {
	for {
		at, ended := b.nextEnd(now)
		if !ended {
			break
		}
		b.refill(at)
		b.endLeases(at)
	}
	b.refill(now)
}

// nextEnd returns the earliest time up to now at which a lease stops counting, in whole or for what is unspent.
func (b *bucket) nextEnd(now lovageshift.Millis) (lovageshift.Millis, bool) {
	earliest, found := now, false
	for _, known := range b.leases {
		if end := known.nextEnd(); end <= earliest {
			earliest, found = end, true
		}
	}
	return earliest, found
}

func (l *lease) nextEnd() lovageshift.Millis {
	if l.held > l.inFlight {
		return min(l.spends, l.expires)
	}
	return l.expires
}

func (b *bucket) endLeases(at lovageshift.Millis) {
	for id, known := range b.leases {
		gone := lovageshift.Tokens(0)
		switch {
		case known.expires <= at:
			gone = known.held
			delete(b.leases, id)
		case known.spends <= at && known.held > known.inFlight:
			gone = known.held - known.inFlight
		}
		known.held -= gone
		b.outstanding -= float64(gone)
	}
}

func (b *bucket) refill(until lovageshift.Millis) {
	if until <= b.at {
		return
	}
	b.level += b.terms.Rate * (until - b.at).Seconds()
	b.level = min(b.level, max(b.terms.Burst-b.outstanding, 0))
	b.at = until
}

// settle moves what the report accounts for out of the lease; only tokens that still
// counted as held come back, so that none is given twice.
func (b *bucket) settle(now lovageshift.Millis, known *lease, use Usage) {
	used := use.Used - known.used
	returned := use.Returned - known.returned
	known.used, known.returned, known.inFlight = use.Used, use.Returned, use.InFlight
	held := min(known.granted-use.Used-use.Returned, known.held)
	if now >= known.spends {
		held = min(held, known.inFlight)
	}
	freed := known.held - held
	known.held = held
	b.outstanding -= float64(freed)
	credit := max(min(returned, freed-used), 0)
	b.level = min(b.level+float64(credit), max(b.terms.Burst-b.outstanding, 0))
}

// until returns the milliseconds until the bucket may hold the tokens.
func (b *bucket) until(now lovageshift.Millis, tokens float64) lovageshift.Millis {
	missing := min(tokens, b.terms.Burst) - b.level
	wait := max(b.at-now, 0)
	return wait + lovageshift.Millis(missing/b.terms.Rate*1000) + 1
}
