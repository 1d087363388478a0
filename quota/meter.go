package quota

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"lovageshift"
	"lovageshift/catalog"
)

// AccountHash identifies an account in messages between entries.
type AccountHash uint32

// HashOf returns the account's hash.
func HashOf(id lovageshift.AccountID) AccountHash { return AccountHash(xxhash.Sum64String(string(id))) }

// Tolerance is by how much the operator lets the tokens that requests declare exceed an account's rate and burst, in
// any window over all entries.
type Tolerance struct {
	// Overshoot is a share of the rate and burst.
	Overshoot float64
	// Slack is a number of tokens in the window.
	Slack float64
}

// The share of the tolerance that the buckets of a single entry use. The rest covers what entries charge before they
// receive each other's reports.
const localToleranceShare = 0.5

// Meter charges client accounts for the tokens that their requests use. A request is charged the maximum that it
// declares, and what it did not use is credited at its end. A second, slightly larger bucket bounds the declared tokens,
// which are not credited, so that credits never let more through than the operator tolerates.
type Meter struct {
	tolerance Tolerance

	mutex    sync.Mutex
	accounts map[lovageshift.AccountID]*accountState
	byHash   map[AccountHash]*accountState
	// fraction is the share of the accounts' rates and bursts that this entry may use: less than 1 while it receives no
	// messages from some of the others.
	fraction float64
}

// accountState is an account's buckets as this entry knows them.
type accountState struct {
	account    *catalog.Account
	refilledAt lovageshift.Millis
	used       tokenBucket
	declared   tokenBucket
	// adopted is true once the levels were copied from another entry.
	adopted bool
}

// tokenBucket holds numbers of tokens.
type tokenBucket struct {
	level float64 // negative while the account is in debt
	taken float64 // by this entry alone, since its start
}

// Usage is what one entry has taken from an account since its start, and the tokens left as that entry knows them.
type Usage struct {
	Account AccountHash
	// Used and Declared are the tokens taken from both buckets.
	Used     lovageshift.Tokens
	Declared lovageshift.Tokens
	// UsedLeft and DeclaredLeft are the levels of both buckets.
	UsedLeft     lovageshift.Tokens
	DeclaredLeft lovageshift.Tokens
}

// NewMeter returns a meter whose buckets start empty.
func NewMeter(tolerance Tolerance) *Meter {
	return &Meter{
		tolerance: tolerance,
		accounts:  map[lovageshift.AccountID]*accountState{},
		byHash:    map[AccountHash]*accountState{},
		fraction:  1,
	}
}

// SetAccounts replaces the accounts by those of a new catalog. Known accounts keep their levels, but never above a new
// burst.
func (m *Meter) SetAccounts(now lovageshift.Millis, accounts map[lovageshift.AccountID]*catalog.Account) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for id, account := range accounts {
		state := m.accounts[id]
		if state == nil {
			state = &accountState{account: account, refilledAt: now}
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

// SetFraction limits this entry to a fraction, from 0 to 1, of every account's rate and burst.
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

// Cost returns the tokens to charge for a request: 1 if the account pays by request, the tokens given if they were
// counted, and the account's PlainTokens otherwise.
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

// Charge takes the cost from the account's buckets and returns how many milliseconds the request has to wait before it
// may go on. If that is longer than maxWait it takes nothing and returns false; the wait then says when to retry.
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
	rate, burst := state.account.Rate*m.fraction, state.account.Burst*m.fraction
	wait := state.used.wait(float64(cost), rate, burst)
	wait = max(wait, state.declared.wait(float64(cost), rate*m.declaredFactor(), m.declaredBurst(state)))
	if wait > maxWait {
		return wait, false
	}
	state.used.take(float64(cost))
	state.declared.take(float64(cost))
	return wait, true
}

// wait returns how many milliseconds it takes until the bucket holds the cost. A request that costs more than the burst
// needs only a full bucket, as it could never pass otherwise.
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

// Refund credits the whole cost of a request that did not run.
func (m *Meter) Refund(account *catalog.Account, cost lovageshift.Tokens) {
	m.credit(account, cost, cost)
}

// Settle credits the tokens that a request declared and did not use. They stay charged to the declared bucket.
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

// ApplyRemoteUsage subtracts the tokens that another entry took from an account since that entry's last report.
func (m *Meter) ApplyRemoteUsage(now lovageshift.Millis, account AccountHash, used, declared lovageshift.Tokens) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if state := m.byHash[account]; state != nil {
		m.refill(now, state)
		state.used.level -= float64(used)
		state.declared.level -= float64(declared)
	}
}

// AdoptLevels copies another entry's levels, less what this entry has taken itself. It does so once for each account,
// when this entry has only just begun to meter it and its own buckets have started empty.
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

// Usages returns this entry's usage of every account, to be reported to the other entries.
func (m *Meter) Usages(now lovageshift.Millis) []Usage {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	usages := make([]Usage, 0, len(m.accounts))
	for hash, state := range m.byHash {
		m.refill(now, state)
		usages = append(usages, Usage{
			Account:      hash,
			Used:         lovageshift.Tokens(state.used.taken),
			Declared:     lovageshift.Tokens(state.declared.taken),
			UsedLeft:     lovageshift.Tokens(state.used.level),
			DeclaredLeft: lovageshift.Tokens(state.declared.level),
		})
	}
	return usages
}

// refill adds the tokens earned since the last refill, up to the bursts.
func (m *Meter) refill(now lovageshift.Millis, state *accountState) {
	elapsed := max((now - state.refilledAt).Seconds(), 0)
	state.refilledAt = now
	income := elapsed * state.account.Rate * m.fraction
	state.used.level = min(state.used.level+income, state.account.Burst*m.fraction)
	state.declared.level = min(state.declared.level+income*m.declaredFactor(), m.declaredBurst(state))
}

// declaredFactor is by how much the declared bucket's rate and burst are larger than the account's.
func (m *Meter) declaredFactor() float64 { return 1 + m.tolerance.Overshoot*localToleranceShare }

func (m *Meter) declaredBurst(state *accountState) float64 {
	return (state.account.Burst*m.declaredFactor() + m.tolerance.Slack*localToleranceShare) * m.fraction
}
