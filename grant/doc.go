// Package grant keeps each client account within its rate and burst over all
// VMs together, where entries dispatch requests through agents. (Package quota
// does so where entries send them directly to targets.) An account's token bucket
// is divided into shares. Each share has one issuer, the agent of a configured
// target. Entries lease tokens from the issuers and charge requests to the leases.
//
// Leased tokens are outstanding until the issuer releases them: when the entry
// reports them as used or returned, or at the latest when the lease has ended and
// the tokens are no longer reported as in flight. For every share, the tokens left
// to lease plus those outstanding are at most the share's burst. So the tokens used
// in any window of time are at most burst + rate x window, as long as requests reach
// their targets while their tokens are outstanding. When an account's burst is
// lowered, these two bounds hold again once enough of its leases have ended.
package grant
