package grant

import (
	"slices"

	"lovageshift"
)

const (
	demandWeight = 0.5
	// A lease covers this many milliseconds of an account's recent demand.
	leaseDemandMillis = 1_000
	// Returned tokens wait this long for company before they are reported.
	reportDelayMillis lovageshift.Millis = 100
	// A charge is not dispatched this shortly before its keeper may give up holding it.
	dispatchMargin lovageshift.Millis = 5_000
)

// LeaseCache holds the leases of one run of an entry.
type LeaseCache struct {
	holder   Holder
	lastID   LeaseID
	accounts map[lovageshift.AccountID]*accountLeases
}

type accountLeases struct {
	leases       []*cachedLease
	demand       float64 // tokens a second
	recentTokens lovageshift.Tokens
	windowStart  lovageshift.Millis
	lastUsed     lovageshift.Millis
}

type cachedLease struct {
	id                LeaseID
	share             Share
	issuer            lovageshift.TargetID
	issuerIncarnation lovageshift.Incarnation // of the keeper
	granted           lovageshift.Tokens
	left              lovageshift.Tokens
	used              lovageshift.Tokens
	inFlight          lovageshift.Tokens
	returned          lovageshift.Tokens
	spendUntil        lovageshift.Millis
	heldUntil         lovageshift.Millis // until when the keeper surely holds what is in flight
	unreportedSince   lovageshift.Millis
	reportedAt        lovageshift.Millis
	everReported      bool
}

// Charge is the tokens taken for one request, by lease.
type Charge struct {
	Account  lovageshift.AccountID
	Tokens   lovageshift.Tokens
	portions []portion
}

type portion struct {
	lease  *cachedLease
	tokens lovageshift.Tokens
}

// Report is what one keeper has to be told.
type Report struct {
	Issuer lovageshift.TargetID
	Usages []Usage

	leases []*cachedLease
}

// NewLeaseCache returns an empty wallet.
func NewLeaseCache(holder Holder) *LeaseCache {
	return &LeaseCache{holder: holder, accounts: map[lovageshift.AccountID]*accountLeases{}}
}

// NextRequest returns an ask for the tokens missing plus, for a busy account, what its recent demand suggests up to most.
func (c *LeaseCache) NextRequest(account lovageshift.AccountID, share Share, shortfall, maxTokens lovageshift.Tokens) LeaseRequest {
	c.lastID++
	tokens := shortfall
	if h := c.accounts[account]; h != nil {
		tokens = max(shortfall, min(lovageshift.Tokens(h.demand*leaseDemandMillis/1000), maxTokens))
	}
	return LeaseRequest{Holder: c.holder, Lease: c.lastID, Account: account, Share: share, Tokens: tokens}
}

// Add takes in a grant; its time counts from when the ask was sent.
func (c *LeaseCache) Add(sentAt lovageshift.Millis, issuer lovageshift.TargetID, request LeaseRequest, grant Grant) {
	if grant.Tokens <= 0 || grant.Lease != request.Lease {
		return
	}
	h := c.accountOf(request.Account)
	h.leases = append(h.leases, &cachedLease{
		id: request.Lease, share: request.Share, issuer: issuer, issuerIncarnation: grant.IssuerIncarnation,
		granted: grant.Tokens, left: grant.Tokens, spendUntil: sentAt + grant.TTL,
		heldUntil: sentAt + grant.TTL, reportedAt: sentAt,
	})
}

// RecordDemand notes a request's tokens, so that leases follow demand.
func (c *LeaseCache) RecordDemand(now lovageshift.Millis, account lovageshift.AccountID, tokens lovageshift.Tokens) {
	h := c.accountOf(account)
	if elapsed := now - h.windowStart; elapsed >= 1000 {
		rate := float64(h.recentTokens) / elapsed.Seconds()
		h.demand += demandWeight * (rate - h.demand)
		h.recentTokens, h.windowStart = 0, now
	}
	h.recentTokens += tokens
	h.lastUsed = now
}

// Shortfall returns how many tokens a charge of the size lacks.
func (c *LeaseCache) Shortfall(now lovageshift.Millis, account lovageshift.AccountID, tokens lovageshift.Tokens) lovageshift.Tokens {
	h := c.accounts[account]
	if h == nil {
		return tokens
	}
	for _, lease := range h.leases {
		if now < lease.spendUntil {
			tokens -= lease.left
		}
	}
	return max(tokens, 0)
}

// Take charges the tokens against live leases, or returns nil when they do not suffice.
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

// Live reports whether the keepers surely still hold the charge's tokens.
func (c *Charge) Live(now lovageshift.Millis) bool {
	for _, p := range c.portions {
		if now >= p.lease.heldUntil {
			return false
		}
	}
	return true
}

// Settle ends a charge with the tokens used; the rest goes back to the keepers.
func (c *LeaseCache) Settle(now lovageshift.Millis, charge *Charge, used lovageshift.Tokens) {
	for _, p := range charge.portions {
		spent := min(used, p.tokens)
		used -= spent
		p.lease.inFlight -= p.tokens
		p.lease.used += spent
		p.lease.giveBack(now, p.tokens-spent)
	}
	charge.portions = nil
}

// giveBack spends a refund again while the lease is live, and returns it otherwise.
func (l *cachedLease) giveBack(now lovageshift.Millis, refund lovageshift.Tokens) {
	if now < l.spendUntil {
		l.left += refund
	} else {
		l.returned += refund
	}
	l.markUnreported(now)
}

func (l *cachedLease) markUnreported(now lovageshift.Millis) {
	if l.unreportedSince == 0 {
		l.unreportedSince = now
	}
}

// ReturnUnspent gives the unspent tokens of the account's live leases back, as after an ask that did not suffice.
func (c *LeaseCache) ReturnUnspent(now lovageshift.Millis, account lovageshift.AccountID) {
	h := c.accounts[account]
	if h == nil {
		return
	}
	for _, lease := range h.leases {
		lease.returnLeft(now)
	}
}

func (l *cachedLease) returnLeft(now lovageshift.Millis) {
	if l.left == 0 {
		return
	}
	l.returned += l.left
	l.left = 0
	l.markUnreported(now)
}

// DueReports returns the reports to send now and forgets what is settled.
func (c *LeaseCache) DueReports(now lovageshift.Millis) []Report {
	byIssuer := map[lovageshift.TargetID]*Report{}
	for account, h := range c.accounts {
		for _, lease := range h.leases {
			c.returnBeforeExpiry(now, lease)
			if lease.reportDue(now) {
				c.addUsage(byIssuer, account, lease)
				lease.unreportedSince, lease.reportedAt, lease.everReported = 0, now, true
			}
		}
		h.leases = slices.DeleteFunc(h.leases, func(lease *cachedLease) bool { return lease.settled() })
		if len(h.leases) == 0 && now-h.lastUsed > 10*leaseDemandMillis {
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

// ReportDelivered notes that the keeper has taken in a report sent at the time given.
func (c *LeaseCache) ReportDelivered(sentAt lovageshift.Millis, report Report) {
	for i, lease := range report.leases {
		if report.Usages[i].InFlight > 0 {
			lease.heldUntil = max(lease.heldUntil, sentAt+InFlightMillis-dispatchMargin)
		}
	}
}

// ReportFailed notes that a report did not arrive, so that it is sent again.
func (c *LeaseCache) ReportFailed(now lovageshift.Millis, report Report) {
	for _, lease := range report.leases {
		lease.markUnreported(now)
	}
}

// returnBeforeExpiry sends back unspent tokens shortly before the lease ends, so that they are not lost.
func (c *LeaseCache) returnBeforeExpiry(now lovageshift.Millis, lease *cachedLease) {
	if now+2*reportDelayMillis >= lease.spendUntil {
		lease.returnLeft(now)
	}
}

func (l *cachedLease) reportDue(now lovageshift.Millis) bool {
	if l.unreportedSince != 0 && now-l.unreportedSince >= reportDelayMillis {
		return true
	}
	if l.inFlight == 0 {
		return false
	}
	ending := !l.everReported && now+2*reportDelayMillis >= l.spendUntil
	return ending || now-l.reportedAt >= ReportMillis
}

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
	h := c.accounts[account]
	if h == nil {
		h = &accountLeases{}
		c.accounts[account] = h
	}
	return h
}
