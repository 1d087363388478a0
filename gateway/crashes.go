package gateway

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/eventlog"
	"lovageshift/placement"
	"lovageshift/quarantine"
	"lovageshift/wire"
)

const (
	// How long a target may take to accept a connection after one to it was lost. If it does not, it has crashed.
	crashCheckTimeout = 500 * time.Millisecond
	// How long the new connection must stay open. A proxy may accept it in place of the target, but then closes it.
	crashCheckOpenTime = 100 * time.Millisecond
	// Most checks of targets at once, and most that wait.
	maxCrashChecks   = 32
	maxWaitingChecks = 256
	maxEndsPerCheck  = 64
	// A target that sent nothing for this long before a request to it ended is checked. A crash may leave its connections
	// silent for longer than callers wait.
	silenceToCheck lovageshift.Millis = 1000
)

// crashes finds out which ended connections are crashes of targets, and keeps the parts of prompts under which targets
// crash.
type crashes struct {
	clock lovageshift.Clock
	log   *eventlog.Log
	// inMinority reports whether this entry sees too few of the others to tell a target that is out of reach from its own loss
	// of the network.
	inMinority func() bool
	checks     chan crashCheck

	mutex sync.Mutex
	parts *quarantine.PartRegister
	// ends holds the connections to a target that have ended, while that target is checked.
	ends map[quarantine.CrashID][]connectionEnd
	// lastBlocked are the blocked parts as last logged.
	lastBlocked []quarantine.Part
}

// crashCheck is the task to find out whether an incarnation of a target has crashed.
type crashCheck struct {
	id      quarantine.CrashID
	target  lovageshift.TargetID
	address string
}

// connectionEnd is the end of a connection that a request had to its target.
type connectionEnd struct {
	parts        []quarantine.Part  // of the request's prompt
	firstEventAt lovageshift.Millis // when the target sent the first event, 0 if it sent none
	lastEventAt  lovageshift.Millis // when it sent the last event
	// gone is set if the target fell silent and its incarnation is gone, so that it has crashed.
	gone bool
	at   lovageshift.Millis
}

func newCrashes(clock lovageshift.Clock, log *eventlog.Log, inMinority func() bool) *crashes {
	return &crashes{
		clock: clock, log: log, inMinority: inMinority, checks: make(chan crashCheck, maxWaitingChecks),
		parts: quarantine.NewPartRegister(), ends: map[quarantine.CrashID][]connectionEnd{},
	}
}

// run checks targets to which connections have ended, until the context ends.
func (c *crashes) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxCrashChecks)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case check := <-c.checks:
			group.Go(func() error {
				began := c.clock.Now()
				c.finish(check, began, checkTarget(ctx, check.address))
				return nil
			})
		}
	}
}

// targetState is what a new connection to a target shows.
type targetState string

const (
	targetRunning targetState = "running"
	// targetGone is the state of a target whose VM answers that nothing listens at its address.
	targetGone targetState = "gone"
	// targetSilent is the state of a target that cannot be reached, or whose connection does not stay open.
	targetSilent targetState = "silent"
)

// checkTarget opens a connection to the target at the address, which must be established in time and stay open.
func checkTarget(ctx context.Context, address string) targetState {
	dialer := net.Dialer{Timeout: crashCheckTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return targetGone
	}
	if err != nil {
		return targetSilent
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(time.Now().Add(crashCheckOpenTime)); err != nil {
		return targetSilent
	}
	_, err = conn.Read(make([]byte, 1))
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return targetRunning
	}
	return targetSilent
}

// recordEnd records that the connection of a request to its target has ended within the answer. If the target had
// answered for long enough, that shows the request's prompt to be sound; otherwise the target is checked.
func (c *crashes) recordEnd(slot *placement.Slot, end connectionEnd) {
	if len(end.parts) == 0 {
		return
	}
	end.at = c.clock.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if quarantine.Sound(end.firstEventAt, end.lastEventAt) {
		c.parts.RecordAnswer(end.at, end.parts, end.firstEventAt)
		return
	}
	check := crashCheck{quarantine.CrashOf(slot.Target.ID, slot.Target.Born), slot.Target.ID, slot.Target.Address}
	if end.gone {
		c.recordResult(check, []connectionEnd{end}, end.at, targetSilent)
		return
	}
	waiting, checking := c.ends[check.id]
	if len(waiting) < maxEndsPerCheck {
		c.ends[check.id] = append(waiting, end)
	}
	if !checking {
		c.requestCheck(check)
	}
}

// requestCheck has the target checked. The caller must hold c.mutex.
func (c *crashes) requestCheck(check crashCheck) {
	select {
	case c.checks <- check:
	default:
		delete(c.ends, check.id)
		c.log.Info("crashNotChecked", "target", check.target)
	}
}

// finish records the result of a check that began at the given time.
func (c *crashes) finish(check crashCheck, began lovageshift.Millis, state targetState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ends := c.ends[check.id]
	delete(c.ends, check.id)
	c.recordResult(check, ends, began, state)
}

// recordResult records the state of the target at a time, for connections to it that have ended. If it was running, the
// connections that have ended since are checked again. A target that is gone has crashed; one that is silent has too, unless this
// entry may itself have lost the network. The caller must hold c.mutex.
func (c *crashes) recordResult(check crashCheck, ends []connectionEnd, began lovageshift.Millis, state targetState) {
	inMinority, now := c.inMinority(), c.clock.Now()
	c.log.Info("crashChecked", "target", check.target, "state", state, "inMinority", inMinority, "requests", len(ends))
	for _, end := range ends {
		switch {
		case state == targetGone, state == targetSilent && !inMinority:
			c.parts.RecordCrash(now, check.id, end.parts)
		case state == targetRunning && end.at > began:
			c.ends[check.id] = append(c.ends[check.id], end)
		}
	}
	if len(c.ends[check.id]) > 0 {
		c.requestCheck(check)
	}
}

// answered records a sound answer to a prompt with the parts, which began at the given time.
func (c *crashes) answered(parts []quarantine.Part, began lovageshift.Millis) {
	if len(parts) == 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.parts.RecordAnswer(c.clock.Now(), parts, began)
}

// blocks reports whether a prompt with the parts must not be sent to a target.
func (c *crashes) blocks(parts []quarantine.Part) bool {
	if len(parts) == 0 {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.parts.Blocks(c.clock.Now(), parts)
}

// startTrial reports whether a prompt with a blocked part is to be sent to a target nevertheless. Of all entries, only the
// one for which mayTry is true does so.
func (c *crashes) startTrial(parts []quarantine.Part, mayTry func(quarantine.Part) bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.clock.Now()
	part, due := c.parts.DueTrial(now, parts)
	if !due || !mayTry(part) {
		return false
	}
	c.parts.RecordTrial(now, part)
	c.log.Info("partTried", "part", part)
	return true
}

func (c *crashes) setRound(round lovageshift.Millis) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.parts.SetRound(round)
}

// report adds the crashes and sound answers to this entry's next state update.
func (c *crashes) report(now lovageshift.Millis, update *wire.EntryNews) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.logBlocked(now)
	for _, crash := range c.parts.ReportCrashes(now) {
		message := &wire.TargetCrash{Id: uint32(crash.ID), AgeMillis: uint32(crash.Age)}
		for _, part := range crash.Parts {
			message.Parts, message.Depths = append(message.Parts, uint32(part.Part)), append(message.Depths, uint32(part.Depth))
		}
		update.Crashes = append(update.Crashes, message)
	}
	for _, answer := range c.parts.ReportAnswers(now) {
		update.AnsweredParts = append(update.AnsweredParts, uint32(answer.Part))
		update.AnsweredMillis = append(update.AnsweredMillis, uint32(answer.Age))
	}
}

// logBlocked logs the blocked parts when they have changed. The caller must hold c.mutex.
func (c *crashes) logBlocked(now lovageshift.Millis) {
	blocked := c.parts.Blocked(now)
	if !slices.Equal(blocked, c.lastBlocked) {
		c.lastBlocked = blocked
		c.log.Info("partsBlocked", "parts", blocked)
	}
}

// merge adds the crashes and sound answers of another entry's state update.
func (c *crashes) merge(now lovageshift.Millis, update *wire.EntryNews) {
	if len(update.Crashes) == 0 && len(update.AnsweredParts) == 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for i, part := range update.AnsweredParts {
		if i < len(update.AnsweredMillis) {
			c.parts.LearnAnswer(now, quarantine.Answer{Part: quarantine.Part(part), Age: lovageshift.Millis(update.AnsweredMillis[i])})
		}
	}
	for _, message := range update.Crashes {
		crash := quarantine.Crash{ID: quarantine.CrashID(message.Id), Age: lovageshift.Millis(message.AgeMillis)}
		for i, part := range message.Parts {
			if i < len(message.Depths) {
				crash.Parts = append(crash.Parts, quarantine.CrashPart{Part: quarantine.Part(part), Depth: int(message.Depths[i])})
			}
		}
		c.parts.LearnCrash(now, crash)
	}
}
