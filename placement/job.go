package placement

import (
	"lovageshift"
	"lovageshift/catalog"
)

// GroupID names a group: some or all of a service's targets, whose slots one entry, the group's coordinator, assigns.
type GroupID string

// Job is a request that needs a slot at a target of its service.
type Job struct {
	Service catalog.ServiceID
	// Zone is the availability zone of the request's entry; targets of other zones cost a little more.
	Zone lovageshift.ZoneID
	// Rank orders the queue; a lower rank is served first.
	Rank lovageshift.Rank
	// Arrived is when the entry had read the request's head.
	Arrived lovageshift.Millis
	// Objective is the time to the first event, or to a whole answer, that the request should meet.
	Objective lovageshift.Millis
	// QueueDeadline is until when the request may wait for a slot. It is refused as soon as none can be expected by then.
	QueueDeadline lovageshift.Millis
	PromptTokens  lovageshift.Tokens
	OutputTokens  lovageshift.Tokens
	// RefusedBefore reports whether the caller repeats a refused request. Such a request is late already, but would be
	// lost by a second refusal.
	RefusedBefore bool
	// Tried are the targets that do not get the request, as they have had it before or this entry does not know them.
	Tried []TargetHash
}

// Slot is the right to run one request at a target; the holder must return it with Scheduler.Release.
type Slot struct {
	Target *catalog.Target
	// MaxConnections is how many connections this entry may have open to the target, 0 for no bound.
	MaxConnections int
	// Running is how many requests of all entries the target had, as far as known, when it was chosen for this one.
	Running int
	// Waited is the time from the request's arrival to Submit, or to AcquireGranted if another entry granted the slot.
	Waited lovageshift.Millis
	// OnRelease, if not nil, is called when the slot is released, to notify the entry that granted it.
	OnRelease    func(Result)
	promptTokens lovageshift.Tokens
	target       *target
}

// Refusal says why a job got no slot.
type Refusal struct {
	Reason lovageshift.Reason
	// RetryAfter is the time until a slot is probably free, spread at random.
	RetryAfter lovageshift.Millis
	// Waited is how long the request had waited.
	Waited lovageshift.Millis
	// ExpectedWait is how long the request would have had to wait after its refusal, behind Ahead others.
	ExpectedWait lovageshift.Millis
	Ahead        int
}

// Decision is the answer to a submitted job: either Slot or Refusal is set.
type Decision struct {
	Slot    *Slot
	Refusal *Refusal
}

// Waiter is a job in the queue of a group.
type Waiter struct {
	job   *Job
	group GroupID
	// number is the waiter's position in the order of submission.
	number uint64
	// done reports whether the waiter has left the queue, with or without a slot.
	done bool
	// promoted reports whether the waiter goes before all that are not promoted, whatever their rank; the credit of its
	// own rank paid for that.
	promoted bool
	// mayAssignCold reports whether this entry was the group's coordinator or the coordinator's backup at the submission,
	// and so knew the requests at the group's targets. Otherwise the waiter gets no cold target.
	mayAssignCold bool
	// onDecision receives the chosen target or the refusal. It is called once, unless the waiter is canceled first, and
	// must not call the scheduler.
	onDecision func(*target, *Refusal)
}

// Result is how a request ended at a target.
type Result struct {
	// FirstEvent is the time from sending the request to the first event, or to a whole answer; 0 if there was none.
	FirstEvent lovageshift.Millis
	Outcome    Outcome
}

// Outcome says how a target handled a request.
type Outcome int

// The outcomes that the scheduler distinguishes; entries exchange them as numbers, so the order is fixed.
const (
	// Abandoned requests were given up by the caller, which says nothing about the target.
	Abandoned Outcome = iota
	// Served requests got a whole answer.
	Served
	// Refused requests were rejected by the target, which is full or leaving.
	Refused
	// Unreachable requests found no listening target.
	Unreachable
	// Failed requests got an error, a corrupted answer or none in time.
	Failed
	// ConnectionLost requests lost their connection to the target.
	ConnectionLost
)
