package retry

import (
	"lovageshift"
)

const (
	// Every holder may retry this often before it has earned any retry.
	startingRetries = 10
	maxRetries      = 100
	maxHolders      = 8192
	percent         = 100
)

// Budget lets retries grow only as a share of successes.
type Budget struct {
	share    int // retries earned per hundred successes
	accounts map[lovageshift.AccountID]float64
	targets  map[lovageshift.TargetID]float64
}

// NewBudget returns a budget that earns share retries per hundred successes.
func NewBudget(share int) *Budget {
	return &Budget{
		share:    share,
		accounts: map[lovageshift.AccountID]float64{},
		targets:  map[lovageshift.TargetID]float64{},
	}
}

// SetShare changes how many retries a hundred successes earn.
func (b *Budget) SetShare(share int) { b.share = share }

// Succeeded earns a part of a retry for the account and the target.
func (b *Budget) Succeeded(account lovageshift.AccountID, target lovageshift.TargetID) {
	earned := float64(b.share) / percent
	deposit(b.accounts, account, earned)
	deposit(b.targets, target, earned)
}

// Spend takes one retry of the account's away from the target that refused, and reports whether both had one.
func (b *Budget) Spend(account lovageshift.AccountID, target lovageshift.TargetID) bool {
	if balance(b.accounts, account) < 1 || balance(b.targets, target) < 1 {
		return false
	}
	deposit(b.accounts, account, -1)
	deposit(b.targets, target, -1)
	return true
}

func balance[K comparable](balances map[K]float64, holder K) float64 {
	if amount, known := balances[holder]; known {
		return amount
	}
	return startingRetries
}

func deposit[K comparable](balances map[K]float64, holder K, amount float64) {
	if len(balances) >= maxHolders {
		clear(balances)
	}
	balances[holder] = min(balance(balances, holder)+amount, maxRetries)
}
