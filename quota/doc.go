// Package quota keeps client accounts within their rate and burst over all
// entries together, where entries send requests directly to targets. (Package
// grant does so where they dispatch requests through agents.) Each entry holds a
// copy of every account's token buckets and subtracts from it what the other
// entries report to have taken from theirs.
//
// As a report comes later than the charges in it, an account may exceed its rate
// and burst, but only by the operator's Tolerance. That must hold also for an
// account that sends several times its rate through many entries, some of which
// are cut off from the others or have just started.
package quota
