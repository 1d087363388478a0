package placement

import (
	"lovageshift"
	"lovageshift/catalog"
)

// GroupID names the targets of a service that one entry keeps places for.
type GroupID string

// Job is one request that asks for a target.
type Job struct {
	Service catalog.ServiceID
	// Zone is the entry's own, whose targets are a little closer.
	Zone lovageshift.ZoneID
	// Rank orders waiting requests; a lower one goes first.
	Rank lovageshift.Rank
	// Arrived is when the entry had read the request's head.
	Arrived   lovageshift.Millis
	Objective lovageshift.Millis
	// QueueDeadline is when the request is given up if it found no target.
	QueueDeadline lovageshift.Millis
	PromptTokens  lovageshift.Tokens
	OutputTokens  lovageshift.Tokens
	// RefusedBefore tells that the request was refused before; it is late, but a second refusal would lose it.
	RefusedBefore bool
	// Tried are targets that had the request before.
	Tried []TargetHash
}

// Slot is a target that was chosen for a request; it must be returned by Desk.Finish.
type Slot struct {
	Target *catalog.Target
	// MaxConnections is how many connections this entry may have open to the target.
	MaxConnections int
	// Running is how many requests the target had when it was chosen.
	Running int
	Waited  lovageshift.Millis
	// OnRelease is called when the place is returned, to tell the entry that granted it; it may be nil.
	OnRelease func(Result)
	prompt    lovageshift.Tokens
	target    *target
}

// Refusal says why a job got no place.
type Refusal struct {
	Reason lovageshift.Reason
	// RetryAfter is when there is probably room.
	RetryAfter lovageshift.Millis
	Waited     lovageshift.Millis
	// ExpectedWait is how long the request would still have waited, behind Ahead others.
	ExpectedWait lovageshift.Millis
	Ahead        int
}

// Decision is a place or a refusal.
type Decision struct {
	Slot    *Slot
	Refusal *Refusal
}

// Waiter is a job's place in a queue.
type Waiter struct {
	job    *Job
	group  GroupID
	number uint64
	done   bool
	// promoted tells that the ticket goes first, by what its rank was guaranteed.
	promoted bool
	// keeper tells that this entry keeps the group or stands in for its keeper, and so knows of all requests at its
	// targets.
	keeper bool
	// grant takes the target that was chosen, or the refusal; it is called once, and must not call the desk.
	grant func(*target, *Refusal)
}

// Result is how a request ended at a target.
type Result struct {
	// FirstEvent is the time from sending to the first event, or to a whole answer, 0 if there was none.
	FirstEvent lovageshift.Millis
	Outcome    Outcome
}

// Outcome is what a target did with a request.
type Outcome int

// The outcomes that the desk tells apart; they are numbers in messages between entries.
const (
	// Abandoned requests were given up by the caller, which says nothing of the target.
	Abandoned Outcome = iota
	// Served requests got a whole answer.
	Served
	// Refused requests were turned away by the target, which is full or leaving.
	Refused
	// Unreachable requests met no listening target.
	Unreachable
	// Failed requests got an error, a spoilt answer or none in time.
	Failed
	// ConnectionLost requests lost their connection.
	ConnectionLost
)
