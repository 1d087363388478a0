package agent

import (
	"context"

	"lovageshift"
	"lovageshift/grant"
	"lovageshift/peer"
	"lovageshift/wire"
)

// noLeaseRetryAfter is the time in milliseconds after which an entry may repeat a lease request that this agent may not
// answer with a lease, because it does not own the share, has no configuration that allows new work, or does not know
// the account or the share.
const noLeaseRetryAfter lovageshift.Millis = 1000

// Lease applies an entry's usage reports and then answers its requests for leases of the shares that this agent owns.
func (a *Agent) Lease(_ context.Context, request *wire.LeaseRequest) (*wire.LeaseReply, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.node.Now()
	a.node.ObserveStamp(peer.Address{ID: request.Entry}, request.Stamp, now)
	if config := a.node.Revisions.Config(); config != nil {
		a.applyConfig(config)
	}
	holder := grant.Holder{
		Entry: lovageshift.EntryID(request.Entry), Incarnation: lovageshift.Incarnation(request.Incarnation),
	}
	for _, use := range request.Uses {
		a.issuer.ApplyUsage(now, leaseUsageOf(holder, use))
	}
	reply := &wire.LeaseReply{KeeperIncarnation: int64(a.node.Incarnation), Stamp: a.node.Stamp()}
	for _, requested := range request.Asks {
		granted := a.issueLease(now, leaseRequestOf(holder, requested))
		reply.Grants = append(reply.Grants, &wire.LeaseGrant{
			Lease: requested.Lease, Tokens: int64(granted.Tokens),
			TtlMillis: int64(granted.TTL), RetryAfter: int64(granted.RetryAfter),
		})
	}
	return reply, nil
}

func leaseRequestOf(holder grant.Holder, requested *wire.LeaseAsk) grant.LeaseRequest {
	return grant.LeaseRequest{
		Holder: holder, Lease: grant.LeaseID(requested.Lease), Account: lovageshift.AccountID(requested.Account),
		Share: grant.ShareIndex(requested.Share), Tokens: lovageshift.Tokens(requested.Tokens),
	}
}

func leaseUsageOf(holder grant.Holder, use *wire.LeaseUse) grant.Usage {
	return grant.Usage{
		Holder: holder, IssuerIncarnation: lovageshift.Incarnation(use.KeeperIncarnation),
		Lease: grant.LeaseID(use.Lease), Account: lovageshift.AccountID(use.Account),
		Share: grant.ShareIndex(use.Share), Used: lovageshift.Tokens(use.Used),
		InFlight: lovageshift.Tokens(use.InFlight), Returned: lovageshift.Tokens(use.Returned),
	}
}

// issueLease answers a lease request. It grants no tokens of a share that this agent does not own, or has owned for so
// short a time that leases of an earlier owner may still be in use (see grant.Issuer.TakeoverDelay); a.mutex must be
// held.
func (a *Agent) issueLease(now lovageshift.Millis, request grant.LeaseRequest) grant.LeaseGrant {
	none := grant.LeaseGrant{Lease: request.Lease, RetryAfter: noLeaseRetryAfter}
	if a.config == nil || !a.node.AllowsNewWork() {
		return none
	}
	account := a.config.Accounts[request.Account]
	if account == nil || request.Share < 0 || int(request.Share) >= grant.ShareCount(account, &a.config.Limits) {
		return none
	}
	a.backdateOwnership()
	since, owned := a.shareOwnership.OwnedSince(func(members []lovageshift.TargetID) lovageshift.TargetID {
		return grant.IssuerOf(request.Account, request.Share, members)
	})
	if !owned {
		return none
	}
	since = max(since, a.shareCountSettledAt[request.Account])
	return a.issuer.Grant(now, since, grant.TermsOf(account, &a.config.Limits), request)
}
