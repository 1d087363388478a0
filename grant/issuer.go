package grant

import (
	"lovageshift"
)

const (
	// InFlightTimeoutMillis is how long an issuer holds the tokens in flight of an entry that no longer reports.
	InFlightTimeoutMillis lovageshift.Millis = 15_000
	// ReportIntervalMillis is the interval at which an entry reports charges in flight.
	ReportIntervalMillis lovageshift.Millis = 5_000
)

// LeaseID identifies a lease among those of one incarnation of an entry.
type LeaseID uint64

// Holder is the incarnation of an entry that holds a lease.
type Holder struct {
	Entry       lovageshift.EntryID
	Incarnation lovageshift.Incarnation
}

// LeaseRequest asks for tokens of one share, to be held under the lease that it names.
type LeaseRequest struct {
	Holder  Holder
	Lease   LeaseID
	Account lovageshift.AccountID
	Share   ShareIndex
	Tokens  lovageshift.Tokens
}

// LeaseGrant answers a lease request.
type LeaseGrant struct {
	IssuerIncarnation lovageshift.Incarnation
	Lease             LeaseID
	Tokens            lovageshift.Tokens // at most those requested
	TTL               lovageshift.Millis // counts from when the request was sent
	// RetryAfter is how many milliseconds it may take until the rest is available, or 0 if all was granted.
	RetryAfter lovageshift.Millis
}

// Usage reports how the tokens of a lease were used, in totals since it was granted.
type Usage struct {
	Holder            Holder
	IssuerIncarnation lovageshift.Incarnation // of the issuer when it granted the lease
	Lease             LeaseID
	Account           lovageshift.AccountID
	Share             ShareIndex
	Used              lovageshift.Tokens // by requests that have ended
	InFlight          lovageshift.Tokens // charged to requests that have not ended
	Returned          lovageshift.Tokens
}

// Issuer leases the tokens of the shares that one incarnation of an agent owns. It isn't safe for concurrent use.
type Issuer struct {
	incarnation          lovageshift.Incarnation
	leaseTTL, maxTransit lovageshift.Millis
	buckets              map[bucketKey]*bucket
}

type bucketKey struct {
	account lovageshift.AccountID
	share   ShareIndex
}

type leaseKey struct {
	holder Holder
	id     LeaseID
}

// bucket is the state of one share.
type bucket struct {
	terms       Terms
	ownedSince  lovageshift.Millis
	level       float64 // tokens left to lease
	refilledAt  lovageshift.Millis
	outstanding float64 // tokens leased and not yet accounted for
	leases      map[leaseKey]*issuedLease
}

type issuedLease struct {
	granted    lovageshift.Tokens
	held       lovageshift.Tokens // granted and not known to be used or returned
	used       lovageshift.Tokens
	returned   lovageshift.Tokens
	inFlight   lovageshift.Tokens
	spendUntil lovageshift.Millis // until when the entry may charge against it
	expiresAt  lovageshift.Millis // until when tokens in flight count as held
}

// NewIssuer returns an issuer without leases. Its grants last leaseTTL milliseconds, and messages take up to maxTransit
// milliseconds to arrive.
func NewIssuer(incarnation lovageshift.Incarnation, leaseTTL, maxTransit lovageshift.Millis) *Issuer {
	return &Issuer{incarnation: incarnation, leaseTTL: leaseTTL, maxTransit: maxTransit, buckets: map[bucketKey]*bucket{}}
}

// SetTimes changes how long grants last and messages take at most, in milliseconds.
func (i *Issuer) SetTimes(leaseTTL, maxTransit lovageshift.Millis) {
	i.leaseTTL, i.maxTransit = leaseTTL, maxTransit
}

// TakeoverDelay returns for how many milliseconds a new issuer of a share grants nothing, so that no lease of an earlier
// issuer can be charged any more.
func (i *Issuer) TakeoverDelay() lovageshift.Millis { return i.leaseTTL + i.maxTransit }

// Grant leases tokens of a share that this issuer has owned since the time ownedSince. A duplicate of a request gets the
// same lease again.
func (i *Issuer) Grant(now, ownedSince lovageshift.Millis, terms Terms, request LeaseRequest) LeaseGrant {
	b := i.bucketOf(now, ownedSince, terms, bucketKey{request.Account, request.Share})
	key := leaseKey{request.Holder, request.Lease}
	if known := b.leases[key]; known != nil {
		// A duplicate request grants no further tokens.
		return LeaseGrant{IssuerIncarnation: i.incarnation, Lease: request.Lease, Tokens: known.granted, TTL: i.leaseTTL}
	}
	tokens := max(min(request.Tokens, lovageshift.Tokens(b.level)), 0)
	grant := LeaseGrant{IssuerIncarnation: i.incarnation, Lease: request.Lease, Tokens: tokens, TTL: i.leaseTTL}
	if tokens < request.Tokens {
		grant.RetryAfter = b.waitFor(now, float64(request.Tokens))
	}
	if tokens > 0 {
		b.level -= float64(tokens)
		b.outstanding += float64(tokens)
		end := now + i.leaseTTL + i.maxTransit
		b.leases[key] = &issuedLease{granted: tokens, held: tokens, spendUntil: end, expiresAt: end}
	}
	return grant
}

// ApplyUsage accounts for the reported usage of a lease. A duplicate or older report changes nothing, nor does one of an
// expired lease or one granted by another incarnation of the issuer.
func (i *Issuer) ApplyUsage(now lovageshift.Millis, usage Usage) {
	b := i.buckets[bucketKey{usage.Account, usage.Share}]
	if b == nil || usage.IssuerIncarnation != i.incarnation {
		return
	}
	b.advance(now)
	lease := b.leases[leaseKey{usage.Holder, usage.Lease}]
	if lease == nil || usage.Used < lease.used || usage.Returned < lease.returned || usage.Used+usage.Returned+usage.InFlight > lease.granted {
		return
	}
	b.settle(now, lease, usage)
	if usage.InFlight > 0 {
		lease.expiresAt = max(lease.expiresAt, now+InFlightTimeoutMillis)
	}
	if lease.held <= 0 {
		delete(b.leases, leaseKey{usage.Holder, usage.Lease})
	}
}

// Sweep drops expired leases, and full buckets without leases, as these are like buckets never used.
func (i *Issuer) Sweep(now lovageshift.Millis) {
	for key, b := range i.buckets {
		b.advance(now)
		if len(b.leases) == 0 && b.level >= b.terms.Burst {
			delete(i.buckets, key)
		}
	}
}

// Buckets returns how many shares have a bucket, that is, are in use.
func (i *Issuer) Buckets() int { return len(i.buckets) }

// DropUnowned drops the buckets of shares that this issuer no longer owns.
func (i *Issuer) DropUnowned(owned func(lovageshift.AccountID, ShareIndex) bool) {
	for key := range i.buckets {
		if !owned(key.account, key.share) {
			delete(i.buckets, key)
		}
	}
}

// bucketOf returns the share's bucket, refilled up to now and under the terms given. The bucket of a newly owned share
// starts empty and is refilled only from the end of the takeover delay on.
func (i *Issuer) bucketOf(now, ownedSince lovageshift.Millis, terms Terms, key bucketKey) *bucket {
	b := i.buckets[key]
	if b == nil || b.ownedSince != ownedSince {
		b = &bucket{terms: terms, ownedSince: ownedSince, refilledAt: ownedSince + i.TakeoverDelay(), leases: map[leaseKey]*issuedLease{}}
		i.buckets[key] = b
	}
	b.advance(now)
	if b.terms != terms {
		b.terms = terms
		b.level = min(b.level, max(terms.Burst-b.outstanding, 0))
	}
	return b
}

// advance refills the bucket up to now. Outstanding tokens lower the level up to which it is refilled, so it is refilled
// step by step, up to the end of each lease.
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

// nextEnd returns the earliest time up to now at which a lease ends, as a whole or for its unspent tokens.
func (b *bucket) nextEnd(now lovageshift.Millis) (lovageshift.Millis, bool) {
	earliest, found := now, false
	for _, lease := range b.leases {
		if end := lease.nextEnd(); end <= earliest {
			earliest, found = end, true
		}
	}
	return earliest, found
}

// nextEnd returns when the lease ends next: for its unspent tokens, if it has any, or as a whole.
func (l *issuedLease) nextEnd() lovageshift.Millis {
	if l.held > l.inFlight {
		return min(l.spendUntil, l.expiresAt)
	}
	return l.expiresAt
}

// endLeases stops counting the tokens of leases that end at the time given. They are not credited to the bucket.
func (b *bucket) endLeases(at lovageshift.Millis) {
	for key, lease := range b.leases {
		released := lovageshift.Tokens(0)
		switch {
		case lease.expiresAt <= at:
			released = lease.held
			delete(b.leases, key)
		case lease.spendUntil <= at && lease.held > lease.inFlight:
			released = lease.held - lease.inFlight
		}
		lease.held -= released
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

// settle releases the tokens that the report accounts for. Only returned tokens that still counted as held are credited
// to the bucket, so that none is credited twice.
func (b *bucket) settle(now lovageshift.Millis, lease *issuedLease, usage Usage) {
	used := usage.Used - lease.used
	returned := usage.Returned - lease.returned
	lease.used, lease.returned, lease.inFlight = usage.Used, usage.Returned, usage.InFlight
	held := min(lease.granted-usage.Used-usage.Returned, lease.held)
	if now >= lease.spendUntil {
		held = min(held, lease.inFlight)
	}
	freed := lease.held - held
	lease.held = held
	b.outstanding -= float64(freed)
	credit := max(min(returned, freed-used), 0)
	b.level = min(b.level+float64(credit), max(b.terms.Burst-b.outstanding, 0))
}

// waitFor returns how many milliseconds it may take until the bucket holds the tokens, or until it is full if they
// exceed the burst.
func (b *bucket) waitFor(now lovageshift.Millis, tokens float64) lovageshift.Millis {
	missing := min(tokens, b.terms.Burst) - b.level
	wait := max(b.refilledAt-now, 0)
	return wait + lovageshift.Millis(missing/b.terms.Rate*1000) + 1
}
