package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcconn"

	"lovageshift"
	"lovageshift/grant"
	"lovageshift/link"
	"lovageshift/membership"
	"lovageshift/peer"
	"lovageshift/wire"
)

const (
	reportInterval = 50 * time.Millisecond
	leaseTimeout   = 500 * time.Millisecond
	// For demand beyond the request at hand, a lease takes at most a share's burst divided by this.
	prefetchBurstDivisor = 4
)

// charge takes the most tokens that a request may use from its account's leases, or returns a refusal.
func (e *Entry) charge(ctx context.Context, account *lovageshift.Account, tokens lovageshift.Tokens) (*grant.Charge, *lovageshift.Refusal) {
	now := e.node.Now()
	e.leaseMutex.Lock()
	e.leases.RecordDemand(now, account.ID, tokens)
	charge := e.leases.Take(now, account.ID, tokens)
	e.leaseMutex.Unlock()
	if charge != nil {
		return charge, nil
	}
	if tokens > account.Burst {
		return nil, lovageshift.NotRun(lovageshift.ReasonRateExceeded, "the request may use more tokens than the account's burst")
	}
	// Requests of one account acquire leases one after the other, so that they share the tokens of a lease.
	lock := e.leaseLocks[xxhash.Sum64String(string(account.ID))%leaseLockStripes]
	select {
	case lock <- struct{}{}:
		defer func() { <-lock }()
	case <-ctx.Done():
		return nil, lovageshift.NotRun(lovageshift.ReasonWithdrawnByCaller, "the caller left")
	}
	return e.acquireLeases(ctx, account, tokens)
}

// acquireLeases asks the issuers of the account's shares in turn until the leased tokens suffice. If they never do, it
// returns the unspent tokens and refuses the request.
func (e *Entry) acquireLeases(ctx context.Context, account *lovageshift.Account, tokens lovageshift.Tokens) (*grant.Charge, *lovageshift.Refusal) {
	config := e.node.Revisions.Config()
	shares := grant.ShareCount(account, &config.Limits)
	maxPrefetch := lovageshift.Tokens(grant.TermsOf(account, &config.Limits).Burst / prefetchBurstDivisor)
	targets := membership.AllTargets(config)
	firstShare := int(membership.Score(string(e.options.ID), string(account.ID)) % uint64(shares))
	var retryAfter lovageshift.Millis
	unreachable := false
	for i := range shares {
		if charge := e.chargeFromLeases(account.ID, tokens); charge != nil {
			return charge, nil
		}
		share := grant.ShareIndex((firstShare + i) % shares)
		issuer := config.Targets[grant.IssuerOf(account.ID, share, targets)]
		wait, err := e.leaseFrom(ctx, issuer, account.ID, share, tokens, maxPrefetch)
		unreachable = unreachable || err != nil
		if wait > 0 && (retryAfter == 0 || wait < retryAfter) {
			retryAfter = wait
		}
	}
	if charge := e.chargeFromLeases(account.ID, tokens); charge != nil {
		return charge, nil
	}
	e.leaseMutex.Lock()
	e.leases.ReturnUncharged(e.node.Now(), account.ID)
	e.leaseMutex.Unlock()
	if unreachable {
		return nil, lovageshift.NotRun(lovageshift.ReasonIssuerUnreachable, "part of the account's grant cannot be reached").WithRetryAfter(max(retryAfter, 1000))
	}
	return nil, lovageshift.NotRun(lovageshift.ReasonRateExceeded, "the account is above its rate and burst").WithRetryAfter(max(retryAfter, 100))
}

// chargeFromLeases takes the tokens from leases that the entry holds, or returns nil if they do not suffice.
func (e *Entry) chargeFromLeases(account lovageshift.AccountID, tokens lovageshift.Tokens) *grant.Charge {
	e.leaseMutex.Lock()
	defer e.leaseMutex.Unlock()
	return e.leases.Take(e.node.Now(), account, tokens)
}

// leaseFrom leases tokens of one share from its issuer. It returns after how many milliseconds the issuer may grant
// more; 0 means that the issuer named no time.
func (e *Entry) leaseFrom(ctx context.Context, issuer *lovageshift.Target, account lovageshift.AccountID, share grant.ShareIndex, tokens, maxPrefetch lovageshift.Tokens) (lovageshift.Millis, error) {
	e.leaseMutex.Lock()
	sentAt := e.node.Now()
	shortfall := e.leases.Shortfall(sentAt, account, tokens)
	req := e.leases.NextRequest(account, share, shortfall, maxPrefetch)
	e.leaseMutex.Unlock()
	reply, err := e.callLease(ctx, issuer, &wire.LeaseRequest{Asks: []*wire.LeaseAsk{{
		Account: string(account), Share: int32(share), Tokens: int64(req.Tokens), Lease: uint64(req.Lease),
	}}})
	if err != nil {
		return 0, err
	}
	var wait lovageshift.Millis
	e.leaseMutex.Lock()
	defer e.leaseMutex.Unlock()
	for _, granted := range reply.Grants {
		wait = lovageshift.Millis(granted.RetryAfter)
		e.leases.Add(sentAt, issuer.ID, req, grant.LeaseGrant{
			IssuerIncarnation: lovageshift.Incarnation(reply.KeeperIncarnation),
			Lease:             grant.LeaseID(granted.Lease), Tokens: lovageshift.Tokens(granted.Tokens),
			TTL: lovageshift.Millis(granted.TtlMillis),
		})
	}
	return wait, nil
}

// callLease sends a lease request, with or without usage reports, to an issuer.
func (e *Entry) callLease(ctx context.Context, issuer *lovageshift.Target, request *wire.LeaseRequest) (*wire.LeaseReply, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	sentAt := e.node.Now()
	request.Entry, request.Incarnation, request.Stamp = string(e.options.ID), int64(e.node.Incarnation), e.node.Stamp()
	reply, err := link.Call(ctx, e.node.Pool, issuer.Agent, func(ctx context.Context, conn *drpcconn.Conn) (*wire.LeaseReply, error) {
		return wire.NewDRPCAgentClient(conn).Lease(ctx, request)
	})
	if err == nil {
		e.node.ObserveStamp(peer.Address{ID: string(issuer.ID), Address: issuer.Agent}, reply.Stamp, sentAt)
	}
	return reply, err
}

// settle ends a charge with the tokens that the request used; a nil charge needs no settling.
func (e *Entry) settle(charge *grant.Charge, used lovageshift.Tokens) {
	if charge == nil {
		return
	}
	e.leaseMutex.Lock()
	defer e.leaseMutex.Unlock()
	e.leases.Settle(e.node.Now(), charge, used)
}

// chargeLive reports whether a request may still be dispatched on its charge, because the issuers hold the tokens.
func (e *Entry) chargeLive(charge *grant.Charge) bool {
	if charge == nil {
		return true
	}
	e.leaseMutex.Lock()
	defer e.leaseMutex.Unlock()
	return charge.Dispatchable(e.node.Now())
}

// reportUsage reports to the issuers which tokens of their leases are used, in flight or returned.
func (e *Entry) reportUsage(ctx context.Context) error {
	lovageshift.Every(ctx, reportInterval, func() {
		e.leaseMutex.Lock()
		reports := e.leases.DueReports(e.node.Now())
		e.leaseMutex.Unlock()
		var tasks errgroup.Group
		for _, report := range reports {
			tasks.Go(func() error {
				e.sendReport(ctx, report)
				return nil
			})
		}
		_ = tasks.Wait()
	})
	return nil
}

// sendReport sends one report to its issuer and records whether it was delivered.
func (e *Entry) sendReport(ctx context.Context, report grant.Report) {
	config := e.node.Revisions.Config()
	issuer := config.Targets[report.Issuer]
	if issuer == nil {
		return
	}
	request := &wire.LeaseRequest{}
	for _, usage := range report.Usages {
		request.Uses = append(request.Uses, &wire.LeaseUse{
			Account: string(usage.Account), Share: int32(usage.Share), Lease: uint64(usage.Lease),
			Used: int64(usage.Used), InFlight: int64(usage.InFlight), Returned: int64(usage.Returned),
			KeeperIncarnation: int64(usage.IssuerIncarnation),
		})
	}
	sentAt := e.node.Now()
	_, err := e.callLease(ctx, issuer, request)
	e.leaseMutex.Lock()
	defer e.leaseMutex.Unlock()
	if err != nil {
		e.leases.ReportFailed(e.node.Now(), report)
		return
	}
	e.leases.ReportDelivered(sentAt, report)
}
