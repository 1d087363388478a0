package exchange

import (
	"maps"

	"lovageshift"
	"lovageshift/wire"
)

// How many rounds, in each of which every member gets one state update, pass from one complete list of accounts to the
// next. It makes up for lost updates whose changes were not repeated.
const roundsPerCompleteList = 16

const (
	// An incarnation counts as new if it has run for less than this and the time after which a silent entry no longer reports.
	newIncarnationMillis lovageshift.Millis = 3000
	// What an entry used in a silence longer than this is known to others only as a sum over all of it.
	longSilenceMillis lovageshift.Millis = 4000
)

// AccountUsage is the use of client accounts that the state updates of one incarnation of an entry have reported.
type AccountUsage struct {
	ByHash map[uint32]*wire.AccountUse // by account hash
	// Complete is set once an update has listed all accounts. An account that is missing then was not used before, unless the
	// sender has used it since without a report.
	Complete bool
	// New is set if the incarnation has just started, so that all that it has used was used lately.
	New bool
	// AfterSilence is set if the reports ended longer than longSilenceMillis before the next one.
	AfterSilence bool
}

// Of returns the use of an account, nil if the entry has not used it. The second result is false if the reports do not tell
// whether it has.
func (u *AccountUsage) Of(account uint32) (*wire.AccountUse, bool) {
	use, found := u.ByHash[account]
	return use, found || u.Complete
}

// Basis returns the use of an account that the next report is to be compared with, nil for none. The second result is false if the
// reports do not tell what the entry had used: its whole past counts only if that is short, as it or the account is new.
func (u *AccountUsage) Basis(account uint32, accountIsNew bool) (*wire.AccountUse, bool) {
	if u == nil {
		return nil, false
	}
	use, known := u.Of(account)
	return use, known && (use != nil || u.New || accountIsNew)
}

// before returns the use to compare the next report with, which comes after a silence: none if the sender may have been
// forgotten meanwhile, here or at other entries. What it used in the silence came from the share that was left to it.
func (u *AccountUsage) before(silence lovageshift.Millis) *AccountUsage {
	if u == nil || silence > forgetMillis {
		return nil
	}
	if silence > longSilenceMillis {
		copied := *u
		copied.AfterSilence = true
		return &copied
	}
	return u
}

// merge returns the usage after one more state update.
func (u *AccountUsage) merge(update *wire.EntryNews) *AccountUsage {
	merged := &AccountUsage{Complete: !update.ChangedAccountsOnly}
	if u != nil && update.ChangedAccountsOnly {
		merged.ByHash, merged.Complete = maps.Clone(u.ByHash), u.Complete
	}
	if merged.ByHash == nil {
		merged.ByHash = make(map[uint32]*wire.AccountUse, len(update.Accounts))
	}
	for _, use := range update.Accounts {
		merged.ByHash[use.Account] = use
	}
	return merged
}

// changeTracker selects from this entry's successive reports what each state update has to repeat, as every update goes
// to some of the members only.
type changeTracker struct {
	tick uint64
	// refused holds the refused requests of the last reports, by their ticks.
	refused []refusedBatch
	// used holds this entry's use of each account and the tick at which it last changed.
	used map[uint32]usedAccount
}

// refusedBatch is the refused requests of the report of one tick.
type refusedBatch struct {
	tick         uint64
	fingerprints []uint32
}

// usedAccount is this entry's use of an account as last reported.
type usedAccount struct {
	used, declared int64
	changedAt      uint64 // tick
}

// add takes over the next report. The parameter roundTicks is the number of ticks in which every member gets one update.
func (c *changeTracker) add(update *wire.EntryNews, roundTicks int) {
	c.tick++
	c.refused = append(c.refused, refusedBatch{c.tick, update.Refused})
	for c.refused[0].tick+uint64(roundTicks) <= c.tick {
		c.refused = c.refused[1:]
	}
	used := make(map[uint32]usedAccount, len(update.Accounts))
	for _, use := range update.Accounts {
		last, found := c.used[use.Account]
		if !found || last.used != use.Used || last.declared != use.Declared {
			last = usedAccount{use.Used, use.Declared, c.tick}
		}
		used[use.Account] = last
	}
	c.used = used
}

// allRefused returns the refused requests of one round, so that every member gets each of them once.
func (c *changeTracker) allRefused() []uint32 {
	var all []uint32
	for _, batch := range c.refused {
		all = append(all, batch.fingerprints...)
	}
	return all
}

// changed returns those of the accounts whose use changed within the last two rounds. Every member gets a change twice, as
// one update may be lost.
func (c *changeTracker) changed(accounts []*wire.AccountUse, roundTicks int) []*wire.AccountUse {
	var changed []*wire.AccountUse
	for _, use := range accounts {
		if c.used[use.Account].changedAt+2*uint64(roundTicks) > c.tick {
			changed = append(changed, use)
		}
	}
	return changed
}
