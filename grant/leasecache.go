package grant

import (
	"slices"

	"lovageshift"
)

const (
	// Weight of a new sample in the moving average of an account's demand.
	demandWeight = 0.5
	// A lease request covers this many milliseconds of the account's recent demand.
	leaseDemandMillis = 1_000
	// Changes of a lease are reported this many milliseconds later, so that one report covers several.
	reportDelayMillis lovageshift.Millis = 100
	// Within this many milliseconds of when the issuer may stop holding a charge's tokens, it is no longer dispatched.
	dispatchMargin lovageshift.Millis = 5_000
)

// LeaseCache holds the leases of one incarnation of an entry. It isn't safe for concurrent use.
type LeaseCache struct {
	holder   Holder
	lastID   LeaseID
	accounts map[lovageshift.AccountID]*accountLeases
}

// accountLeases are the leases and the recent demand of one client account.
type accountLeases struct {
	leases       []*cachedLease
	demand       float64 // moving average in tokens per second
	recentTokens lovageshift.Tokens
	windowStart  lovageshift.Millis
	lastUsed     lovageshift.Millis
}

// cachedLease is a lease as its holder knows it.
type cachedLease struct {
	id                LeaseID
	share             ShareIndex
	issuer            lovageshift.TargetID
	issuerIncarnation lovageshift.Incarnation // when it granted the lease
	granted           lovageshift.Tokens
	left              lovageshift.Tokens
	used              lovageshift.Tokens
	inFlight          lovageshift.Tokens
	returned          lovageshift.Tokens
	spendUntil        lovageshift.Millis
	heldUntil         lovageshift.Millis // until when the issuer is certain to hold the tokens in flight
	unreportedSince   lovageshift.Millis // 0 if all changes were reported
	reportedAt        lovageshift.Millis
	everReported      bool
}

// Charge is the tokens taken for one request, divided among leases.
type Charge struct {
	Account  lovageshift.AccountID
	Tokens   lovageshift.Tokens
	portions []portion
}

type portion struct {
	lease  *cachedLease
	tokens lovageshift.Tokens
}

// Report is the usage of leases to be sent to one issuer.
type Report struct {
	Issuer lovageshift.TargetID
	Usages []Usage

	leases []*cachedLease
}

// NewLeaseCache returns an empty cache for one incarnation of an entry.
func NewLeaseCache(holder Holder) *LeaseCache {
	return &LeaseCache{holder: holder, accounts: map[lovageshift.AccountID]*accountLeases{}}
}

// NextRequest returns a lease request for the shortfall, or for the account's recent demand up to maxTokens if that is
// more.
func (c *LeaseCache) NextRequest(account lovageshift.AccountID, share ShareIndex, shortfall, maxTokens lovageshift.Tokens) LeaseRequest {
	c.lastID++
	tokens := shortfall
	if a := c.accounts[account]; a != nil {
		tokens = max(shortfall, min(lovageshift.Tokens(a.demand*leaseDemandMillis/1000), maxTokens))
	}
	return LeaseRequest{Holder: c.holder, Lease: c.lastID, Account: account, Share: share, Tokens: tokens}
}

// Add adds the lease of a grant. Its TTL counts from sentAt, when the request was sent, so that it ends here before it
// ends at the issuer. A grant of no tokens, or of another lease than the requested one, is ignored.
func (c *LeaseCache) Add(sentAt lovageshift.Millis, issuer lovageshift.TargetID, request LeaseRequest, grant LeaseGrant) {
	if grant.Tokens <= 0 || grant.Lease != request.Lease {
		return
	}
	a := c.accountOf(request.Account)
	a.leases = append(a.leases, &cachedLease{
		id: request.Lease, share: request.Share, issuer: issuer, issuerIncarnation: grant.IssuerIncarnation,
		granted: grant.Tokens, left: grant.Tokens, spendUntil: sentAt + grant.TTL,
		heldUntil: sentAt + grant.TTL, reportedAt: sentAt,
	})
}

// RecordDemand records the tokens of a request, so that the size of leases follows the account's demand.
func (c *LeaseCache) RecordDemand(now lovageshift.Millis, account lovageshift.AccountID, tokens lovageshift.Tokens) {
	a := c.accountOf(account)
	if elapsed := now - a.windowStart; elapsed >= 1000 {
		rate := float64(a.recentTokens) / elapsed.Seconds()
		a.demand += demandWeight * (rate - a.demand)
		a.recentTokens, a.windowStart = 0, now
	}
	a.recentTokens += tokens
	a.lastUsed = now
}

// Shortfall returns how many tokens the account's live leases lack for a charge of the given size.
func (c *LeaseCache) Shortfall(now lovageshift.Millis, account lovageshift.AccountID, tokens lovageshift.Tokens) lovageshift.Tokens {
	a := c.accounts[account]
	if a == nil {
		return tokens
	}
	for _, lease := range a.leases {
		if now < lease.spendUntil {
			tokens -= lease.left
		}
	}
	return max(tokens, 0)
}

// Take charges the tokens to the account's live leases, or returns nil if these don't suffice.
func (c *LeaseCache) Take(now lovageshift.Millis, account lovageshift.AccountID, tokens lovageshift.Tokens) *Charge {
	if c.Shortfall(now, account, tokens) > 0 {
		return nil
	}
	charge := &Charge{Account: account, Tokens: tokens}
	for _, lease := range c.accountOf(account).leases {
		taken := min(lease.left, tokens)
		if taken <= 0 || now >= lease.spendUntil {
			continue
		}
		lease.left -= taken
		lease.inFlight += taken
		tokens -= taken
		charge.portions = append(charge.portions, portion{lease, taken})
	}
	return charge
}

// Dispatchable reports whether the issuers are certain to hold the charge's tokens still, so that it may be dispatched.
func (c *Charge) Dispatchable(now lovageshift.Millis) bool {
	for _, p := range c.portions {
		if now >= p.lease.heldUntil {
			return false
		}
	}
	return true
}

// Settle ends a charge with the number of tokens used. The rest goes back to live leases or else to the issuers.
func (c *LeaseCache) Settle(now lovageshift.Millis, charge *Charge, used lovageshift.Tokens) {
	for _, p := range charge.portions {
		spent := min(used, p.tokens)
		used -= spent
		p.lease.inFlight -= p.tokens
		p.lease.used += spent
		p.lease.refund(now, p.tokens-spent)
	}
	charge.portions = nil
}

// refund makes unused tokens available again if the lease is live, and returns them to the issuer otherwise.
func (l *cachedLease) refund(now lovageshift.Millis, tokens lovageshift.Tokens) {
	if now < l.spendUntil {
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

// ReturnUncharged returns the unspent tokens of the account's leases to their issuers, as after lease requests that did
// not yield enough for a charge.
func (c *LeaseCache) ReturnUncharged(now lovageshift.Millis, account lovageshift.AccountID) {
	a := c.accounts[account]
	if a == nil {
		return
	}
	for _, lease := range a.leases {
		lease.returnUnspent(now)
	}
}

func (l *cachedLease) returnUnspent(now lovageshift.Millis) {
	if l.left == 0 {
		return
	}
	l.returned += l.left
	l.left = 0
	l.markUnreported(now)
}

// DueReports returns the reports to send now and drops settled leases and accounts that have been idle.
func (c *LeaseCache) DueReports(now lovageshift.Millis) []Report {
	byIssuer := map[lovageshift.TargetID]*Report{}
	for account, a := range c.accounts {
		for _, lease := range a.leases {
			c.returnBeforeExpiry(now, lease)
			if lease.reportDue(now) {
				c.addUsage(byIssuer, account, lease)
				lease.unreportedSince, lease.reportedAt, lease.everReported = 0, now, true
			}
		}
		a.leases = slices.DeleteFunc(a.leases, func(lease *cachedLease) bool { return lease.settled() })
		if len(a.leases) == 0 && now-a.lastUsed > 10*leaseDemandMillis {
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

// ReportDelivered records that the issuer has received a report that was sent at the time sentAt.
func (c *LeaseCache) ReportDelivered(sentAt lovageshift.Millis, report Report) {
	for i, lease := range report.leases {
		if report.Usages[i].InFlight > 0 {
			lease.heldUntil = max(lease.heldUntil, sentAt+InFlightTimeoutMillis-dispatchMargin)
		}
	}
}

// ReportFailed records that a report was not delivered, so that it is sent again.
func (c *LeaseCache) ReportFailed(now lovageshift.Millis, report Report) {
	for _, lease := range report.leases {
		lease.markUnreported(now)
	}
}

// returnBeforeExpiry returns unspent tokens shortly before the lease ends, so that they are not lost.
func (c *LeaseCache) returnBeforeExpiry(now lovageshift.Millis, lease *cachedLease) {
	if now+2*reportDelayMillis >= lease.spendUntil {
		lease.returnUnspent(now)
	}
}

// reportDue reports whether the lease has changes, or tokens in flight, that the issuer has to know of now.
func (l *cachedLease) reportDue(now lovageshift.Millis) bool {
	if l.unreportedSince != 0 && now-l.unreportedSince >= reportDelayMillis {
		return true
	}
	if l.inFlight == 0 {
		return false
	}
	ending := !l.everReported && now+2*reportDelayMillis >= l.spendUntil
	return ending || now-l.reportedAt >= ReportIntervalMillis
}

// settled reports whether the lease has nothing left to charge, to wait for or to report.
func (l *cachedLease) settled() bool {
	return l.inFlight == 0 && l.left == 0 && l.unreportedSince == 0
}

func (c *LeaseCache) usageOf(account lovageshift.AccountID, lease *cachedLease) Usage {
	return Usage{
		Holder: c.holder, IssuerIncarnation: lease.issuerIncarnation, Lease: lease.id, Account: account, Share: lease.share,
		Used: lease.used, InFlight: lease.inFlight, Returned: lease.returned,
	}
}

// Accounts returns how many client accounts have leases or recent demand.
func (c *LeaseCache) Accounts() int { return len(c.accounts) }

func (c *LeaseCache) accountOf(account lovageshift.AccountID) *accountLeases {
	a := c.accounts[account]
	if a == nil {
		a = &accountLeases{}
		c.accounts[account] = a
	}
	return a
}
