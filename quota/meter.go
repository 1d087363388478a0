package quota

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"lovageshift"
	"lovageshift/catalog"
)

// AccountHash identifies an account in state updates between entries.
type AccountHash uint32

// HashOf returns the account's hash.
func HashOf(id lovageshift.AccountID) AccountHash { return AccountHash(xxhash.Sum64String(string(id))) }

// Tolerance is set by the operator. It bounds by how much the tokens that requests declare may exceed an account's rate and
// burst, in any window of time and over all entries together.
type Tolerance struct {
	// Overshoot is a fraction of the rate and burst: 0.25 allows a quarter more than them.
	Overshoot float64
	// Slack is a number of tokens that each window may have in addition to the overshoot.
	Slack float64
}

const (
	// Each entry's bucket for declared tokens exceeds the account's rate and burst by this part of the tolerance. The rest
	// of the tolerance is for the tokens that several entries let through before they receive each other's usage.
	localToleranceShare = 0.5
	// Levels received from a collector replace what other entries report themselves for this long.
	collectedTTL lovageshift.Millis = 400
	// Below this share of its burst, an account may soon be used up by requests that other entries have not reported.
	contendedShare = 0.9
	// All that other entries have used of an account was used lately as long as this entry has metered it for less than this.
	newAccountMillis lovageshift.Millis = 3000
)

// Meter charges client accounts for the tokens of their requests. Each account has two buckets, and the Cost of a request is
// charged to both before it starts. When it ends, the tokens that it did not use are credited to the first bucket only, which
// therefore limits the used tokens. The second bucket limits the declared tokens, that is, the sum of the costs. Its rate and
// burst are larger by a part of the tolerance. So however much is credited to the first bucket, the declared tokens exceed
// the account's rate and burst by no more than the tolerance. Meter is safe for concurrent use.
type Meter struct {
	tolerance Tolerance

	mutex    sync.Mutex
	accounts map[lovageshift.AccountID]*accountState
	byHash   map[AccountHash]*accountState
	// fraction is the part of each account's rate and burst that this entry may use, above 0 and up to 1. It is less than 1
	// while some of the other entries are not live, as this entry then doesn't know what they charge.
	fraction float64
}

// accountState is an account's buckets as this entry knows them.
type accountState struct {
	account      *catalog.Account
	meteredSince lovageshift.Millis
	refilledAt   lovageshift.Millis
	used         tokenBucket // charged with the cost of each request, credited with the tokens that it did not use
	declared     tokenBucket // charged with the cost of each request, credited with it only if the request did not run
	// collectedAt is when ApplyCollected was last called for the account, 0 if it never was.
	collectedAt lovageshift.Millis
	// adopted is true once AdoptLevels has taken over another entry's levels.
	adopted bool
}

// tokenBucket is one of an account's buckets as this entry knows it.
type tokenBucket struct {
	level float64 // tokens left, negative if more were taken than there were
	taken float64 // tokens charged minus those credited, by this entry alone, since it began to meter the account
}

// Usage is the tokens that one entry has taken from an account since that entry began to meter it, and the tokens left in
// that entry's copy of the buckets.
type Usage struct {
	Account AccountHash
	// Used and Declared are the tokens taken from the buckets for used and for declared tokens: charged minus credited.
	Used     lovageshift.Tokens
	Declared lovageshift.Tokens
	// UsedLeft and DeclaredLeft are the tokens left in these buckets, negative if more were taken than there were.
	UsedLeft     lovageshift.Tokens
	DeclaredLeft lovageshift.Tokens
}

// NewMeter returns a meter without accounts. The buckets of accounts added later start empty.
func NewMeter(tolerance Tolerance) *Meter {
	return &Meter{
		tolerance: tolerance,
		accounts:  map[lovageshift.AccountID]*accountState{},
		byHash:    map[AccountHash]*accountState{},
		fraction:  1,
	}
}

// SetAccounts replaces the accounts by those of a new catalog. The buckets of accounts that were metered before keep their
// levels, but are cut to the new burst.
func (m *Meter) SetAccounts(now lovageshift.Millis, accounts map[lovageshift.AccountID]*catalog.Account) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for id, account := range accounts {
		state := m.accounts[id]
		if state == nil {
			state = &accountState{account: account, meteredSince: now, refilledAt: now}
			m.accounts[id] = state
			m.byHash[HashOf(id)] = state
		}
		m.refill(now, state)
		state.account = account
		m.refill(now, state)
	}
	for id := range m.accounts {
		if accounts[id] == nil {
			delete(m.accounts, id)
			delete(m.byHash, HashOf(id))
		}
	}
}

// SetFraction limits this entry to a fraction, above 0 and up to 1, of every account's rate and burst.
func (m *Meter) SetFraction(now lovageshift.Millis, fraction float64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if fraction == m.fraction {
		return
	}
	for _, state := range m.accounts {
		m.refill(now, state)
	}
	m.fraction = fraction
}

// Cost returns the tokens to charge for a request: 1 if the account is charged per request; otherwise the given tokens, the
// most that the request may use, if it declares them (counted), and the account's DefaultCharge if it doesn't.
func Cost(account *catalog.Account, counted bool, tokens lovageshift.Tokens) lovageshift.Tokens {
	switch {
	case account.PerRequest:
		return 1
	case counted:
		return tokens
	default:
		return account.DefaultCharge
	}
}

// Charge takes the cost, in tokens, from both of the account's buckets. It returns how many milliseconds the request has to
// wait before it starts: the time in which both buckets refill up to the cost, or up to their burst if the cost exceeds it.
// If the wait is longer than maxWait, Charge takes nothing and returns false, and the request may be tried again after the
// wait. Charge takes nothing for an account without a rate and returns true. For an unknown account it returns false.
func (m *Meter) Charge(now lovageshift.Millis, account *catalog.Account, cost lovageshift.Tokens, maxWait lovageshift.Millis) (lovageshift.Millis, bool) {
	if account.Rate <= 0 {
		return 0, true
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := m.accounts[account.ID]
	if state == nil {
		return 0, false
	}
	m.refill(now, state)
	wait := m.waitFor(state, cost)
	if wait > maxWait {
		return wait, false
	}
	state.used.take(float64(cost))
	state.declared.take(float64(cost))
	return wait, true
}

// waitFor returns the time in which both buckets refill up to the cost, or up to their burst if the cost exceeds it.
func (m *Meter) waitFor(state *accountState, cost lovageshift.Tokens) lovageshift.Millis {
	rate, burst := state.account.Rate*m.fraction, state.account.Burst*m.fraction
	wait := state.used.wait(float64(cost), rate, burst)
	return max(wait, state.declared.wait(float64(cost), rate*m.declaredFactor(), m.declaredBurst(state)))
}

// Allowance is what a client account may use now, as this entry knows it.
type Allowance struct {
	// Limited is set if the account has a rate. The other fields are 0 otherwise.
	Limited bool `json:"limited"`
	// UsedLeft and DeclaredLeft are the tokens left in the buckets, negative if more were taken than there were.
	UsedLeft     lovageshift.Tokens `json:"usedLeft"`
	DeclaredLeft lovageshift.Tokens `json:"declaredLeft"`
	// Wait is the time until the account has the tokens for the request.
	Wait lovageshift.Millis `json:"waitMillis"`
}

// Allowance returns what the account may use, and how long a request of the cost in tokens would wait, and charges nothing.
func (m *Meter) Allowance(now lovageshift.Millis, account *catalog.Account, cost lovageshift.Tokens) Allowance {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := m.accounts[account.ID]
	if account.Rate <= 0 || state == nil {
		return Allowance{}
	}
	m.refill(now, state)
	return Allowance{
		Limited: true, UsedLeft: lovageshift.Tokens(state.used.level), DeclaredLeft: lovageshift.Tokens(state.declared.level),
		Wait: m.waitFor(state, cost),
	}
}

// wait returns how many milliseconds it takes until the bucket holds the cost. The cost and the burst are in tokens, the rate
// is in tokens per second. A request that costs more than the burst needs only a full bucket, as it could never run otherwise.
func (t *tokenBucket) wait(cost, rate, burst float64) lovageshift.Millis {
	missing := min(cost, burst) - t.level
	if missing <= 0 {
		return 0
	}
	return lovageshift.Millis(missing/rate*1000) + 1
}

func (t *tokenBucket) take(cost float64) {
	t.level -= cost
	t.taken += cost
}

// Refund credits both buckets with the whole cost of a request that did not run.
func (m *Meter) Refund(account *catalog.Account, cost lovageshift.Tokens) {
	m.credit(account, cost, cost)
}

// Settle credits the bucket for used tokens with the tokens that a request declared but did not use. They stay charged to
// the bucket for declared tokens.
func (m *Meter) Settle(account *catalog.Account, unused lovageshift.Tokens) {
	m.credit(account, unused, 0)
}

func (m *Meter) credit(account *catalog.Account, used, declared lovageshift.Tokens) {
	if account.Rate <= 0 {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if state := m.accounts[account.ID]; state != nil {
		state.used.take(-float64(used))
		state.declared.take(-float64(declared))
	}
}

// ApplyRemoteUsage subtracts the tokens that another entry has taken from the levels of the account's buckets for used and for
// declared tokens. They are those taken between two of its reports. If the sum of declared tokens has fallen by more than a burst,
// the entry has begun to meter the account anew in between, and the second sum is what it took since. After a silence the sums
// may include what the entry took from its own share long ago; they then leave no debt above a burst.
func (m *Meter) ApplyRemoteUsage(now lovageshift.Millis, account AccountHash, before, after Usage, afterSilence bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := m.byHash[account]
	if state == nil || (state.collectedAt > 0 && now-state.collectedAt < collectedTTL) {
		return
	}
	m.refill(now, state)
	used, declared := float64(after.Used-before.Used), float64(after.Declared-before.Declared)
	if declared < -state.account.Burst {
		used, declared = float64(after.Used), float64(after.Declared)
	}
	state.used.takeRemotely(used, state.account.Burst, afterSilence)
	state.declared.takeRemotely(declared, m.declaredBurst(state), afterSilence)
}

// takeRemotely subtracts tokens that another entry took. With maxDebt, they make the level no lower than minus the burst.
func (t *tokenBucket) takeRemotely(tokens, burst float64, maxDebt bool) {
	level := t.level - tokens
	if maxDebt {
		level = max(level, min(t.level, -burst))
	}
	t.level = level
}

// IsNew reports whether this entry has metered the account for less than newAccountMillis.
func (m *Meter) IsNew(now lovageshift.Millis, account AccountHash) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := m.byHash[account]
	return state != nil && now-state.meteredSince < newAccountMillis
}

// ApplyCollected replaces the levels of an account's buckets by those of a collector, an entry that gets the usage of all
// entries sooner than they get each other's. The parameter seen is this entry's own usage that the levels include; what it
// has taken since is subtracted.
func (m *Meter) ApplyCollected(now lovageshift.Millis, collected, seen Usage) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := m.byHash[collected.Account]
	if state == nil {
		return
	}
	m.refill(now, state)
	state.collectedAt, state.adopted = now, true
	state.used.level = float64(collected.UsedLeft) - (state.used.taken - float64(seen.Used))
	state.declared.level = float64(collected.DeclaredLeft) - (state.declared.taken - float64(seen.Declared))
	m.refill(now, state)
}

// Contended returns this entry's usage of the accounts whose buckets are both or one of them less than contendedShare
// full, in no order.
func (m *Meter) Contended(now lovageshift.Millis) []Usage {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var usages []Usage
	for hash, state := range m.byHash {
		m.refill(now, state)
		full := contendedShare * state.account.Burst * m.fraction
		if state.account.Rate > 0 && min(state.used.level, state.declared.level) < full {
			usages = append(usages, state.usage(hash))
		}
	}
	return usages
}

// AdoptLevels replaces the levels of an account's buckets, which are empty when this entry begins to meter the account, by
// another entry's levels minus what this entry has taken itself. Only the first call for an account has an effect; later,
// this entry's own levels are kept.
func (m *Meter) AdoptLevels(now lovageshift.Millis, other Usage) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := m.byHash[other.Account]
	if state == nil || state.adopted {
		return
	}
	state.adopted = true
	m.refill(now, state)
	state.used.level = float64(other.UsedLeft) - state.used.taken
	state.declared.level = float64(other.DeclaredLeft) - state.declared.taken
	m.refill(now, state)
}

// Usages returns this entry's usage of every account, in no order, to be sent to the other entries.
func (m *Meter) Usages(now lovageshift.Millis) []Usage {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	usages := make([]Usage, 0, len(m.accounts))
	for hash, state := range m.byHash {
		m.refill(now, state)
		usages = append(usages, state.usage(hash))
	}
	return usages
}

func (a *accountState) usage(hash AccountHash) Usage {
	return Usage{
		Account:      hash,
		Used:         lovageshift.Tokens(a.used.taken),
		Declared:     lovageshift.Tokens(a.declared.taken),
		UsedLeft:     lovageshift.Tokens(a.used.level),
		DeclaredLeft: lovageshift.Tokens(a.declared.level),
	}
}

// refill adds the tokens due since the last refill to both buckets, up to their bursts.
func (m *Meter) refill(now lovageshift.Millis, state *accountState) {
	elapsed := max((now - state.refilledAt).Seconds(), 0)
	state.refilledAt = now
	income := elapsed * state.account.Rate * m.fraction
	state.used.level = min(state.used.level+income, state.account.Burst*m.fraction)
	state.declared.level = min(state.declared.level+income*m.declaredFactor(), m.declaredBurst(state))
}

// declaredFactor returns the factor from an account's rate and burst to those of its bucket for declared tokens. A part of
// the slack is then added to the burst; see declaredBurst.
func (m *Meter) declaredFactor() float64 { return 1 + m.tolerance.Overshoot*localToleranceShare }

func (m *Meter) declaredBurst(state *accountState) float64 {
	return (state.account.Burst*m.declaredFactor() + m.tolerance.Slack*localToleranceShare) * m.fraction
}
