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
	reportTick   = 50 * time.Millisecond
	leaseTimeout = 500 * time.Millisecond
	// A lease takes at most this part of a share's burst beyond the need.
	leasePart = 4
)

// charge takes a request's greatest possible tokens from its account, or returns the refusal.
func (e *Entry) charge(ctx context.Context, account *lovageshift.Account, tokens lovageshift.Tokens) (*grant.Charge, *lovageshift.Refusal) {
	now := e.node.Now()
	e.walletMutex.Lock()
	e.wallet.RecordDemand(now, account.ID, tokens)
	charge := e.wallet.Take(now, account.ID, tokens)
	e.walletMutex.Unlock()
	if charge != nil {
		return charge, nil
	}
	if tokens > account.Burst {
		return nil, lovageshift.NotRun(lovageshift.ReasonRateExceeded, "the request may use more tokens than the account's burst")
	}
	// Requests of one account ask one after the other, so that they share what a lease brings.
	turn := e.charging[xxhash.Sum64String(string(account.ID))%chargeStripes]
	select {
	case turn <- struct{}{}:
		defer func() { <-turn }()
	case <-ctx.Done():
		return nil, lovageshift.NotRun(lovageshift.ReasonWithdrawnByCaller, "the caller left")
	}
	return e.ask(ctx, account, tokens)
}

// ask goes round the account's keepers until their leases suffice.
func (e *Entry) ask(ctx context.Context, account *lovageshift.Account, tokens lovageshift.Tokens) (*grant.Charge, *lovageshift.Refusal) {
	config := e.node.Revisions.Config()
	shares := grant.ShareCount(account, &config.Limits)
	most := lovageshift.Tokens(grant.TermsOf(account, &config.Limits).Burst / leasePart)
	keepers := membership.AllTargets(config)
	first := int(membership.Score(string(e.options.ID), string(account.ID)) % uint64(shares))
	var retryAfter lovageshift.Millis
	unreachable := false
	for i := range shares {
		if charge := e.take(account.ID, tokens); charge != nil {
			return charge, nil
		}
		share := grant.Share((first + i) % shares)
		keeper := config.Targets[grant.IssuerOf(account.ID, share, keepers)]
		wait, err := e.askKeeper(ctx, keeper, account.ID, share, tokens, most)
		unreachable = unreachable || err != nil
		if wait > 0 && (retryAfter == 0 || wait < retryAfter) {
			retryAfter = wait
		}
	}
	if charge := e.take(account.ID, tokens); charge != nil {
		return charge, nil
	}
	e.walletMutex.Lock()
	e.wallet.ReturnUnspent(e.node.Now(), account.ID)
	e.walletMutex.Unlock()
	if unreachable {
		return nil, lovageshift.NotRun(lovageshift.ReasonIssuerUnreachable, "part of the account's grant cannot be reached").WithRetryAfter(max(retryAfter, 1000))
	}
	return nil, lovageshift.NotRun(lovageshift.ReasonRateExceeded, "the account is above its rate and burst").WithRetryAfter(max(retryAfter, 100))
}

func (e *Entry) take(account lovageshift.AccountID, tokens lovageshift.Tokens) *grant.Charge {
	e.walletMutex.Lock()
	defer e.walletMutex.Unlock()
	return e.wallet.Take(e.node.Now(), account, tokens)
}

// askKeeper leases from one keeper and returns when more may be there.
func (e *Entry) askKeeper(ctx context.Context, keeper *lovageshift.Target, account lovageshift.AccountID, share grant.Share, tokens, most lovageshift.Tokens) (lovageshift.Millis, error) {
	e.walletMutex.Lock()
	sentAt := e.node.Now()
	missing := e.wallet.Shortfall(sentAt, account, tokens)
	ask := e.wallet.NextRequest(account, share, missing, most)
	e.walletMutex.Unlock()
	reply, err := e.lease(ctx, keeper, &wire.LeaseRequest{Asks: []*wire.LeaseAsk{{
		Account: string(account), Share: int32(share), Tokens: int64(ask.Tokens), Lease: uint64(ask.Lease),
	}}})
	if err != nil {
		return 0, err
	}
	var wait lovageshift.Millis
	e.walletMutex.Lock()
	defer e.walletMutex.Unlock()
	for _, granted := range reply.Grants {
		wait = lovageshift.Millis(granted.RetryAfter)
		e.wallet.Add(sentAt, keeper.ID, ask, grant.Grant{
			IssuerIncarnation: lovageshift.Incarnation(reply.KeeperIncarnation),
			Lease:             grant.LeaseID(granted.Lease), Tokens: lovageshift.Tokens(granted.Tokens),
			TTL: lovageshift.Millis(granted.TtlMillis),
		})
	}
	return wait, nil
}

// lease calls a keeper.
func (e *Entry) lease(ctx context.Context, keeper *lovageshift.Target, request *wire.LeaseRequest) (*wire.LeaseReply, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	askedAt := e.node.Now()
	request.Entry, request.Incarnation, request.Stamp = string(e.options.ID), int64(e.node.Incarnation), e.node.Stamp()
	reply, err := link.Call(ctx, e.node.Pool, keeper.Agent, func(ctx context.Context, conn *drpcconn.Conn) (*wire.LeaseReply, error) {
		return wire.NewDRPCAgentClient(conn).Lease(ctx, request)
	})
	if err == nil {
		e.node.ObserveStamp(peer.Address{ID: string(keeper.ID), Address: keeper.Agent}, reply.Stamp, askedAt)
	}
	return reply, err
}

// settle ends a charge with what the request used.
func (e *Entry) settle(charge *grant.Charge, used lovageshift.Tokens) {
	if charge == nil {
		return
	}
	e.walletMutex.Lock()
	defer e.walletMutex.Unlock()
	e.wallet.Settle(e.node.Now(), charge, used)
}

// live reports whether a charge may still be dispatched.
func (e *Entry) live(charge *grant.Charge) bool {
	if charge == nil {
		return true
	}
	e.walletMutex.Lock()
	defer e.walletMutex.Unlock()
	return charge.Live(e.node.Now())
}

// reportLeases tells the keepers what became of their leases.
func (e *Entry) reportLeases(ctx context.Context) error {
	lovageshift.Every(ctx, reportTick, func() {
		e.walletMutex.Lock()
		reports := e.wallet.DueReports(e.node.Now())
		e.walletMutex.Unlock()
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

func (e *Entry) sendReport(ctx context.Context, report grant.Report) {
	config := e.node.Revisions.Config()
	keeper := config.Targets[report.Issuer]
	if keeper == nil {
		return
	}
	request := &wire.LeaseRequest{}
	for _, use := range report.Usages {
		request.Uses = append(request.Uses, &wire.LeaseUse{
			Account: string(use.Account), Share: int32(use.Share), Lease: uint64(use.Lease),
			Used: int64(use.Used), InFlight: int64(use.InFlight), Returned: int64(use.Returned),
			KeeperIncarnation: int64(use.IssuerIncarnation),
		})
	}
	sentAt := e.node.Now()
	_, err := e.lease(ctx, keeper, request)
	e.walletMutex.Lock()
	defer e.walletMutex.Unlock()
	if err != nil {
		e.wallet.ReportFailed(e.node.Now(), report)
		return
	}
	e.wallet.ReportDelivered(sentAt, report)
}
