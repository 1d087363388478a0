// Package grant keeps each client account within its rate and burst over all
// VMs together. An account's bucket is cut into shares; each share has one
// keeper, the agent of a configured target; entries lease tokens from keepers
// and charge requests against the leases.
//
// For every share and at every moment, the tokens left in the bucket plus those
// leased and not yet accounted for stay within the share's burst. So what is
// spent in any window is at most burst + rate x window.
package grant
