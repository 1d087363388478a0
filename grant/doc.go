// Package grant keeps each client account within its rate and burst over all
// VMs together. An account's token bucket is divided into shares. Each share has
// one issuer, the agent of a configured target. Entries lease tokens from the
// issuers and charge requests to the leases.
//
// For every share, the tokens left in the bucket plus those outstanding (leased,
// and neither accounted for by a report nor released at the end of the lease) are
// at most the share's burst. So the tokens used in any window of time are at most
// burst + rate x window. When an account's burst is lowered, both hold again once
// enough of its leases have ended.
package grant
