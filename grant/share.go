package grant

import (
	"strconv"

	"lovageshift"
	"lovageshift/membership"
)

// ShareIndex is the number of a share of one client account's bucket, from 0.
type ShareIndex int

// Terms are the rate, in tokens per second, and the burst, in tokens, of one share.
type Terms struct {
	Rate  float64
	Burst float64
}

// ShareCount returns the number of shares that the account's bucket is divided into: the largest number that gives each
// share a burst of at least limits.ShareTokens, but at least 1 and at most limits.MaxShares.
func ShareCount(account *lovageshift.Account, limits *lovageshift.Limits) int {
	count := int(account.Burst / limits.ShareTokens)
	return max(min(count, limits.MaxShares), 1)
}

// TermsOf returns the terms of each of the account's shares, which divide its rate and burst equally.
func TermsOf(account *lovageshift.Account, limits *lovageshift.Limits) Terms {
	count := float64(ShareCount(account, limits))
	return Terms{Rate: float64(account.Rate) / count, Burst: float64(account.Burst) / count}
}

// IssuerOf returns the target whose agent issues leases of the share, out of the configured targets.
func IssuerOf(account lovageshift.AccountID, share ShareIndex, targets []lovageshift.TargetID) lovageshift.TargetID {
	return membership.Owner("share/"+string(account)+"/"+strconv.Itoa(int(share)), targets)
}
