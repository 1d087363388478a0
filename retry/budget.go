package retry

import (
	"lovageshift"
)

const (
	// A balance is in hundredths of a retry.
	oneRetry = 100
	// Each account and each target starts with 10 retries.
	initialBalance = 10 * oneRetry
	maxBalance     = 100 * oneRetry
	// maxBalanceCount is the highest number of stored balances of accounts, and also of targets.
	maxBalanceCount = 8192
)

// Budget limits an entry's retries for each client account and for each target to an initial balance plus a percentage
// of the requests that succeeded. Retries after a refusal for a reason for which isUncharged is true are not limited. A
// Budget is not safe for concurrent use.
type Budget struct {
	share    int                           // retries earned per hundred successes, equal to hundredths of a retry per success
	accounts map[lovageshift.AccountID]int // balances in hundredths of a retry; the initial one if none is stored
	targets  map[lovageshift.TargetID]int  // as accounts
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

// RecordSuccess credits the account and the target with share hundredths of a retry each. A balance rises to
// at most 100 retries.
func (b *Budget) RecordSuccess(account lovageshift.AccountID, target lovageshift.TargetID) {
	addToBalance(b.accounts, account, b.share)
	addToBalance(b.targets, target, b.share)
}

// Spend takes one retry from the account's balance and one from the balance of the target that refused the dispatch,
// and returns true. If either balance is below one retry, Spend takes nothing and returns false.
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

// addToBalance adds an amount, which may be negative, to a balance, which it limits to maxBalance. To bound the memory,
// it first deletes all balances of the map if maxBalanceCount are stored; each then counts as initialBalance again.
func addToBalance[K comparable](balances map[K]int, id K, amount int) {
	if len(balances) >= maxBalanceCount {
		clear(balances)
	}
	balances[id] = min(balance(balances, id)+amount, maxBalance)
}
