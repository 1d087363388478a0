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
	incarnation          lovageshift.Incarnation
	leaseTTL, maxTransit lovageshift.Millis
	buckets              map[bucketKey]*bucket
}

type bucketKey struct {
	account lovageshift.AccountID
	share   Share
}

type leaseKey struct {
	holder Holder
	id     LeaseID
}

type bucket struct {
	terms       Terms
	since       lovageshift.Millis
	level       float64
	refilledAt  lovageshift.Millis
	outstanding float64
	leases      map[leaseKey]*issuedLease
}

type issuedLease struct {
	granted    lovageshift.Tokens
	held       lovageshift.Tokens // granted and not known to be used or returned
	used       lovageshift.Tokens
	returned   lovageshift.Tokens
	inFlight   lovageshift.Tokens
	spendUntil lovageshift.Millis // until when the entry may charge against it
	expiresAt  lovageshift.Millis
}

// NewIssuer returns a keeper without leases whose grants last lease milliseconds and whose messages take up to transit.
func NewIssuer(incarnation lovageshift.Incarnation, leaseTTL, maxTransit lovageshift.Millis) *Issuer {
	return &Issuer{incarnation: incarnation, leaseTTL: leaseTTL, maxTransit: maxTransit, buckets: map[bucketKey]*bucket{}}
}

// SetTimes changes how long grants last and messages take, in milliseconds.
func (i *Issuer) SetTimes(leaseTTL, maxTransit lovageshift.Millis) {
	i.leaseTTL, i.maxTransit = leaseTTL, maxTransit
}

// TakeoverDelay returns how many milliseconds a share rests when its keeper is new, until no earlier lease can be charged.
func (i *Issuer) TakeoverDelay() lovageshift.Millis { return i.leaseTTL + i.maxTransit }

// Grant leases tokens of a share that this keeper has kept since the time given.
func (i *Issuer) Grant(now, since lovageshift.Millis, terms Terms, request LeaseRequest) Grant {
	b := i.bucketOf(now, since, terms, bucketKey{request.Account, request.Share})
	id := leaseKey{request.Holder, request.Lease}
	if known := b.leases[id]; known != nil {
		// A doubled ask grants nothing more.
		return Grant{IssuerIncarnation: i.incarnation, Lease: request.Lease, Tokens: known.granted, TTL: i.leaseTTL}
	}
	tokens := max(min(request.Tokens, lovageshift.Tokens(b.level)), 0)
	grant := Grant{IssuerIncarnation: i.incarnation, Lease: request.Lease, Tokens: tokens, TTL: i.leaseTTL}
	if tokens < request.Tokens {
		grant.RetryAfter = b.waitFor(now, float64(request.Tokens))
	}
	if tokens > 0 {
		b.level -= float64(tokens)
		b.outstanding += float64(tokens)
		until := now + i.leaseTTL + i.maxTransit
		b.leases[id] = &issuedLease{granted: tokens, held: tokens, spendUntil: until, expiresAt: until}
	}
	return grant
}

// ApplyUsage takes in what became of a lease; a doubled or older report changes nothing,
// nor does one of an expired lease or of another run of the keeper.
func (i *Issuer) ApplyUsage(now lovageshift.Millis, usage Usage) {
	b := i.buckets[bucketKey{usage.Account, usage.Share}]
	if b == nil || usage.IssuerIncarnation != i.incarnation {
		return
	}
	b.advance(now)
	known := b.leases[leaseKey{usage.Holder, usage.Lease}]
	if known == nil || usage.Used < known.used || usage.Returned < known.returned || usage.Used+usage.Returned+usage.InFlight > known.granted {
		return
	}
	b.settle(now, known, usage)
	if usage.InFlight > 0 {
		known.expiresAt = max(known.expiresAt, now+InFlightMillis)
	}
	if known.held <= 0 {
		delete(b.leases, leaseKey{usage.Holder, usage.Lease})
	}
}

// Sweep drops expired leases and the buckets that nothing distinguishes from untouched ones.
func (i *Issuer) Sweep(now lovageshift.Millis) {
	for id, b := range i.buckets {
		b.advance(now)
		if len(b.leases) == 0 && b.level >= b.terms.Burst {
			delete(i.buckets, id)
		}
	}
}

// Buckets returns how many shares have state.
func (i *Issuer) Buckets() int { return len(i.buckets) }

// DropUnowned drops the state of a share that this keeper no longer keeps.
func (i *Issuer) DropUnowned(owned func(lovageshift.AccountID, Share) bool) {
	for id := range i.buckets {
		if !owned(id.account, id.share) {
			delete(i.buckets, id)
		}
	}
}

func (i *Issuer) bucketOf(now, since lovageshift.Millis, terms Terms, id bucketKey) *bucket {
	b := i.buckets[id]
	if b == nil || b.since != since {
		b = &bucket{terms: terms, since: since, refilledAt: since + i.TakeoverDelay(), leases: map[leaseKey]*issuedLease{}}
		i.buckets[id] = b
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
		at, found := b.nextEnd(now)
		if !found {
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

func (l *issuedLease) nextEnd() lovageshift.Millis {
	if l.held > l.inFlight {
		return min(l.spendUntil, l.expiresAt)
	}
	return l.expiresAt
}

func (b *bucket) endLeases(at lovageshift.Millis) {
	for id, known := range b.leases {
		released := lovageshift.Tokens(0)
		switch {
		case known.expiresAt <= at:
			released = known.held
			delete(b.leases, id)
		case known.spendUntil <= at && known.held > known.inFlight:
			released = known.held - known.inFlight
		}
		known.held -= released
		b.outstanding -= float64(released)
	}
}

func (b *bucket) refill(until lovageshift.Millis) {
	if until <= b.refilledAt {
		return
	}
	b.level += b.terms.Rate * (until - b.refilledAt).Seconds()
	b.level = min(b.level, max(b.terms.Burst-b.outstanding, 0))
	b.refilledAt = until
}

// settle moves what the report accounts for out of the lease; only tokens that still
// counted as held come back, so that none is given twice.
func (b *bucket) settle(now lovageshift.Millis, known *issuedLease, usage Usage) {
	used := usage.Used - known.used
	returned := usage.Returned - known.returned
	known.used, known.returned, known.inFlight = usage.Used, usage.Returned, usage.InFlight
	held := min(known.granted-usage.Used-usage.Returned, known.held)
	if now >= known.spendUntil {
		held = min(held, known.inFlight)
	}
	freed := known.held - held
	known.held = held
	b.outstanding -= float64(freed)
	credit := max(min(returned, freed-used), 0)
	b.level = min(b.level+float64(credit), max(b.terms.Burst-b.outstanding, 0))
}

// waitFor returns the milliseconds until the bucket may hold the tokens.
func (b *bucket) waitFor(now lovageshift.Millis, tokens float64) lovageshift.Millis {
	missing := min(tokens, b.terms.Burst) - b.level
	wait := max(b.refilledAt-now, 0)
	return wait + lovageshift.Millis(missing/b.terms.Rate*1000) + 1
}
