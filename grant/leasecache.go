package grant

import (
	"slices"

	"lovageshift"
)

const (
	demandWeight = 0.5
	// A lease covers this many milliseconds of an account's recent demand.
	demandMillis = 1_000
	// Returned tokens wait this long for company before they are reported.
	returnMillis lovageshift.Millis = 100
	// A charge is not dispatched this shortly before its keeper may give up holding it.
	heldMargin lovageshift.Millis = 5_000
)

// LeaseCache holds the leases of one run of an entry.
type LeaseCache struct {
	asker    Holder
	next     LeaseID
	holdings map[lovageshift.AccountID]*holding
}

type holding struct {
	leases   []*held
	demand   float64 // tokens a second
	recent   lovageshift.Tokens
	window   lovageshift.Millis
	lastUsed lovageshift.Millis
}

type held struct {
	id         LeaseID
	share      Share
	keeper     lovageshift.TargetID
	run        lovageshift.Incarnation // of the keeper
	granted    lovageshift.Tokens
	left       lovageshift.Tokens
	used       lovageshift.Tokens
	inFlight   lovageshift.Tokens
	returned   lovageshift.Tokens
	spends     lovageshift.Millis
	heldUntil  lovageshift.Millis // until when the keeper surely holds what is in flight
	dirtySince lovageshift.Millis
	reported   lovageshift.Millis
	told       bool
}

// Charge is the tokens taken for one request, by lease.
type Charge struct {
	Account lovageshift.AccountID
	Tokens  lovageshift.Tokens
	parts   []part
}

type part struct {
	lease  *held
	tokens lovageshift.Tokens
}

// Report is what one keeper has to be told.
type Report struct {
	Issuer lovageshift.TargetID
	Usages []Usage

	leases []*held
}

// NewLeaseCache returns an empty wallet.
func NewLeaseCache(asker Holder) *LeaseCache {
	return &LeaseCache{asker: asker, holdings: map[lovageshift.AccountID]*holding{}}
}

// NextRequest returns an ask for the tokens missing plus, for a busy account, what its recent demand suggests up to most.
func (w *LeaseCache) NextRequest(account lovageshift.AccountID, share Share, missing, most lovageshift.Tokens) LeaseRequest {
	w.next++
	tokens := missing
	if h := w.holdings[account]; h != nil {
		tokens = max(missing, min(lovageshift.Tokens(h.demand*demandMillis/1000), most))
	}
	return LeaseRequest{Holder: w.asker, Lease: w.next, Account: account, Share: share, Tokens: tokens}
}

// Add takes in a grant; its time counts from when the ask was sent.
func (w *LeaseCache) Add(sentAt lovageshift.Millis, keeper lovageshift.TargetID, ask LeaseRequest, grant Grant) {
	if grant.Tokens <= 0 || grant.Lease != ask.Lease {
		return
	}
	h := w.holdingOf(ask.Account)
	h.leases = append(h.leases, &held{
		id: ask.Lease, share: ask.Share, keeper: keeper, run: grant.IssuerIncarnation,
		granted: grant.Tokens, left: grant.Tokens, spends: sentAt + grant.TTL,
		heldUntil: sentAt + grant.TTL, reported: sentAt,
	})
}

// RecordDemand notes a request's tokens, so that leases follow demand.
func (w *LeaseCache) RecordDemand(now lovageshift.Millis, account lovageshift.AccountID, tokens lovageshift.Tokens) {
	h := w.holdingOf(account)
	if elapsed := now - h.window; elapsed >= 1000 {
		rate := float64(h.recent) / elapsed.Seconds()
		h.demand += demandWeight * (rate - h.demand)
		h.recent, h.window = 0, now
	}
	h.recent += tokens
	h.lastUsed = now
}

// Shortfall returns how many tokens a charge of the size lacks.
func (w *LeaseCache) Shortfall(now lovageshift.Millis, account lovageshift.AccountID, tokens lovageshift.Tokens) lovageshift.Tokens {
	h := w.holdings[account]
	if h == nil {
		return tokens
	}
	for _, lease := range h.leases {
		if now < lease.spends {
			tokens -= lease.left
		}
	}
	return max(tokens, 0)
}

// Take charges the tokens against live leases, or returns nil when they do not suffice.
func (w *LeaseCache) Take(now lovageshift.Millis, account lovageshift.AccountID, tokens lovageshift.Tokens) *Charge {
	if w.Shortfall(now, account, tokens) > 0 {
		return nil
	}
	charge := &Charge{Account: account, Tokens: tokens}
	for _, lease := range w.holdingOf(account).leases {
		taken := min(lease.left, tokens)
		if taken <= 0 || now >= lease.spends {
			continue
		}
		lease.left -= taken
		lease.inFlight += taken
		tokens -= taken
		charge.parts = append(charge.parts, part{lease, taken})
	}
	return charge
}

// Live reports whether the keepers surely still hold the charge's tokens.
func (c *Charge) Live(now lovageshift.Millis) bool {
	for _, p := range c.parts {
		if now >= p.lease.heldUntil {
			return false
		}
	}
	return true
}

// Settle ends a charge with the tokens used; the rest goes back to the keepers.
func (w *LeaseCache) Settle(now lovageshift.Millis, charge *Charge, used lovageshift.Tokens) {
	for _, p := range charge.parts {
		spent := min(used, p.tokens)
		used -= spent
		p.lease.inFlight -= p.tokens
		p.lease.used += spent
		p.lease.giveBack(now, p.tokens-spent)
	}
	charge.parts = nil
}

// giveBack spends a refund again while the lease is live, and returns it otherwise.
func (l *held) giveBack(now lovageshift.Millis, refund lovageshift.Tokens) {
	if now < l.spends {
		l.left += refund
	} else {
		l.returned += refund
	}
	l.touch(now)
}

func (l *held) touch(now lovageshift.Millis) {
	if l.dirtySince == 0 {
		l.dirtySince = now
	}
}

// ReturnUnspent gives the unspent tokens of the account's live leases back, as after an ask that did not suffice.
func (w *LeaseCache) ReturnUnspent(now lovageshift.Millis, account lovageshift.AccountID) {
	h := w.holdings[account]
	if h == nil {
		return
	}
	for _, lease := range h.leases {
		lease.returnLeft(now)
	}
}

func (l *held) returnLeft(now lovageshift.Millis) {
	if l.left == 0 {
		return
	}
	l.returned += l.left
	l.left = 0
	l.touch(now)
}

// DueReports returns the reports to send now and forgets what is settled.
func (w *LeaseCache) DueReports(now lovageshift.Millis) []Report {
	byKeeper := map[lovageshift.TargetID]*Report{}
	for account, h := range w.holdings {
		for _, lease := range h.leases {
			w.expire(now, lease)
			if lease.due(now) {
				w.addUse(byKeeper, account, lease)
				lease.dirtySince, lease.reported, lease.told = 0, now, true
			}
		}
		h.leases = slices.DeleteFunc(h.leases, func(lease *held) bool { return lease.done() })
		if len(h.leases) == 0 && now-h.lastUsed > 10*demandMillis {
			delete(w.holdings, account)
		}
	}
	reports := make([]Report, 0, len(byKeeper))
	for _, report := range byKeeper {
		reports = append(reports, *report)
	}
	return reports
}

func (w *LeaseCache) addUse(byKeeper map[lovageshift.TargetID]*Report, account lovageshift.AccountID, lease *held) {
	report := byKeeper[lease.keeper]
	if report == nil {
		report = &Report{Issuer: lease.keeper}
		byKeeper[lease.keeper] = report
	}
	report.Usages = append(report.Usages, w.useOf(account, lease))
	report.leases = append(report.leases, lease)
}

// ReportDelivered notes that the keeper has taken in a report sent at the time given.
func (w *LeaseCache) ReportDelivered(sentAt lovageshift.Millis, report Report) {
	for i, lease := range report.leases {
		if report.Usages[i].InFlight > 0 {
			lease.heldUntil = max(lease.heldUntil, sentAt+InFlightMillis-heldMargin)
		}
	}
}

// ReportFailed notes that a report did not arrive, so that it is sent again.
func (w *LeaseCache) ReportFailed(now lovageshift.Millis, report Report) {
	for _, lease := range report.leases {
		lease.touch(now)
	}
}

// expire sends back unspent tokens shortly before the lease ends, so that they are not lost.
func (w *LeaseCache) expire(now lovageshift.Millis, lease *held) {
	if now+2*returnMillis >= lease.spends {
		lease.returnLeft(now)
	}
}

func (l *held) due(now lovageshift.Millis) bool {
	if l.dirtySince != 0 && now-l.dirtySince >= returnMillis {
		return true
	}
	if l.inFlight == 0 {
		return false
	}
	ending := !l.told && now+2*returnMillis >= l.spends
	return ending || now-l.reported >= ReportMillis
}

func (l *held) done() bool {
	return l.inFlight == 0 && l.left == 0 && l.dirtySince == 0
}

func (w *LeaseCache) useOf(account lovageshift.AccountID, lease *held) Usage {
	return Usage{
		Holder: w.asker, IssuerIncarnation: lease.run, Lease: lease.id, Account: account, Share: lease.share,
		Used: lease.used, InFlight: lease.inFlight, Returned: lease.returned,
	}
}

// Accounts returns how many client accounts have leases or recent demand.
func (w *LeaseCache) Accounts() int { return len(w.holdings) }

func (w *LeaseCache) holdingOf(account lovageshift.AccountID) *holding {
	h := w.holdings[account]
	if h == nil {
		h = &holding{}
		w.holdings[account] = h
	}
	return h
}
