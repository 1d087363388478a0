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
const toleranceShare = 0.5

// Meter charges client accounts for the tokens that their requests use. A request is charged the most that it
// declares, and what it did not use is given back at its end; a second bucket, a little larger, bounds what is
// declared, so that giving back never lets more through than the operator tolerates.
type Meter struct {
	tolerance Tolerance

	mutex   sync.Mutex
	buckets map[lovageshift.AccountID]*bucket
	byHash  map[AccountHash]*bucket
	// part is the share of the accounts' rates that this entry may use while it does not hear some others.
	part float64
}

// bucket holds an account's tokens as this entry knows them.
type bucket struct {
	account  *catalog.Account
	at       lovageshift.Millis
	used     tank
	declared tank
	// adopted tells that the levels were taken over from another entry.
	adopted bool
}

// tank is one token bucket; taken is what this entry alone took since its start.
type tank struct {
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
		buckets:   map[lovageshift.AccountID]*bucket{},
		byHash:    map[AccountHash]*bucket{},
		part:      1,
	}
}

// SetAccounts takes over the accounts of a new catalog; levels are kept, but never above a new burst.
func (m *Meter) SetAccounts(now lovageshift.Millis, accounts map[lovageshift.AccountID]*catalog.Account) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for id, account := range accounts {
		known := m.buckets[id]
		if known == nil {
			known = &bucket{account: account, at: now}
			m.buckets[id] = known
			m.byHash[HashOf(id)] = known
		}
		m.refill(now, known)
		known.account = account
		m.refill(now, known)
	}
	for id := range m.buckets {
		if accounts[id] == nil {
			delete(m.buckets, id)
			delete(m.byHash, HashOf(id))
		}
	}
}

// SetFraction bounds this entry to a share of every account's rate and burst, from 0 to 1.
func (m *Meter) SetFraction(now lovageshift.Millis, part float64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if part == m.part {
		return
	}
	for _, known := range m.buckets {
		m.refill(now, known)
	}
	m.part = part
}

// Cost returns what a request of the account declares.
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

// Charge takes the cost from the account's buckets. The request may go on after the wait that is returned; where that
// is longer than patience nothing is taken, and the wait tells when to come back.
func (m *Meter) Charge(now lovageshift.Millis, account *catalog.Account, cost lovageshift.Tokens, patience lovageshift.Millis) (lovageshift.Millis, bool) {
	if account.Rate <= 0 {
		return 0, true
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known := m.buckets[account.ID]
	if known == nil {
		return 0, false
	}
	m.refill(now, known)
	rate, burst := known.account.Rate*m.part, known.account.Burst*m.part
	wait := known.used.wait(float64(cost), rate, burst)
	wait = max(wait, known.declared.wait(float64(cost), rate*m.stretch(), m.declaredBurst(known)))
	if wait > patience {
		return wait, false
	}
	known.used.take(float64(cost))
	known.declared.take(float64(cost))
	return wait, true
}

// wait returns how long the tank has too little; a request larger than a full tank needs a full one, or it never passed.
func (t *tank) wait(cost, rate, burst float64) lovageshift.Millis {
	missing := min(cost, burst) - t.level
	if missing <= 0 {
		return 0
	}
	return lovageshift.Millis(missing/rate*1000) + 1
}

func (t *tank) take(cost float64) {
	t.level -= cost
	t.taken += cost
}

// Refund gives back all of a request that did not run.
func (m *Meter) Refund(account *catalog.Account, cost lovageshift.Tokens) {
	m.giveBack(account, cost, cost)
}

// Settle gives back what a request declared and did not use.
func (m *Meter) Settle(account *catalog.Account, unused lovageshift.Tokens) {
	m.giveBack(account, unused, 0)
}

func (m *Meter) giveBack(account *catalog.Account, used, declared lovageshift.Tokens) {
	if account.Rate <= 0 {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if known := m.buckets[account.ID]; known != nil {
		known.used.take(-float64(used))
		known.declared.take(-float64(declared))
	}
}

// ApplyRemoteUsage takes in what another entry took from an account since its last report.
func (m *Meter) ApplyRemoteUsage(now lovageshift.Millis, account AccountHash, used, declared lovageshift.Tokens) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if known := m.byHash[account]; known != nil {
		m.refill(now, known)
		known.used.level -= float64(used)
		known.declared.level -= float64(declared)
	}
}

// AdoptLevels takes over another entry's levels once, for an account that this entry has only just begun to meter.
func (m *Meter) AdoptLevels(now lovageshift.Millis, other Usage) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known := m.byHash[other.Account]
	if known == nil || known.adopted {
		return
	}
	known.adopted = true
	m.refill(now, known)
	known.used.level = float64(other.UsedLeft) - known.used.taken
	known.declared.level = float64(other.DeclaredLeft) - known.declared.taken
	m.refill(now, known)
}

// Usages returns what this entry took, to tell the others.
func (m *Meter) Usages(now lovageshift.Millis) []Usage {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	uses := make([]Usage, 0, len(m.buckets))
	for hash, known := range m.byHash {
		m.refill(now, known)
		uses = append(uses, Usage{
			Account:      hash,
			Used:         lovageshift.Tokens(known.used.taken),
			Declared:     lovageshift.Tokens(known.declared.taken),
			UsedLeft:     lovageshift.Tokens(known.used.level),
			DeclaredLeft: lovageshift.Tokens(known.declared.level),
		})
	}
	return uses
}

// refill adds what has come in since the last time, up to the bursts.
func (m *Meter) refill(now lovageshift.Millis, known *bucket) {
	elapsed := max((now - known.at).Seconds(), 0)
	known.at = now
	income := elapsed * known.account.Rate * m.part
	known.used.level = min(known.used.level+income, known.account.Burst*m.part)
	known.declared.level = min(known.declared.level+income*m.stretch(), m.declaredBurst(known))
}

func (m *Meter) stretch() float64 { return 1 + m.tolerance.Overshoot*toleranceShare }

func (m *Meter) declaredBurst(known *bucket) float64 {
	return (known.account.Burst*m.stretch() + m.tolerance.Slack*toleranceShare) * m.part
}
