package gateway

import (
	"net/netip"

	"lovageshift"
	"lovageshift/discovery"
	"lovageshift/exchange"
	"lovageshift/placement"
	"lovageshift/platform"
	"lovageshift/quota"
	"lovageshift/wire"
)

// StateUpdate returns this entry's next state update for the other entries. A refused request is reported in a single
// update and not again, even if that update is lost.
func (g *Gateway) StateUpdate(now lovageshift.Millis) *wire.EntryNews {
	update := &wire.EntryNews{Refused: g.refused.takeUnreported(), Suspects: g.suspects.report(now)}
	g.crashes.report(now, update)
	report := g.tracker.Report()
	update.StoreEra, update.StoreRevision = report.Position.Era, report.Position.Revision
	update.CatalogVersion, update.ViewAgeMillis = int64(report.Catalog), int64(report.Age)
	update.StoreAnsweredMillis, update.StoreAnsweredAgoMillis = uint64(report.Answered), uint32(report.AnsweredAgo)
	for hash, load := range g.scheduler.OwnRunning() {
		update.Targets = append(update.Targets, uint32(hash))
		update.Running = append(update.Running, uint32(load.Running))
		update.Granted = append(update.Granted, uint32(load.Granted))
		update.Granters = append(update.Granters, exchange.IPv4Number(load.Granter))
	}
	for hash, left := range g.scheduler.ColdRemaining(now) {
		update.Cold = append(update.Cold, uint32(hash))
		update.ColdMillis = append(update.ColdMillis, uint32(left))
	}
	update.LeavingTargets = leavingMessages(g.scheduler.Leaving(now))
	update.Limits = limitMessages(g.scheduler.Limits(now))
	g.streams.Report(now, update)
	for _, use := range g.meter.Usages(now) {
		update.Accounts = append(update.Accounts, &wire.AccountUse{
			Account: uint32(use.Account), Used: int64(use.Used), Declared: int64(use.Declared),
			UsedLeft: int64(use.UsedLeft), DeclaredLeft: int64(use.DeclaredLeft),
		})
	}
	return update
}

// ApplyPeerUpdate applies another entry's state update. The parameter previous is the usage of accounts in the sender's
// last update before, nil if this is the first update of the sender's incarnation. The parameter echoedAt is the time,
// by this entry's Clock.SinceBoot, at which this entry sent the last state update that the sender had received when it
// sent its own, so the sender's update was sent after echoedAt. It is 0 if that time is not known.
func (g *Gateway) ApplyPeerUpdate(now lovageshift.Millis, from netip.Addr, previous *exchange.AccountUsage, echoedAt lovageshift.Millis, update *wire.EntryNews) {
	if echoedAt > 0 {
		// The sender's view was last confirmed ViewAgeMillis before the update was sent, and so no earlier than
		// ViewAgeMillis before echoedAt.
		report := storeReport(update)
		g.tracker.Confirm(echoedAt-report.Age, report)
	}
	g.refused.merge(now, update.Refused)
	g.suspects.merge(now, update.Suspects)
	g.crashes.merge(now, update)
	g.streams.Merge(now, update)
	for _, use := range update.Accounts {
		account := quota.AccountHash(use.Account)
		g.meter.AdoptLevels(now, quota.Usage{
			Account: account, UsedLeft: lovageshift.Tokens(use.UsedLeft), DeclaredLeft: lovageshift.Tokens(use.DeclaredLeft),
		})
		if before, known := previous.Basis(use.Account, g.meter.IsNew(now, account)); known {
			g.meter.ApplyRemoteUsage(now, account, usageOf(before), usageOf(use), previous.AfterSilence)
		}
	}
	running := g.peerRunning(update)
	if update.Leaving {
		running = nil
	}
	if len(update.Cold) > 0 {
		g.scheduler.MergeCold(now, coldTargets(update))
	}
	g.mergeLeaving(now, from, update.LeavingTargets)
	if len(update.Limits) > 0 {
		g.scheduler.MergeLimits(now, limitReports(update.Limits))
	}
	g.scheduler.UpdatePeer(now, from, running)
}

func usageOf(use *wire.AccountUse) quota.Usage {
	return quota.Usage{Used: lovageshift.Tokens(use.GetUsed()), Declared: lovageshift.Tokens(use.GetDeclared())}
}

// storeReport returns what the sender of the update tells of its local copy of the store's records.
func storeReport(update *wire.EntryNews) discovery.Report {
	return discovery.Report{
		Position: lovageshift.StorePosition{Era: update.StoreEra, Revision: update.StoreRevision},
		Catalog:  lovageshift.Revision(update.CatalogVersion),
		Age:      lovageshift.Millis(update.ViewAgeMillis),

		Answered: lovageshift.Millis(update.StoreAnsweredMillis), AnsweredAgo: lovageshift.Millis(update.StoreAnsweredAgoMillis),
	}
}

// peerRunning returns the requests that the sender of the update has at each target.
func (g *Gateway) peerRunning(update *wire.EntryNews) map[placement.TargetHash]placement.PeerRunning {
	self := exchange.IPv4Number(g.self)
	running := make(map[placement.TargetHash]placement.PeerRunning, len(update.Targets))
	for i, hash := range update.Targets {
		if i >= len(update.Running) {
			break
		}
		peer := placement.PeerRunning{Running: int(update.Running[i]), GrantedHere: placement.UnknownGrants}
		if i < len(update.Granted) && i < len(update.Granters) {
			peer.GrantedHere = 0
			if update.Granters[i] == self {
				peer.GrantedHere = int(update.Granted[i])
			}
		}
		running[placement.TargetHash(hash)] = peer
	}
	return running
}

// coldTargets returns for how many more milliseconds each target that is cold by the update stays cold; for cold
// targets see catalog.Target.ColdUntil and placement.ColdBounds.
func coldTargets(update *wire.EntryNews) map[placement.TargetHash]lovageshift.Millis {
	cold := make(map[placement.TargetHash]lovageshift.Millis, len(update.Cold))
	for i, hash := range update.Cold {
		if i < len(update.ColdMillis) {
			cold[placement.TargetHash(hash)] = lovageshift.Millis(update.ColdMillis[i])
		}
	}
	return cold
}

// SetMemberCounts applies the numbers of known and live entries, as defined by exchange.MemberCounts. It may be called
// without a change of the numbers.
func (g *Gateway) SetMemberCounts(now lovageshift.Millis, counts exchange.MemberCounts) {
	g.liveEntries.Store(int64(counts.Live))
	if previous := g.knownEntries.Swap(int64(counts.Known)); previous != int64(counts.Known) {
		g.log.Info("entriesCounted", "known", counts.Known, "heard", counts.Live, "before", previous)
	}
	g.roundIntervals.Store(int64(counts.RoundIntervals))
	g.crashes.setRound(counts.Round())
	g.scheduler.SetEntries(counts.Known, counts.Live, counts.ReportTimeout)
	g.retryBudget.SetEntries(counts.Known)
	g.meter.SetFraction(now, float64(counts.Reporting)/float64(counts.Known))
}

// HandlePacket handles changes of the store's records that another entry read, levels that a collector sent, messages about
// streams of other entries and of recorders, another entry's reservation request, or its reply to one.
func (g *Gateway) HandlePacket(now lovageshift.Millis, from netip.Addr, packet *wire.EntryPacket) {
	switch body := packet.Body.(type) {
	case *wire.EntryPacket_Changes:
		g.tracker.Receive(storeChanges(body.Changes))
	case *wire.EntryPacket_Levels:
		g.applyLevels(now, from, body.Levels)
	default:
		if !g.streams.HandlePacket(now, from, packet) {
			g.reservations.HandlePacket(now, from, packet)
		}
	}
}

func storeChanges(message *wire.StoreChanges) discovery.Changes {
	changes := discovery.Changes{
		Era: message.Era, From: message.FromRevision, To: message.ToRevision, ReadStore: message.ReadStore,
		StoreBack: lovageshift.Millis(message.StoreBackMillis),
	}
	for _, record := range message.Records {
		changes.Items = append(changes.Items, platform.Item{Key: record.Key, Value: record.Value, Deleted: record.Deleted})
	}
	return changes
}

func storeChangesMessage(changes discovery.Changes) *wire.StoreChanges {
	message := &wire.StoreChanges{
		Era: changes.Era, FromRevision: changes.From, ToRevision: changes.To, ReadStore: changes.ReadStore,
		StoreBackMillis: int64(changes.StoreBack),
	}
	for _, item := range changes.Items {
		message.Records = append(message.Records, &wire.StoreRecord{Key: item.Key, Value: item.Value, Deleted: item.Deleted})
	}
	return message
}
