package grant

import (
	"strconv"

	"lovageshift"
	"lovageshift/membership"
)

// Share numbers the parts of a client account's bucket, from 0.
type Share int

// Terms are the rate in tokens a second and the burst in tokens of one share.
type Terms struct {
	Rate  float64
	Burst float64
}

// ShareCount returns how many parts the account's bucket is cut into: none smaller than shareTokens, at most most.
func ShareCount(account *lovageshift.Account, limits *lovageshift.Limits) int {
	count := int(account.Burst / limits.ShareTokens)
	return max(min(count, limits.MaxShares), 1)
}

// TermsOf returns the terms of each of the account's shares.
func TermsOf(account *lovageshift.Account, limits *lovageshift.Limits) Terms {
	count := float64(ShareCount(account, limits))
	return Terms{Rate: float64(account.Rate) / count, Burst: float64(account.Burst) / count}
}

// IssuerOf returns the target whose agent keeps the share, out of all configured targets.
func IssuerOf(account lovageshift.AccountID, share Share, targets []lovageshift.TargetID) lovageshift.TargetID {
	return membership.Owner("share/"+string(account)+"/"+strconv.Itoa(int(share)), targets)
}
