package grant

import (
	"slices"

	"lovageshift"
)

const (
	// Weight of a new sample in the moving average of an account's demand.
	demandWeight = 0.5
	// A lease request asks for at least the tokens that the account demands in this many milliseconds, as far as the
	// maxPrefetch of NextRequest allows. An account without leases or demand is dropped after 10 times as long.
	leaseDemandMillis = 1_000
	// Used and returned tokens are reported after this many milliseconds, so that one report covers several requests.
	reportDelayMillis lovageshift.Millis = 100
	// The issuer releases tokens in flight InFlightTimeoutMillis after their last report. Once a report of a lease's tokens
	// in flight was delivered, requests charged to the lease are dispatched only until this many milliseconds before that
	// time, so that they reach their targets before the release. Requests charged to a lease without such a report need no
	// margin: they are dispatched only until the end of the TTL, to which the issuer adds the maximum transit time itself.
	dispatchMarginMillis lovageshift.Millis = 5_000
)

// LeaseCache keeps the leases that one incarnation of an entry holds, and charges requests to them. It isn't safe for
// concurrent use.
type LeaseCache struct {
	holder   Holder
	lastID   LeaseID
	accounts map[lovageshift.AccountID]*accountLeases
}

// accountLeases are the leases and the recent demand of one client account.
type accountLeases struct {
	leases       []*cachedLease
	demand       float64            // moving average of the tokens demanded per second
	recentTokens lovageshift.Tokens // tokens demanded since windowStart
	windowStart  lovageshift.Millis
	lastDemandAt lovageshift.Millis
}

// cachedLease is a lease as its holder knows it. Each of the granted tokens is left, in flight, used or returned.
type cachedLease struct {
	id                LeaseID
	share             ShareIndex              // the part of the account's bucket that the tokens come from
	issuer            lovageshift.TargetID    // the target whose agent issued the lease
	issuerIncarnation lovageshift.Incarnation // of that agent when it issued the lease
	granted           lovageshift.Tokens
	left              lovageshift.Tokens // not charged to any request
	used              lovageshift.Tokens // by requests that have ended
	inFlight          lovageshift.Tokens // charged to requests that have not ended
	returned          lovageshift.Tokens // to the issuer
	chargeUntil       lovageshift.Millis // the end of the lease: until then it is live, that is, may be charged
	dispatchUntil     lovageshift.Millis // until when requests charged to the lease may be dispatched
	// unreportedSince is the time of the first settlement or return of tokens that no report has included yet, or of the
	// failure of the last report. It is 0 if there is nothing to report.
	unreportedSince lovageshift.Millis
	// reportedAt is when the last report that includes the lease was made, delivered or not. Before the first one, it is
	// when the lease was requested.
	reportedAt   lovageshift.Millis
	everReported bool // whether a report has included the lease, delivered or not
}

// Charge is the tokens taken for one request, and the leases that they were taken from.
type Charge struct {
	Account  lovageshift.AccountID
	Tokens   lovageshift.Tokens
	portions []portion
}

// portion is the part of a charge that was taken from one lease.
type portion struct {
	lease  *cachedLease
	tokens lovageshift.Tokens
}

// Report is the usage of leases to be sent to one issuer.
type Report struct {
	Issuer lovageshift.TargetID // the target whose agent is the issuer
	Usages []Usage

	leases []*cachedLease // in the order of Usages
}

// NewLeaseCache returns an empty cache for one incarnation of an entry.
func NewLeaseCache(holder Holder) *LeaseCache {
	return &LeaseCache{holder: holder, accounts: map[lovageshift.AccountID]*accountLeases{}}
}

// NextRequest returns a lease request under a new lease ID. It asks for the shortfall, in tokens, or for the account's recent
// demand in leaseDemandMillis if that is more. It asks for more than maxPrefetch tokens only if the shortfall is more.
func (c *LeaseCache) NextRequest(account lovageshift.AccountID, share ShareIndex, shortfall, maxPrefetch lovageshift.Tokens) LeaseRequest {
	c.lastID++
	tokens := shortfall
	if a := c.accounts[account]; a != nil {
		tokens = max(shortfall, min(lovageshift.Tokens(a.demand*leaseDemandMillis/1000), maxPrefetch))
	}
	return LeaseRequest{Holder: c.holder, Lease: c.lastID, Account: account, Share: share, Tokens: tokens}
}

// Add adds the lease that an issuer has granted. The TTL counts from sentAt, when the lease request was sent: as that is
// earlier than the grant, the holder stops charging the lease before the issuer ends it. A grant of no tokens, or of another
// lease than the requested one, is ignored.
func (c *LeaseCache) Add(sentAt lovageshift.Millis, issuer lovageshift.TargetID, request LeaseRequest, grant LeaseGrant) {
	if grant.Tokens <= 0 || grant.Lease != request.Lease {
		return
	}
	a := c.accountOf(request.Account)
	a.leases = append(a.leases, &cachedLease{
		id: request.Lease, share: request.Share, issuer: issuer, issuerIncarnation: grant.IssuerIncarnation,
		granted: grant.Tokens, left: grant.Tokens, chargeUntil: sentAt + grant.TTL,
		dispatchUntil: sentAt + grant.TTL, reportedAt: sentAt,
	})
}

// RecordDemand records the most tokens that a request may use, so that the size of leases follows the account's demand.
func (c *LeaseCache) RecordDemand(now lovageshift.Millis, account lovageshift.AccountID, tokens lovageshift.Tokens) {
	a := c.accountOf(account)
	if elapsed := now - a.windowStart; elapsed >= 1000 {
		rate := float64(a.recentTokens) / elapsed.Seconds()
		a.demand += demandWeight * (rate - a.demand)
		a.recentTokens, a.windowStart = 0, now
	}
	a.recentTokens += tokens
	a.lastDemandAt = now
}

// Shortfall returns how many tokens are missing from the account's live leases for a charge of the given number of tokens.
// A lease is live as long as it may be charged.
func (c *LeaseCache) Shortfall(now lovageshift.Millis, account lovageshift.AccountID, tokens lovageshift.Tokens) lovageshift.Tokens {
	a := c.accounts[account]
	if a == nil {
		return tokens
	}
	for _, lease := range a.leases {
		if now < lease.chargeUntil {
			tokens -= lease.left
		}
	}
	return max(tokens, 0)
}

// Take charges the tokens to the account's live leases, or returns nil if the leases don't have enough tokens left.
func (c *LeaseCache) Take(now lovageshift.Millis, account lovageshift.AccountID, tokens lovageshift.Tokens) *Charge {
	if c.Shortfall(now, account, tokens) > 0 {
		return nil
	}
	charge := &Charge{Account: account, Tokens: tokens}
	for _, lease := range c.accountOf(account).leases {
		taken := min(lease.left, tokens)
		if taken <= 0 || now >= lease.chargeUntil {
			continue
		}
		lease.left -= taken
		lease.inFlight += taken
		tokens -= taken
		charge.portions = append(charge.portions, portion{lease, taken})
	}
	return charge
}

// Dispatchable reports whether a request with this charge may be dispatched now, that is, whether it would reach its
// target while the issuers count its tokens as outstanding.
func (c *Charge) Dispatchable(now lovageshift.Millis) bool {
	for _, p := range c.portions {
		if now >= p.lease.dispatchUntil {
			return false
		}
	}
	return true
}

// Settle ends a charge when its request has ended, with the number of tokens that the request used. Unused tokens may be
// charged again if their lease is still live, and are returned to the issuer otherwise.
func (c *LeaseCache) Settle(now lovageshift.Millis, charge *Charge, used lovageshift.Tokens) {
	for _, p := range charge.portions {
		usedHere := min(used, p.tokens)
		used -= usedHere
		p.lease.inFlight -= p.tokens
		p.lease.used += usedHere
		p.lease.refund(now, p.tokens-usedHere)
	}
	charge.portions = nil
}

// refund takes back the unused tokens of a charge: they are left in the lease if it is live, and returned to the issuer
// otherwise.
func (l *cachedLease) refund(now lovageshift.Millis, tokens lovageshift.Tokens) {
	if now < l.chargeUntil {
		l.left += tokens
	} else {
		l.returned += tokens
	}
	l.markUnreported(now)
}

func (l *cachedLease) markUnreported(now lovageshift.Millis) {
	if l.unreportedSince == 0 {
		l.unreportedSince = now
	}
}

// ReturnUncharged returns the tokens left in the account's leases to the issuers. It is called if the issuers together did not
// grant enough tokens for a charge.
func (c *LeaseCache) ReturnUncharged(now lovageshift.Millis, account lovageshift.AccountID) {
	a := c.accounts[account]
	if a == nil {
		return
	}
	for _, lease := range a.leases {
		lease.returnUncharged(now)
	}
}

func (l *cachedLease) returnUncharged(now lovageshift.Millis) {
	if l.left == 0 {
		return
	}
	l.returned += l.left
	l.left = 0
	l.markUnreported(now)
}

// DueReports returns the reports to send now. Before, it returns the tokens left in leases that are about to end. It also
// drops finished leases, and the accounts that have no lease and for which RecordDemand was not called for 10 times
// leaseDemandMillis.
func (c *LeaseCache) DueReports(now lovageshift.Millis) []Report {
	byIssuer := map[lovageshift.TargetID]*Report{}
	for account, a := range c.accounts {
		for _, lease := range a.leases {
			c.returnBeforeEnd(now, lease)
			if lease.reportDue(now) {
				c.addUsage(byIssuer, account, lease)
				lease.unreportedSince, lease.reportedAt, lease.everReported = 0, now, true
			}
		}
		a.leases = slices.DeleteFunc(a.leases, func(lease *cachedLease) bool { return lease.finished() })
		if len(a.leases) == 0 && now-a.lastDemandAt > 10*leaseDemandMillis {
			delete(c.accounts, account)
		}
	}
	reports := make([]Report, 0, len(byIssuer))
	for _, report := range byIssuer {
		reports = append(reports, *report)
	}
	return reports
}

func (c *LeaseCache) addUsage(byIssuer map[lovageshift.TargetID]*Report, account lovageshift.AccountID, lease *cachedLease) {
	report := byIssuer[lease.issuer]
	if report == nil {
		report = &Report{Issuer: lease.issuer}
		byIssuer[lease.issuer] = report
	}
	report.Usages = append(report.Usages, c.usageOf(account, lease))
	report.leases = append(report.leases, lease)
}

// ReportDelivered records that a report sent at the time sentAt has reached the issuer. As the issuer then keeps the reported
// tokens in flight outstanding for longer, the requests charged to these leases may be dispatched for longer.
func (c *LeaseCache) ReportDelivered(sentAt lovageshift.Millis, report Report) {
	for i, lease := range report.leases {
		if report.Usages[i].InFlight > 0 {
			lease.dispatchUntil = max(lease.dispatchUntil, sentAt+InFlightTimeoutMillis-dispatchMarginMillis)
		}
	}
}

// ReportFailed marks the leases of an undelivered report, so that a later report includes them again if they are still in
// the cache.
func (c *LeaseCache) ReportFailed(now lovageshift.Millis, report Report) {
	for _, lease := range report.leases {
		lease.markUnreported(now)
	}
}

// returnBeforeEnd returns the tokens left in a lease that ends within 2 times reportDelayMillis or has ended. The issuer
// credits returned tokens to the account's bucket, but not those that it releases at the end of a lease.
func (c *LeaseCache) returnBeforeEnd(now lovageshift.Millis, lease *cachedLease) {
	if now+2*reportDelayMillis >= lease.chargeUntil {
		lease.returnUncharged(now)
	}
}

// reportDue reports whether the lease has to be in a report now. That is so if reportDelayMillis have passed since
// unreportedSince. Tokens in flight are also reported every ReportIntervalMillis, and shortly before the end of a lease that
// no report has included yet, as the issuer would release them otherwise.
func (l *cachedLease) reportDue(now lovageshift.Millis) bool {
	if l.unreportedSince != 0 && now-l.unreportedSince >= reportDelayMillis {
		return true
	}
	if l.inFlight == 0 {
		return false
	}
	firstReportDue := !l.everReported && now+2*reportDelayMillis >= l.chargeUntil
	return firstReportDue || now-l.reportedAt >= ReportIntervalMillis
}

// finished reports whether all tokens of the lease are used or returned, and a report has included them.
func (l *cachedLease) finished() bool {
	return l.inFlight == 0 && l.left == 0 && l.unreportedSince == 0
}

func (c *LeaseCache) usageOf(account lovageshift.AccountID, lease *cachedLease) Usage {
	return Usage{
		Holder: c.holder, IssuerIncarnation: lease.issuerIncarnation, Lease: lease.id, Account: account, Share: lease.share,
		Used: lease.used, InFlight: lease.inFlight, Returned: lease.returned,
	}
}

// Accounts returns the number of client accounts that have leases or recent demand; see DueReports.
func (c *LeaseCache) Accounts() int { return len(c.accounts) }

func (c *LeaseCache) accountOf(account lovageshift.AccountID) *accountLeases {
	a := c.accounts[account]
	if a == nil {
		a = &accountLeases{}
		c.accounts[account] = a
	}
	return a
}
