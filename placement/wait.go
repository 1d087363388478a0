package placement

import "lovageshift"

const (
	// A request is refused if it cannot get a slot within this share of its latency objective, counted from its arrival.
	maxWaitShare = 0.5
	// Maximum wait for a slot, counted from arrival, of a request that its caller repeats after a refusal. Such a request
	// has missed its latency objective already, and no caller gives up waiting for the first event before this time.
	repeatMaxWait lovageshift.Millis = 1200
	// Maximum wait for a slot of a request that goes on with a stream, counted from its arrival or, if the entry itself goes
	// on, from the stream's last event. Callers leave a stream after a pause of 2 s, or later, and the next event takes a part
	// of them.
	resumeMaxWait lovageshift.Millis = 1500
	// A request that repeats another or goes on with a stream waits for up to this share of the time to its deadline.
	maxDeadlineShare = 0.5
	// A retry may wait for a slot for at least this share of the latency objective.
	minRetryWaitShare = 0.25
)

// LimitWait sets QueueDeadline by the other fields.
func (j *Job) LimitWait() {
	switch {
	case j.Resumes || j.HasVersion:
		j.QueueDeadline = j.latestSlot(j.Arrived, resumeMaxWait)
	case j.RefusedBefore:
		j.QueueDeadline = j.latestSlot(j.Arrived, repeatMaxWait)
	default:
		j.QueueDeadline = j.Arrived + lovageshift.Millis(float64(j.Objective)*maxWaitShare)
	}
}

// latestSlot returns the end of a wait that began at the given time, which leaves a part of the time to the deadline.
func (j *Job) latestSlot(from, wait lovageshift.Millis) lovageshift.Millis {
	if j.Deadline > 0 {
		wait = min(wait, lovageshift.Millis(float64(j.Deadline-from)*maxDeadlineShare))
	}
	return from + wait
}

// Retry prepares the job for another attempt after a failed one.
func (j *Job) Retry(now lovageshift.Millis) {
	j.QueueDeadline = max(j.QueueDeadline, now+lovageshift.Millis(float64(j.Objective)*minRetryWaitShare))
}

// GoOn prepares the job for another target that goes on with the stream, whose last event arrived at the given time.
func (j *Job) GoOn(now, lastEventAt lovageshift.Millis) {
	j.Resumes, j.RefusedBefore = true, false
	j.Retry(now)
	j.QueueDeadline = max(j.QueueDeadline, j.latestSlot(lastEventAt, resumeMaxWait))
}
