package placement

import (
	"net/netip"
	"slices"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/fairshare"
	"lovageshift/quota"
)

// GroupID names a group: some or all of a service's targets, whose slots normally one entry assigns, the group's
// coordinator.
type GroupID string

// Job describes a request to the scheduler, which finds it a slot at a target of its service.
type Job struct {
	Service catalog.ServiceID
	// Zone is the availability zone of the request's entry; the scheduler slightly prefers targets in this zone.
	Zone lovageshift.ZoneID
	// Rank orders the queue: the smallest number is the most urgent rank and is served first.
	Rank lovageshift.Rank
	// Account is the client account, 0 for none. The requests without an account share the slots as those of one account do.
	Account quota.AccountHash
	// Weight is the account's part in the slots, relative to that of an account with the mean rate; 0 if not known, which
	// counts as 1.
	Weight float64
	// Arrived is when the request's entry had read the head of the HTTP request. For another entry's request it is
	// computed from the wait that the entry reports.
	Arrived lovageshift.Millis
	// Objective is the time from Arrived to the first event, or to a whole answer, that the request should meet.
	Objective lovageshift.Millis
	// QueueDeadline is the end of the request's wait for a slot. The request is refused earlier if it is expected to
	// get no slot by then.
	QueueDeadline lovageshift.Millis
	PromptTokens  lovageshift.Tokens
	OutputTokens  lovageshift.Tokens
	// ExpectedOutput is the expected number of output tokens, 0 if it is not known. OutputTokens is the most that the
	// request may have, often many times as many.
	ExpectedOutput lovageshift.Tokens
	// MaxGap is the longest pause between two events with which the answer is still on time, 0 for no limit.
	MaxGap lovageshift.Millis
	// Deadline is when the answer must be complete, 0 for no deadline.
	Deadline lovageshift.Millis
	// RefusedBefore reports whether the caller repeats the request after a refusal. Such a request has missed its
	// objective already, so it comes after the others of its rank. Its entry sets QueueDeadline by another rule, as a
	// second refusal would lose it: the caller is not expected to repeat it again.
	RefusedBefore bool
	// Resumes is set if the request goes on with a stream of which the caller is known to have the first event. Such requests
	// get slots at least as often as new ones (see resumingShare).
	Resumes bool
	// HasVersion is set if only targets with the Version of their software can run the request.
	HasVersion bool
	Version    lovageshift.SoftwareVersion
	// Tried lists the targets that the scheduler must not choose: those that were assigned to the request before, and
	// those that another entry granted but that the request's entry does not know.
	Tried []TargetHash
}

// fits reports whether the target can run the request.
func (j *Job) fits(t *targetState) bool { return !j.HasVersion || t.Version == j.Version }

// hasTried reports whether the target is one of Tried.
func (j *Job) hasTried(t *targetState) bool {
	return len(j.Tried) > 0 && slices.Contains(j.Tried, HashOf(t.ID))
}

// Slot is the right to run one request at a target; the holder must return it with Scheduler.Release.
type Slot struct {
	Target *catalog.Target
	// MaxConnections is how many connections this entry may have open to the target, 0 for no bound.
	MaxConnections int
	// Running is how many requests of all entries were at the target, as far as the granting entry knew, when it chose
	// the target for this request.
	Running int
	// Waited is the time from the request's arrival to the call of Submit, without the wait in this entry's queue, or
	// to the call of AcquireGranted if another entry granted the slot.
	Waited lovageshift.Millis
	// OnRelease, if not nil, is called when the slot is released. If another entry granted the slot, it notifies that
	// entry.
	OnRelease    func(Result)
	promptTokens lovageshift.Tokens
	grantedAt    lovageshift.Millis // when this entry assigned the slot, 0 if another one granted it
	state        *targetState
	granter      netip.Addr // the other entry that granted the slot, invalid if this entry assigned it itself
}

// Decision is the answer to a submitted job: either Slot or Refusal is set.
type Decision struct {
	Slot    *Slot
	Refusal *Refusal
	// Groups is how many groups were asked for the slot.
	Groups int
}

// Waiter is a job in the queue of a group.
type Waiter struct {
	job   *Job
	group GroupID
	// own reports whether the job is one of this entry.
	own bool
	// number is the waiter's position in the order of submission to this scheduler.
	number uint64
	// submittedAt is when the job was submitted to this scheduler.
	submittedAt lovageshift.Millis
	// done reports whether the waiter has left the queue, with or without a slot.
	done bool
	// promoted reports whether the waiter goes before all that are not promoted, whatever their rank. queue.promote
	// sets it and deducts the request's work from the credit of its rank (see queue.credit), or queue.promoteResuming does.
	promoted bool
	// credited is the work that queue.promote deducted, 0 if it did not promote the waiter.
	credited float64
	// owner and weight are the account and the weight of the job, 0 and that of all others without Policy.FairShares.
	owner  quota.AccountHash
	weight float64
	// share divides the slots of the waiter's rank, account is the count of its account there, and charge what a slot for it
	// adds to that count.
	share   *sharing
	account *fairshare.Account
	charge  float64
	// servedBefore is what the account will have been served before this waiter, 0 if its rank had none of another
	// account lately. It is set by queue.arrange.
	servedBefore float64
	// role is what this entry was to the group at the submission. A coordinator or backup knows the requests at the group's
	// targets, and so may assign those that are cold (see the package comment) or have a limit.
	role Role
	// wellEnough is what the target has to fulfil. In place of a refusal, the request also gets one that is only expected to
	// complete it by its deadline.
	wellEnough prediction
	// onDecision is called once with the time and either the chosen target or the refusal, unless the waiter is canceled
	// first. It must not call the scheduler.
	onDecision func(lovageshift.Millis, *targetState, *Refusal)
}

// Result is how a request ended that had a slot at a target.
type Result struct {
	// FirstEvent is the time from sending the request to the first event, or to a whole answer; 0 if there was none or
	// it is not known.
	FirstEvent lovageshift.Millis
	// TokenMicros is the mean time between two output tokens of a stream, in microseconds, 0 if it is not known.
	TokenMicros int64
	Outcome     Outcome
}

// Outcome says how a request with a slot ended, as far as the scheduler rates the target by it.
type Outcome int

// The outcomes that the scheduler distinguishes; entries exchange them as numbers, so the order is fixed.
const (
	// Abandoned requests ended for a reason that says nothing about the target: the caller gave up, or the slot was not
	// used.
	Abandoned Outcome = iota
	// Served requests got a whole answer.
	Served
	// Refused requests were rejected by the target without being run, as it is full or stopping. (A Refusal is the
	// scheduler's own.)
	Refused
	// Unreachable requests could not be sent, as no connection to the target was established.
	Unreachable
	// Failed requests got an error, a corrupted answer or no complete answer in time.
	Failed
	// ConnectionLost requests were sent, but the connection to the target was lost before the complete answer.
	ConnectionLost
)
