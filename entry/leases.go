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
	// At this interval the entry sends the usage reports that are due.
	reportCheckInterval = 50 * time.Millisecond
	leaseCallTimeout    = 500 * time.Millisecond // for one call to an issuer, with its reply
	// A lease request may ask for more tokens than the charge lacks, to cover later requests of the account. It then asks
	// for at most the burst of one share divided by prefetchBurstDivisor.
	prefetchBurstDivisor = 4
)

// charge takes maxTokens, the most that a request may use, from the leases that the entry holds of the account's tokens (package
// grant). If these do not suffice, it first acquires more leases. If the issuers do not grant enough, it returns a refusal.
func (e *Entry) charge(ctx context.Context, account *lovageshift.Account, maxTokens lovageshift.Tokens) (*grant.Charge, *lovageshift.Refusal) {
	now := e.node.Now()
	e.leaseMutex.Lock()
	e.leases.RecordDemand(now, account.ID, maxTokens)
	charge := e.leases.Take(now, account.ID, maxTokens)
	e.leaseMutex.Unlock()
	if charge != nil {
		return charge, nil
	}
	if maxTokens > account.Burst {
		return nil, lovageshift.NotRun(lovageshift.ReasonRateExceeded, "the request may use more tokens than the account's burst")
	}
	// Requests of one account acquire leases one after the other, since the lease acquired for one may also cover the next.
	lock := e.leaseLocks[xxhash.Sum64String(string(account.ID))%leaseLockStripes]
	select {
	case lock <- struct{}{}:
		defer func() { <-lock }()
	case <-ctx.Done():
		return nil, lovageshift.NotRun(lovageshift.ReasonWithdrawnByCaller, "the caller left")
	}
	return e.acquireLeases(ctx, account, maxTokens)
}

// acquireLeases requests leases from the issuers of the shares of the account's bucket, one after the other, until the leased
// tokens suffice for the charge. If all issuers together do not grant enough, it returns the account's leased but uncharged
// tokens to their issuers and refuses the request.
func (e *Entry) acquireLeases(ctx context.Context, account *lovageshift.Account, maxTokens lovageshift.Tokens) (*grant.Charge, *lovageshift.Refusal) {
	config := e.node.Revisions.Config()
	shares := grant.ShareCount(account, &config.Limits)
	maxPrefetch := lovageshift.Tokens(grant.TermsOf(account, &config.Limits).Burst / prefetchBurstDivisor)
	targets := membership.AllTargets(config)
	// The first share depends on the entry and the account, so that lease requests spread over the issuers.
	firstShare := int(membership.Score(string(e.options.ID), string(account.ID)) % uint64(shares))
	var retryAfter lovageshift.Millis
	unreachable := false
	for i := range shares {
		if charge := e.chargeFromLeases(account.ID, maxTokens); charge != nil {
			return charge, nil
		}
		share := grant.ShareIndex((firstShare + i) % shares)
		issuer := config.Targets[grant.IssuerOf(account.ID, share, targets)]
		wait, err := e.requestLease(ctx, issuer, account.ID, share, maxTokens, maxPrefetch)
		unreachable = unreachable || err != nil
		if wait > 0 && (retryAfter == 0 || wait < retryAfter) {
			retryAfter = wait
		}
	}
	if charge := e.chargeFromLeases(account.ID, maxTokens); charge != nil {
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

// chargeFromLeases takes maxTokens from the leases that the entry holds, or returns nil if these do not suffice.
func (e *Entry) chargeFromLeases(account lovageshift.AccountID, maxTokens lovageshift.Tokens) *grant.Charge {
	e.leaseMutex.Lock()
	defer e.leaseMutex.Unlock()
	return e.leases.Take(e.node.Now(), account, maxTokens)
}

// requestLease requests a lease of one share's tokens from the share's issuer, and adds it to the lease cache. It asks for the
// tokens that a charge of maxTokens lacks or, up to maxPrefetch, for the account's recent demand if that is more. It returns
// the milliseconds after which the issuer may grant the tokens that it did not grant now, or 0 if it granted all or the call
// failed.
func (e *Entry) requestLease(ctx context.Context, issuer *lovageshift.Target, account lovageshift.AccountID, share grant.ShareIndex, maxTokens, maxPrefetch lovageshift.Tokens) (lovageshift.Millis, error) {
	e.leaseMutex.Lock()
	sentAt := e.node.Now()
	shortfall := e.leases.Shortfall(sentAt, account, maxTokens)
	leaseRequest := e.leases.NextRequest(account, share, shortfall, maxPrefetch)
	e.leaseMutex.Unlock()
	reply, err := e.callLease(ctx, issuer, &wire.LeaseRequest{Asks: []*wire.LeaseAsk{{
		Account: string(account), Share: int32(share), Tokens: int64(leaseRequest.Tokens), Lease: uint64(leaseRequest.Lease),
	}}})
	if err != nil {
		return 0, err
	}
	var wait lovageshift.Millis
	e.leaseMutex.Lock()
	defer e.leaseMutex.Unlock()
	for _, granted := range reply.Grants {
		wait = lovageshift.Millis(granted.RetryAfter)
		e.leases.Add(sentAt, issuer.ID, leaseRequest, grant.LeaseGrant{
			IssuerIncarnation: lovageshift.Incarnation(reply.KeeperIncarnation),
			Lease:             grant.LeaseID(granted.Lease), Tokens: lovageshift.Tokens(granted.Tokens),
			TTL: lovageshift.Millis(granted.TtlMillis),
		})
	}
	return wait, nil
}

// callLease sends an issuer a message that holds either lease requests (Asks) or usage reports (Uses). It sets the message's
// fields about the sender, and passes the configuration stamp of the reply to ObserveStamp. The wire protocol calls the issuer
// keeper.
func (e *Entry) callLease(ctx context.Context, issuer *lovageshift.Target, message *wire.LeaseRequest) (*wire.LeaseReply, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	sentAt := e.node.Now()
	message.Entry, message.Incarnation, message.Stamp = string(e.options.ID), int64(e.node.Incarnation), e.node.Stamp()
	reply, err := link.Call(ctx, e.node.Pool, issuer.Agent, func(ctx context.Context, conn *drpcconn.Conn) (*wire.LeaseReply, error) {
		return wire.NewDRPCAgentClient(conn).Lease(ctx, message)
	})
	if err == nil {
		e.node.ObserveStamp(peer.Address{ID: string(issuer.ID), Address: issuer.Agent}, reply.Stamp, sentAt)
	}
	return reply, err
}

// settle ends the charge of a request that used the given number of tokens; the unused tokens go back to the lease or its
// issuer. A nil charge, that of a request that is not charged, is ignored.
func (e *Entry) settle(charge *grant.Charge, used lovageshift.Tokens) {
	if charge == nil {
		return
	}
	e.leaseMutex.Lock()
	defer e.leaseMutex.Unlock()
	e.leases.Settle(e.node.Now(), charge, used)
}

// chargeDispatchable reports whether a request with this charge may be dispatched now, that is, whether it would reach its
// target while the issuers still count the charged tokens as outstanding. It returns true for a nil charge.
func (e *Entry) chargeDispatchable(charge *grant.Charge) bool {
	if charge == nil {
		return true
	}
	e.leaseMutex.Lock()
	defer e.leaseMutex.Unlock()
	return charge.Dispatchable(e.node.Now())
}

// reportUsage reports to the issuers how many tokens of their leases were used, how many were returned and how many are in
// flight (charged to requests that have not ended), until the context ends.
func (e *Entry) reportUsage(ctx context.Context) error {
	lovageshift.Every(ctx, reportCheckInterval, func() {
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

// sendReport sends one report to its issuer and records in the lease cache whether the issuer replied. It drops the report if
// the issuer's target is no longer configured.
func (e *Entry) sendReport(ctx context.Context, report grant.Report) {
	config := e.node.Revisions.Config()
	issuer := config.Targets[report.Issuer]
	if issuer == nil {
		return
	}
	message := &wire.LeaseRequest{}
	for _, usage := range report.Usages {
		message.Uses = append(message.Uses, &wire.LeaseUse{
			Account: string(usage.Account), Share: int32(usage.Share), Lease: uint64(usage.Lease),
			Used: int64(usage.Used), InFlight: int64(usage.InFlight), Returned: int64(usage.Returned),
			KeeperIncarnation: int64(usage.IssuerIncarnation),
		})
	}
	sentAt := e.node.Now()
	_, err := e.callLease(ctx, issuer, message)
	e.leaseMutex.Lock()
	defer e.leaseMutex.Unlock()
	if err != nil {
		e.leases.ReportFailed(e.node.Now(), report)
		return
	}
	e.leases.ReportDelivered(sentAt, report)
}
