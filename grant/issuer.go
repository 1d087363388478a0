package grant

import (
	"lovageshift"
)

const (
	// InFlightTimeoutMillis is the time after which the issuer releases a lease's tokens in flight if the entry has not
	// reported them again, but not before the end of the lease.
	InFlightTimeoutMillis lovageshift.Millis = 15_000
	// ReportIntervalMillis is the interval at which an entry reports a lease's tokens in flight, even if they are the same.
	ReportIntervalMillis lovageshift.Millis = 5_000
)

// LeaseID identifies a lease among those of one incarnation of an entry.
type LeaseID uint64

// Holder is the incarnation of an entry that holds a lease.
type Holder struct {
	Entry       lovageshift.EntryID
	Incarnation lovageshift.Incarnation
}

// LeaseRequest asks the issuer of one share for some of its tokens, under a lease ID that the holder has chosen.
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
	TTL               lovageshift.Millis // counts from when the holder sent the lease request
	// RetryAfter is about how many milliseconds it takes until the rest of the requested tokens is available. It is 0 if
	// all were granted, and if the lease had been granted already by a duplicate of the request.
	RetryAfter lovageshift.Millis
}

// Usage reports how many tokens of a lease were used and returned since it was granted, and how many are in flight.
type Usage struct {
	Holder            Holder
	IssuerIncarnation lovageshift.Incarnation // as in the LeaseGrant
	Lease             LeaseID
	Account           lovageshift.AccountID
	Share             ShareIndex
	Used              lovageshift.Tokens // by requests that have ended
	InFlight          lovageshift.Tokens // charged to the lease for requests that have not ended
	Returned          lovageshift.Tokens // given back to the issuer by the holder, which has not used them
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

// bucket is one share of an account's token bucket. Leased tokens are outstanding until they are released, because the
// holder has reported them as used or returned, or because endsAt or dropAt of the lease has passed. Of the released tokens,
// only returned ones are credited to the level; the others are refilled in time, at the rate.
type bucket struct {
	terms       Terms
	ownedSince  lovageshift.Millis // as given to Issuer.Grant
	level       float64            // tokens left to lease
	refilledAt  lovageshift.Millis // a later time than now during the takeover delay
	outstanding float64            // tokens, the sum over all leases
	leases      map[leaseKey]*issuedLease
}

// issuedLease is a lease as its issuer knows it. The tokens used, returned and inFlight are those of the last report.
type issuedLease struct {
	granted     lovageshift.Tokens
	outstanding lovageshift.Tokens
	used        lovageshift.Tokens
	returned    lovageshift.Tokens
	inFlight    lovageshift.Tokens
	// endsAt is when the outstanding tokens that are not in flight are released. From then on, the entry charges nothing to
	// the lease, and the requests that it dispatched within the lease's TTL have reached their targets.
	endsAt lovageshift.Millis
	// dropAt is when all outstanding tokens are released, also those in flight, and the lease is dropped.
	dropAt lovageshift.Millis
}

// NewIssuer returns an issuer without leases. Its leases have a TTL of leaseTTL milliseconds, and it assumes that a
// dispatched request takes at most maxTransit milliseconds to reach its target.
func NewIssuer(incarnation lovageshift.Incarnation, leaseTTL, maxTransit lovageshift.Millis) *Issuer {
	return &Issuer{incarnation: incarnation, leaseTTL: leaseTTL, maxTransit: maxTransit, buckets: map[bucketKey]*bucket{}}
}

// SetTimes changes leaseTTL and maxTransit, which are described at NewIssuer. The issuer keeps the times at which its
// present leases end, but answers a duplicate request for one of them with the new TTL.
func (i *Issuer) SetTimes(leaseTTL, maxTransit lovageshift.Millis) {
	i.leaseTTL, i.maxTransit = leaseTTL, maxTransit
}

// TakeoverDelay returns for how many milliseconds a new issuer of a share grants nothing. After that, nothing can be charged
// to a lease of an earlier issuer, and the requests that were dispatched within the TTL of such a lease have reached their
// targets. Requests dispatched after the TTL, as LeaseCache.ReportDelivered allows, may reach their targets later than that.
func (i *Issuer) TakeoverDelay() lovageshift.Millis { return i.leaseTTL + i.maxTransit }

// Grant leases tokens of a share that this issuer has owned since the time ownedSince, under the share's rate and burst. If
// the request is a duplicate and its lease is not yet dropped, the answer names the tokens of that lease, and no further
// ones are leased.
func (i *Issuer) Grant(now, ownedSince lovageshift.Millis, terms Terms, request LeaseRequest) LeaseGrant {
	b := i.bucketOf(now, ownedSince, terms, bucketKey{request.Account, request.Share})
	key := leaseKey{request.Holder, request.Lease}
	if known := b.leases[key]; known != nil {
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
		b.leases[key] = &issuedLease{granted: tokens, outstanding: tokens, endsAt: end, dropAt: end}
	}
	return grant
}

// ApplyUsage accounts for the reported usage of a lease. A report has no effect if it says that fewer tokens were used, or
// fewer returned, than the report before it, if its tokens together exceed the granted ones, or if the lease was dropped or
// was granted by another incarnation of the issuer. A duplicate of the last report releases and credits nothing, but extends
// the time for which the tokens in flight count as outstanding.
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
		lease.dropAt = max(lease.dropAt, now+InFlightTimeoutMillis)
	}
	if lease.outstanding <= 0 {
		delete(b.leases, leaseKey{usage.Holder, usage.Lease})
	}
}

// Sweep drops the leases whose dropAt has passed, and then full buckets without leases. Nothing is lost with such a bucket:
// if it is needed again, the new one is refilled for the whole time since the end of the takeover delay, which fills it
// unless the share's rate or burst was changed.
func (i *Issuer) Sweep(now lovageshift.Millis) {
	for key, b := range i.buckets {
		b.advance(now)
		if len(b.leases) == 0 && b.level >= b.terms.Burst {
			delete(i.buckets, key)
		}
	}
}

// Buckets returns the number of buckets. A share has one from the first lease request for it until Sweep or DropUnowned
// drops it.
func (i *Issuer) Buckets() int { return len(i.buckets) }

// DropUnowned drops the buckets of the shares that this issuer does not own, that is, for which owned returns false.
func (i *Issuer) DropUnowned(owned func(lovageshift.AccountID, ShareIndex) bool) {
	for key := range i.buckets {
		if !owned(key.account, key.share) {
			delete(i.buckets, key)
		}
	}
}

// bucketOf returns the share's bucket, refilled up to now under its old terms and then set to the terms given. The bucket of
// a newly owned share starts empty and is refilled only from the end of the takeover delay on.
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

// advance refills the bucket up to now and releases the tokens of leases that have ended by now. Outstanding tokens lower the
// level up to which the bucket is refilled, so the refill goes step by step, from one release to the next.
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

// nextRelease returns the earliest time at which tokens of any lease are to be released, and false if it is later than now.
func (b *bucket) nextRelease(now lovageshift.Millis) (lovageshift.Millis, bool) {
	earliest, found := now, false
	for _, lease := range b.leases {
		if at := lease.nextRelease(); at <= earliest {
			earliest, found = at, true
		}
	}
	return earliest, found
}

// nextRelease returns when tokens of the lease are to be released next: if some of the outstanding ones are not in flight,
// at the end of the lease, and otherwise when the lease is dropped.
func (l *issuedLease) nextRelease() lovageshift.Millis {
	if l.outstanding > l.inFlight {
		return min(l.endsAt, l.dropAt)
	}
	return l.dropAt
}

// releaseDue releases the tokens that are to be released at the given time or before, and drops the leases whose dropAt has
// passed by then. The tokens are not credited to the bucket, as they may have been used.
func (b *bucket) releaseDue(at lovageshift.Millis) {
	for key, lease := range b.leases {
		released := lovageshift.Tokens(0)
		switch {
		case lease.dropAt <= at:
			released = lease.outstanding
			delete(b.leases, key)
		case lease.endsAt <= at && lease.outstanding > lease.inFlight:
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

// apply releases the tokens that were reported as used or returned. Returned tokens are credited to the bucket only if they
// were outstanding until now. If they were released earlier, that has raised the level up to which the bucket is refilled,
// so as many tokens may have been refilled already.
func (b *bucket) apply(now lovageshift.Millis, lease *issuedLease, usage Usage) {
	used := usage.Used - lease.used
	returned := usage.Returned - lease.returned
	lease.used, lease.returned, lease.inFlight = usage.Used, usage.Returned, usage.InFlight
	outstanding := min(lease.granted-usage.Used-usage.Returned, lease.outstanding)
	if now >= lease.endsAt {
		outstanding = min(outstanding, lease.inFlight)
	}
	released := lease.outstanding - outstanding
	lease.outstanding = outstanding
	b.outstanding -= float64(released)
	credit := max(min(returned, released-used), 0)
	b.level = min(b.level+float64(credit), max(b.terms.Burst-b.outstanding, 0))
}

// waitFor returns about how many milliseconds it takes until the bucket holds the tokens, or the burst if that is lower. It
// can take longer, as outstanding tokens lower the level up to which the bucket is refilled.
func (b *bucket) waitFor(now lovageshift.Millis, tokens float64) lovageshift.Millis {
	missing := min(tokens, b.terms.Burst) - b.level
	wait := max(b.refilledAt-now, 0)
	return wait + lovageshift.Millis(missing/b.terms.Rate*1000) + 1
}
