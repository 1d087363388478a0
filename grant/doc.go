// Package grant keeps each client account within its rate and burst over all
// VMs together. An account's token bucket is divided into shares. Each share has
// one issuer, the agent of a configured target. Entries lease tokens from the
// issuers and charge requests against the leases.
//
// For every share and at all times, the tokens left in the bucket plus those
// leased and not yet accounted for stay within the share's burst. So the tokens
// spent in any window are at most burst + rate x window.
package grant
