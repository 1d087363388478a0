package grant

import (
	"lovageshift"
)

const (
	// InFlightTimeoutMillis is for how long after the last report of a lease's tokens in flight the issuer counts them as
	// outstanding.
	InFlightTimeoutMillis lovageshift.Millis = 15_000
	// ReportIntervalMillis is the interval at which an entry reports tokens in flight, even if nothing has changed.
	ReportIntervalMillis lovageshift.Millis = 5_000
)

// LeaseID identifies a lease among those of one incarnation of an entry.
type LeaseID uint64

// Holder is the incarnation of an entry that holds a lease.
type Holder struct {
	Entry       lovageshift.EntryID
	Incarnation lovageshift.Incarnation
}

// LeaseRequest asks for tokens of one share, under a lease ID that the holder has chosen.
type LeaseRequest struct {
	Holder  Holder
	Lease   LeaseID
	Account lovageshift.AccountID
	Share   ShareIndex
	Tokens  lovageshift.Tokens
}

// LeaseGrant answers a lease request. It may grant fewer tokens than requested, or none.
type LeaseGrant struct {
	IssuerIncarnation lovageshift.Incarnation
	Lease             LeaseID
	Tokens            lovageshift.Tokens
	TTL               lovageshift.Millis // counts from when the request was sent
	// RetryAfter is about how many milliseconds it takes until the rest of the requested tokens is available. It is 0 if
	// all were granted, and in the answer to a duplicate request.
	RetryAfter lovageshift.Millis
}

// Usage reports how many tokens of a lease were used and returned since it was granted, and how many are in flight now.
type Usage struct {
	Holder            Holder
	IssuerIncarnation lovageshift.Incarnation // as in the grant
	Lease             LeaseID
	Account           lovageshift.AccountID
	Share             ShareIndex
	Used              lovageshift.Tokens // by requests that have ended
	InFlight          lovageshift.Tokens // charged to requests that have not ended
	Returned          lovageshift.Tokens // by the holder to the issuer, as they were not used
}

// Issuer leases the tokens of the shares that one incarnation of an agent owns, that is, is the issuer of. It isn't safe
// for concurrent use.
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

// bucket is the part of an account's token bucket that one share stands for. Leased tokens are outstanding until they are
// released: because the holder reports them as used or returned, or because a time of the lease has passed.
type bucket struct {
	terms       Terms
	ownedSince  lovageshift.Millis
	level       float64            // tokens left to lease
	refilledAt  lovageshift.Millis // in the future during the takeover delay
	outstanding float64            // tokens, the sum over all leases
	leases      map[leaseKey]*issuedLease
}

// issuedLease is a lease as its issuer knows it. The numbers used, returned and inFlight are those last reported.
type issuedLease struct {
	granted     lovageshift.Tokens
	outstanding lovageshift.Tokens
	used        lovageshift.Tokens
	returned    lovageshift.Tokens
	inFlight    lovageshift.Tokens
	// releaseRestAt is when the outstanding tokens that are not in flight are released: the entry charges nothing to the
	// lease any more, and requests dispatched within its TTL have reached their targets.
	releaseRestAt lovageshift.Millis
	// expiresAt is when all outstanding tokens are released and the lease is dropped.
	expiresAt lovageshift.Millis
}

// NewIssuer returns an issuer without leases. Its leases have a TTL of leaseTTL milliseconds, and it assumes that messages
// take at most maxTransit milliseconds to arrive.
func NewIssuer(incarnation lovageshift.Incarnation, leaseTTL, maxTransit lovageshift.Millis) *Issuer {
	return &Issuer{incarnation: incarnation, leaseTTL: leaseTTL, maxTransit: maxTransit, buckets: map[bucketKey]*bucket{}}
}

// SetTimes changes the TTL of new leases and the maximum transit time of messages, both in milliseconds.
func (i *Issuer) SetTimes(leaseTTL, maxTransit lovageshift.Millis) {
	i.leaseTTL, i.maxTransit = leaseTTL, maxTransit
}

// TakeoverDelay returns for how many milliseconds a new issuer of a share grants nothing. After that, no lease of an
// earlier issuer can be charged any more, and requests dispatched within their lease's TTL have reached their targets.
func (i *Issuer) TakeoverDelay() lovageshift.Millis { return i.leaseTTL + i.maxTransit }

// Grant leases tokens of a share that this issuer has owned since the time ownedSince, under the share's terms. A duplicate
// of a request whose lease is not yet dropped gets the same tokens again.
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
		b.leases[key] = &issuedLease{granted: tokens, outstanding: tokens, releaseRestAt: end, expiresAt: end}
	}
	return grant
}

// ApplyUsage accounts for the reported usage of a lease. A report has no effect if it says that fewer tokens were used or
// returned than the last one did, if its tokens exceed the grant, or if the lease was dropped or was granted by another
// incarnation of the issuer. A duplicate of the last report releases and credits nothing, but extends the time for which
// its tokens in flight count as outstanding.
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
	b.apply(now, lease, usage)
	if usage.InFlight > 0 {
		lease.expiresAt = max(lease.expiresAt, now+InFlightTimeoutMillis)
	}
	if lease.outstanding <= 0 {
		delete(b.leases, leaseKey{usage.Holder, usage.Lease})
	}
}

// Sweep drops expired leases, and full buckets without leases. A bucket that is dropped and needed again is full again, as
// a new one is refilled from the end of the takeover delay on.
func (i *Issuer) Sweep(now lovageshift.Millis) {
	for key, b := range i.buckets {
		b.advance(now)
		if len(b.leases) == 0 && b.level >= b.terms.Burst {
			delete(i.buckets, key)
		}
	}
}

// Buckets returns how many shares have a bucket: those used since the issuer owned them and not dropped since.
func (i *Issuer) Buckets() int { return len(i.buckets) }

// DropUnowned drops the buckets of the shares that this issuer does not own, as the function owned tells.
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

// advance refills the bucket up to now and releases the tokens due until then. Outstanding tokens lower the level up to
// which the bucket is refilled, so the refill goes step by step, from one release to the next.
func (b *bucket) advance(now lovageshift.Millis) {
	for {
		at, found := b.nextRelease(now)
		if !found {
			break
		}
		b.refill(at)
		b.releaseDue(at)
	}
	b.refill(now)
}

// nextRelease returns the earliest time at which a release is due, and false if that is later than now.
func (b *bucket) nextRelease(now lovageshift.Millis) (lovageshift.Millis, bool) {
	earliest, found := now, false
	for _, lease := range b.leases {
		if at := lease.nextRelease(); at <= earliest {
			earliest, found = at, true
		}
	}
	return earliest, found
}

// nextRelease returns when tokens of the lease are released next: those not in flight, if there are any, or all.
func (l *issuedLease) nextRelease() lovageshift.Millis {
	if l.outstanding > l.inFlight {
		return min(l.releaseRestAt, l.expiresAt)
	}
	return l.expiresAt
}

// releaseDue releases the tokens that are due at the given time or before, and drops expired leases. The tokens are not
// credited to the bucket, as they may have been used.
func (b *bucket) releaseDue(at lovageshift.Millis) {
	for key, lease := range b.leases {
		released := lovageshift.Tokens(0)
		switch {
		case lease.expiresAt <= at:
			released = lease.outstanding
			delete(b.leases, key)
		case lease.releaseRestAt <= at && lease.outstanding > lease.inFlight:
			released = lease.outstanding - lease.inFlight
		}
		lease.outstanding -= released
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

// apply releases the tokens that the report accounts for. Returned tokens are credited to the bucket only if they were
// still outstanding: in place of those released before, the bucket could already be refilled.
func (b *bucket) apply(now lovageshift.Millis, lease *issuedLease, usage Usage) {
	used := usage.Used - lease.used
	returned := usage.Returned - lease.returned
	lease.used, lease.returned, lease.inFlight = usage.Used, usage.Returned, usage.InFlight
	outstanding := min(lease.granted-usage.Used-usage.Returned, lease.outstanding)
	if now >= lease.releaseRestAt {
		outstanding = min(outstanding, lease.inFlight)
	}
	released := lease.outstanding - outstanding
	lease.outstanding = outstanding
	b.outstanding -= float64(released)
	credit := max(min(returned, released-used), 0)
	b.level = min(b.level+float64(credit), max(b.terms.Burst-b.outstanding, 0))
}

// waitFor returns how many milliseconds it may take until the bucket holds the tokens, or until it is full if they
// exceed the burst.
func (b *bucket) waitFor(now lovageshift.Millis, tokens float64) lovageshift.Millis {
	missing := min(tokens, b.terms.Burst) - b.level
	wait := max(b.refilledAt-now, 0)
	return wait + lovageshift.Millis(missing/b.terms.Rate*1000) + 1
}
