package placement

import (
	"lovageshift"
	"lovageshift/catalog"
)

// GroupID names a group: those targets of a service whose slots one entry, the group's coordinator, assigns.
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
	// QueueDeadline is when the request is refused if it has no slot yet.
	QueueDeadline lovageshift.Millis
	PromptTokens  lovageshift.Tokens
	OutputTokens  lovageshift.Tokens
	// RefusedBefore reports whether the caller repeats a refused request. It is late already, but a second refusal
	// would lose it.
	RefusedBefore bool
	// Tried are the targets that have had the request before; they do not get it again.
	Tried []TargetHash
}

// Slot is the right to run one request at a target; the holder must return it with Scheduler.Release.
type Slot struct {
	Target *catalog.Target
	// MaxConnections is how many connections this entry may have open to the target, 0 for no bound.
	MaxConnections int
	// Running is how many requests the target had when it was chosen.
	Running int
	// Waited is the time from the request's arrival to the assignment.
	Waited lovageshift.Millis
	// OnRelease, if not nil, is called when the slot is released, to notify the entry that granted it.
	OnRelease func(Result)
	prompt    lovageshift.Tokens
	target    *target
}

// Refusal says why a job got no slot.
type Refusal struct {
	Reason lovageshift.Reason
	// RetryAfter is the time until a slot is probably free.
	RetryAfter lovageshift.Millis
	// Waited is how long the request had waited.
	Waited lovageshift.Millis
	// ExpectedWait is how long the request would have had to wait from then on, behind Ahead others.
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
	// number is the order of submission.
	number uint64
	// done reports whether the waiter has left the queue, with or without a slot.
	done bool
	// promoted reports whether the waiter goes before all ranks, on the share of work guaranteed to its own.
	promoted bool
	// coordinator reports whether this entry coordinates the group or is the coordinator's backup, and so knows
	// all requests at the group's targets.
	coordinator bool
	// grant receives the chosen target or the refusal; it is called once, and must not call the scheduler.
	grant func(*target, *Refusal)
}

// Result is how a request ended at a target.
type Result struct {
	// FirstEvent is the time from sending the request to the first event, or to a whole answer; 0 if there was none.
	FirstEvent lovageshift.Millis
	Outcome    Outcome
}

// Outcome is what a target did with a request.
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
