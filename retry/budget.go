package retry

import (
	"lovageshift"
)

const (
	// Balances are in hundredths of a retry.
	oneRetry = 100
	// Every holder may retry this often before it has earned any retry.
	startingRetries = 10 * oneRetry
	maxRetries      = 100 * oneRetry
	maxHolders      = 8192
)

// Budget lets retries grow only as a share of successes.
type Budget struct {
	share    int // retries earned per hundred successes
	accounts map[lovageshift.AccountID]int
	targets  map[lovageshift.TargetID]int
}

// NewBudget returns a budget that earns share retries per hundred successes.
func NewBudget(share int) *Budget {
	return &Budget{
		share:    share,
		accounts: map[lovageshift.AccountID]int{},
		targets:  map[lovageshift.TargetID]int{},
	}
}

// SetShare changes how many retries a hundred successes earn.
func (b *Budget) SetShare(share int) { b.share = share }

// RecordSuccess earns a part of a retry for the account and the target.
func (b *Budget) RecordSuccess(account lovageshift.AccountID, target lovageshift.TargetID) {
	deposit(b.accounts, account, b.share)
	deposit(b.targets, target, b.share)
}

// Spend takes one retry of the account's away from the target that refused, and reports whether both had one.
func (b *Budget) Spend(account lovageshift.AccountID, target lovageshift.TargetID) bool {
	if balance(b.accounts, account) < oneRetry || balance(b.targets, target) < oneRetry {
		return false
	}
	deposit(b.accounts, account, -oneRetry)
	deposit(b.targets, target, -oneRetry)
	return true
}

func balance[K comparable](balances map[K]int, holder K) int {
	if amount, known := balances[holder]; known {
		return amount
	}
	return startingRetries
}

func deposit[K comparable](balances map[K]int, holder K, amount int) {
	if len(balances) >= maxHolders {
		clear(balances)
	}
	balances[holder] = min(balance(balances, holder)+amount, maxRetries)
}
