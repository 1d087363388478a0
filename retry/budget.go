package retry

import (
	"lovageshift"
)

const (
	// Balances are in hundredths of a retry.
	oneRetry = 100
	// Each account and each target has 10 retries before it has earned any.
	initialBalance = 10 * oneRetry
	maxBalance     = 100 * oneRetry
	maxBalances    = 8192
)

// Budget limits an entry's retries to a share of its successes, for each client account and for each target. It is not
// safe for concurrent use.
type Budget struct {
	share    int // retries earned per hundred successes
	accounts map[lovageshift.AccountID]int
	targets  map[lovageshift.TargetID]int
}

// NewBudget returns a budget that earns share retries per hundred successes, with an initial balance of 10 retries for
// each account and each target.
func NewBudget(share int) *Budget {
	return &Budget{
		share:    share,
		accounts: map[lovageshift.AccountID]int{},
		targets:  map[lovageshift.TargetID]int{},
	}
}

// SetShare changes how many retries are earned per hundred successes.
func (b *Budget) SetShare(share int) { b.share = share }

// RecordSuccess credits the account and the target with a fraction of a retry.
func (b *Budget) RecordSuccess(account lovageshift.AccountID, target lovageshift.TargetID) {
	add(b.accounts, account, b.share)
	add(b.targets, target, b.share)
}

// Spend takes one retry from the account and one from the target that refused. If either has none, it takes nothing
// and returns false.
func (b *Budget) Spend(account lovageshift.AccountID, target lovageshift.TargetID) bool {
	if balance(b.accounts, account) < oneRetry || balance(b.targets, target) < oneRetry {
		return false
	}
	add(b.accounts, account, -oneRetry)
	add(b.targets, target, -oneRetry)
	return true
}

func balance[K comparable](balances map[K]int, id K) int {
	if amount, known := balances[id]; known {
		return amount
	}
	return initialBalance
}

// add changes a balance, up to maxBalance. To bound the memory, it resets all balances when there are maxBalances.
func add[K comparable](balances map[K]int, id K, amount int) {
	if len(balances) >= maxBalances {
		clear(balances)
	}
	balances[id] = min(balance(balances, id)+amount, maxBalance)
}
