package grant

import (
	"strconv"

	"lovageshift"
	"lovageshift/membership"
)

// ShareIndex is the number, from 0, of a share of a client account's bucket.
type ShareIndex int

// Terms are the rate, in tokens per second, and the burst, in tokens, of one share.
type Terms struct {
	Rate  float64
	Burst float64
}

// ShareCount returns the number of shares that the account's bucket is divided into: as many as keep each at shareTokens
// or more, but at least 1 and at most maxShares.
func ShareCount(account *lovageshift.Account, limits *lovageshift.Limits) int {
	count := int(account.Burst / limits.ShareTokens)
	return max(min(count, limits.MaxShares), 1)
}

// TermsOf returns the terms of each of the account's shares.
func TermsOf(account *lovageshift.Account, limits *lovageshift.Limits) Terms {
	count := float64(ShareCount(account, limits))
	return Terms{Rate: float64(account.Rate) / count, Burst: float64(account.Burst) / count}
}

// IssuerOf returns which of the configured targets has the agent that issues leases of the share.
func IssuerOf(account lovageshift.AccountID, share ShareIndex, targets []lovageshift.TargetID) lovageshift.TargetID {
	return membership.Owner("share/"+string(account)+"/"+strconv.Itoa(int(share)), targets)
}
