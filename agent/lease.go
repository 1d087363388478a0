package agent

import (
	"context"

	"lovageshift"
	"lovageshift/grant"
	"lovageshift/peer"
	"lovageshift/wire"
)

const unkeptRetry lovageshift.Millis = 1000

// Lease answers an entry's asks for tokens of the shares kept here and takes in what became of earlier leases.
func (a *Agent) Lease(_ context.Context, request *wire.LeaseRequest) (*wire.LeaseReply, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.node.Now()
	a.node.ObserveStamp(peer.Address{ID: request.Entry}, request.Stamp, now)
	if config := a.node.Revisions.Config(); config != nil {
		a.apply(config)
	}
	asker := grant.Holder{
		Entry: lovageshift.EntryID(request.Entry), Incarnation: lovageshift.Incarnation(request.Incarnation),
	}
	for _, use := range request.Uses {
		a.keeper.ApplyUsage(now, useOf(asker, use))
	}
	reply := &wire.LeaseReply{KeeperIncarnation: int64(a.node.Incarnation), Stamp: a.node.Stamp()}
	for _, ask := range request.Asks {
		granted := a.grant(now, askOf(asker, ask))
		reply.Grants = append(reply.Grants, &wire.LeaseGrant{
			Lease: ask.Lease, Tokens: int64(granted.Tokens),
			TtlMillis: int64(granted.TTL), RetryAfter: int64(granted.RetryAfter),
		})
	}
	return reply, nil
}

func askOf(asker grant.Holder, ask *wire.LeaseAsk) grant.LeaseRequest {
	return grant.LeaseRequest{
		Holder: asker, Lease: grant.LeaseID(ask.Lease), Account: lovageshift.AccountID(ask.Account),
		Share: grant.Share(ask.Share), Tokens: lovageshift.Tokens(ask.Tokens),
	}
}

func useOf(asker grant.Holder, use *wire.LeaseUse) grant.Usage {
	return grant.Usage{
		Holder: asker, IssuerIncarnation: lovageshift.Incarnation(use.KeeperIncarnation),
		Lease: grant.LeaseID(use.Lease), Account: lovageshift.AccountID(use.Account),
		Share: grant.Share(use.Share), Used: lovageshift.Tokens(use.Used),
		InFlight: lovageshift.Tokens(use.InFlight), Returned: lovageshift.Tokens(use.Returned),
	}
}

// grant needs the lock; it gives nothing that this agent does not surely keep alone.
func (a *Agent) grant(now lovageshift.Millis, ask grant.LeaseRequest) grant.Grant {
	none := grant.Grant{Lease: ask.Lease, RetryAfter: unkeptRetry}
	if a.config == nil || !a.node.AllowsNewWork() {
		return none
	}
	account := a.config.Accounts[ask.Account]
	if account == nil || ask.Share < 0 || int(ask.Share) >= grant.ShareCount(account, &a.config.Limits) {
		return none
	}
	a.improveTenure()
	since, kept := a.keepers.OwnedSince(func(members []lovageshift.TargetID) lovageshift.TargetID {
		return grant.IssuerOf(ask.Account, ask.Share, members)
	})
	if !kept {
		return none
	}
	since = max(since, a.moved[ask.Account])
	return a.keeper.Grant(now, since, grant.TermsOf(account, &a.config.Limits), ask)
}
