package fairshare

import "lovageshift"

// MaxAccounts is the number of accounts above which Trim and Evict drop some.
const MaxAccounts = 4096

// Tally counts the service of each account and holds a floor, below which no account starts. An account without a count
// is taken to be at the floor. A is the type of an account's key.
type Tally[A comparable] struct {
	accounts map[A]*Account
	// active holds the accounts for which Enter has been called more often than Leave.
	active map[A]*Account
	floor  float64
}

// Account is the count of one account.
type Account struct {
	served  float64
	entered int
	// ahead is the service of the requests for which PutAhead was called since ClearAhead.
	ahead float64
	// enteredAt is when Enter was last called.
	enteredAt lovageshift.Millis
}

// NewTally returns a tally in which all accounts are at the floor, 0.
func NewTally[A comparable]() *Tally[A] {
	return &Tally[A]{accounts: map[A]*Account{}, active: map[A]*Account{}}
}

// Served returns the service that the account has got, divided by its weight.
func (a *Account) Served() float64 { return a.served }

// ClearAhead prepares an account for calls of PutAhead.
func (a *Account) ClearAhead() { a.ahead = 0 }

// PutAhead adds a waiting request, which takes the given service divided by the account's weight, behind those of the
// account for which it was called since ClearAhead. It returns what the account will have been served before it.
func (a *Account) PutAhead(service float64) float64 {
	before := a.served + a.ahead
	a.ahead += service
	return before
}

// Served returns the service that the account counts as having got, divided by its weight.
func (t *Tally[A]) Served(key A) float64 {
	if account := t.accounts[key]; account != nil {
		return account.served
	}
	return t.floor
}

// Add counts service to an account. The caller divides the service by the account's weight.
func (t *Tally[A]) Add(key A, service float64) { t.account(key).served += service }

// account returns the count of the account, a new one at the floor if there is none.
func (t *Tally[A]) account(key A) *Account {
	account := t.accounts[key]
	if account == nil {
		account = &Account{served: t.floor}
		t.accounts[key] = account
	}
	return account
}

// Enter records that the account has a further request. An account that was idle, which means that it had none, is raised
// to the floor, so that it gains no precedence by having been idle. It returns the account's count.
func (t *Tally[A]) Enter(now lovageshift.Millis, key A) *Account {
	account := t.active[key]
	if account == nil {
		account = t.account(key)
		account.served = max(account.served, t.floor)
		t.active[key] = account
	}
	account.entered++
	account.enteredAt = now
	return account
}

// Peek returns the count that Enter would return now, and changes nothing but that count's PutAhead and ClearAhead.
func (t *Tally[A]) Peek(key A) *Account {
	if account := t.active[key]; account != nil {
		return account
	}
	return &Account{served: max(t.Served(key), t.floor)}
}

// Leave records the end of a request of the account for which Enter was called.
func (t *Tally[A]) Leave(key A) {
	account := t.active[key]
	if account == nil {
		return
	}
	account.entered--
	if account.entered == 0 {
		delete(t.active, key)
	}
}

// Active reports whether the account has a request.
func (t *Tally[A]) Active(key A) bool { return t.active[key] != nil }

// Len returns the number of accounts that have a count.
func (t *Tally[A]) Len() int { return len(t.accounts) }

// Floor returns the service at which accounts start that were idle.
func (t *Tally[A]) Floor() float64 { return t.floor }

// RaiseFloor raises the floor to the given service if it is lower.
func (t *Tally[A]) RaiseFloor(served float64) { t.floor = max(t.floor, served) }

// RaiseFloorToActive raises the floor to the least service of the active accounts if there are any.
func (t *Tally[A]) RaiseFloorToActive() {
	first, least := true, 0.0
	for _, account := range t.active {
		if first || account.served < least {
			first, least = false, account.served
		}
	}
	if !first {
		t.RaiseFloor(least)
	}
}

// Trim drops the idle accounts that are not above the floor if there are more than MaxAccounts accounts. They lose nothing
// by it, as they start at the floor in any case.
func (t *Tally[A]) Trim() {
	if len(t.accounts) <= MaxAccounts {
		return
	}
	for key, account := range t.accounts {
		if account.entered == 0 && account.served <= t.floor {
			delete(t.accounts, key)
		}
	}
}

// Evict drops the idle accounts whose last request entered before the given time. If more than MaxAccounts remain, it drops
// all that are idle. Dropped accounts start at the floor again.
func (t *Tally[A]) Evict(before lovageshift.Millis) {
	t.evict(before)
	if len(t.accounts) > MaxAccounts {
		clear(t.accounts)
		for key, account := range t.active {
			t.accounts[key] = account
		}
	}
}

func (t *Tally[A]) evict(before lovageshift.Millis) {
	for key, account := range t.accounts {
		if account.entered == 0 && account.enteredAt < before {
			delete(t.accounts, key)
		}
	}
}
