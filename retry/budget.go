package retry

import (
	"lovageshift"
)

const (
	// A balance is in hundredths of a retry.
	oneRetry = 100
	// Each account and each target has 10 retries before it has earned any.
	initialBalance = 10 * oneRetry
	maxBalance     = 100 * oneRetry
	// maxBalanceCount bounds the stored balances, separately for accounts and for targets.
	maxBalanceCount = 8192
)

// Budget limits an entry's retries for each client account and for each target: to an initial balance and a share of
// the successes. Retries after the reasons of isUncharged are not limited. It is not safe for concurrent use.
type Budget struct {
	share    int                           // retries earned per hundred successes
	accounts map[lovageshift.AccountID]int // balances
	targets  map[lovageshift.TargetID]int  // balances
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

// SetShare changes how many retries are earned per hundred later successes.
func (b *Budget) SetShare(share int) { b.share = share }

// RecordSuccess credits the account and the target with share hundredths of a retry each, up to 100 retries.
func (b *Budget) RecordSuccess(account lovageshift.AccountID, target lovageshift.TargetID) {
	addToBalance(b.accounts, account, b.share)
	addToBalance(b.targets, target, b.share)
}

// Spend takes one retry from the account's balance and one from that of the target that refused the dispatch. If either
// holds less than one retry, it takes nothing and returns false.
func (b *Budget) Spend(account lovageshift.AccountID, target lovageshift.TargetID) bool {
	if balance(b.accounts, account) < oneRetry || balance(b.targets, target) < oneRetry {
		return false
	}
	addToBalance(b.accounts, account, -oneRetry)
	addToBalance(b.targets, target, -oneRetry)
	return true
}

func balance[K comparable](balances map[K]int, id K) int {
	if amount, known := balances[id]; known {
		return amount
	}
	return initialBalance
}

// addToBalance adds an amount, which may be negative, to a balance, up to maxBalance. To bound the memory, it first
// resets all balances to the initial one if maxBalanceCount are stored.
func addToBalance[K comparable](balances map[K]int, id K, amount int) {
	if len(balances) >= maxBalanceCount {
		clear(balances)
	}
	balances[id] = min(balance(balances, id)+amount, maxBalance)
}
