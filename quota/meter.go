package quota

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"lovageshift"
	"lovageshift/catalog"
)

// AccountHash names an account in messages between entries.
type AccountHash uint32

// HashOf returns the account's hash.
func HashOf(id lovageshift.AccountID) AccountHash { return AccountHash(xxhash.Sum64String(string(id))) }

// Tolerance is by how much the operator lets the tokens that requests declare exceed an account's rate and burst.
type Tolerance struct {
	// Overshoot is a share of rate and burst, Slack a number of tokens in Window over all entries.
	Overshoot float64
	Slack     float64
}

// The part of the tolerance that is used; the rest is for what entries charge before they hear of each other.
const localToleranceShare = 0.5

// Meter charges client accounts for the tokens that their requests use. A request is charged the most that it
// declares, and what it did not use is given back at its end; a second bucket, a little larger, bounds what is
// declared, so that giving back never lets more through than the operator tolerates.
type Meter struct {
	tolerance Tolerance

	mutex    sync.Mutex
	accounts map[lovageshift.AccountID]*accountState
	byHash   map[AccountHash]*accountState
	// fraction is the share of the accounts' rates that this entry may use while it does not hear some others.
	fraction float64
}

// accountState holds an account's tokens as this entry knows them.
type accountState struct {
	account    *catalog.Account
	refilledAt lovageshift.Millis
	used       tokenBucket
	declared   tokenBucket
	// adopted tells that the levels were taken over from another entry.
	adopted bool
}

// tokenBucket is one token bucket; taken is what this entry alone took since its start.
type tokenBucket struct {
	level float64
	taken float64
}

// Usage is what one entry has taken from an account since its start, and what it believes to be left.
type Usage struct {
	Account  AccountHash
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

// SetAccounts takes over the accounts of a new catalog; levels are kept, but never above a new burst.
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

// SetFraction bounds this entry to a share of every account's rate and burst, from 0 to 1.
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

// Cost returns what a request of the account declares.
func Cost(account *catalog.Account, counted bool, tokens lovageshift.Tokens) lovageshift.Tokens {
	switch {
	case account.ByRequest:
		return 1
	case counted:
		return tokens
	default:
		return account.PlainTokens
	}
}

// Charge takes the cost from the account's buckets. The request may go on after the wait that is returned; where that
// is longer than patience nothing is taken, and the wait tells when to come back.
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

// wait returns how long the tank has too little; a request larger than a full tank needs a full one, or it never passed.
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

// Refund gives back all of a request that did not run.
func (m *Meter) Refund(account *catalog.Account, cost lovageshift.Tokens) {
	m.credit(account, cost, cost)
}

// Settle gives back what a request declared and did not use.
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

// ApplyRemoteUsage takes in what another entry took from an account since its last report.
func (m *Meter) ApplyRemoteUsage(now lovageshift.Millis, account AccountHash, used, declared lovageshift.Tokens) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if state := m.byHash[account]; state != nil {
		m.refill(now, state)
		state.used.level -= float64(used)
		state.declared.level -= float64(declared)
	}
}

// AdoptLevels takes over another entry's levels once, for an account that this entry has only just begun to meter.
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

// Usages returns what this entry took, to tell the others.
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

// refill adds what has come in since the last time, up to the bursts.
func (m *Meter) refill(now lovageshift.Millis, state *accountState) {
	elapsed := max((now - state.refilledAt).Seconds(), 0)
	state.refilledAt = now
	income := elapsed * state.account.Rate * m.fraction
	state.used.level = min(state.used.level+income, state.account.Burst*m.fraction)
	state.declared.level = min(state.declared.level+income*m.declaredFactor(), m.declaredBurst(state))
}

func (m *Meter) declaredFactor() float64 { return 1 + m.tolerance.Overshoot*localToleranceShare }

func (m *Meter) declaredBurst(state *accountState) float64 {
	return (state.account.Burst*m.declaredFactor() + m.tolerance.Slack*localToleranceShare) * m.fraction
}
