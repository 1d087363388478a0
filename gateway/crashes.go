package gateway

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
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
	maxCrashChecks    = 32
	maxWaitingChecks  = 256
	maxLossesPerCheck = 64
)

// crashes finds out which lost connections are crashes of targets, and keeps the parts of prompts under which targets
// crash.
type crashes struct {
	clock lovageshift.Clock
	log   *eventlog.Log
	// inMinority reports whether this entry sees too few of the others to tell a crash from its own loss of the network.
	inMinority func() bool
	checks     chan crashCheck

	mutex sync.Mutex
	parts *quarantine.PartRegister
	// losses holds the parts of the prompts whose connections to a target were lost, while that target is checked.
	losses map[quarantine.CrashID][][]quarantine.Part
	// lastBlocked are the blocked parts as last logged.
	lastBlocked []quarantine.Part
}

// crashCheck is the task to find out whether an incarnation of a target has crashed.
type crashCheck struct {
	id      quarantine.CrashID
	target  lovageshift.TargetID
	address string
}

func newCrashes(clock lovageshift.Clock, log *eventlog.Log, inMinority func() bool) *crashes {
	return &crashes{
		clock: clock, log: log, inMinority: inMinority, checks: make(chan crashCheck, maxWaitingChecks),
		parts: quarantine.NewPartRegister(), losses: map[quarantine.CrashID][][]quarantine.Part{},
	}
}

// run checks targets to which connections were lost, until the context ends.
func (c *crashes) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxCrashChecks)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case check := <-c.checks:
			group.Go(func() error {
				c.finish(check, isRunning(ctx, check.address))
				return nil
			})
		}
	}
}

// isRunning reports whether a new connection to the target at the address is established in time and stays open.
func isRunning(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: crashCheckTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(time.Now().Add(crashCheckOpenTime)); err != nil {
		return false
	}
	_, err = conn.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// lost records that the connection of a request to its target was lost. If the target had answered it for long enough, that
// shows the request's prompt to be sound; otherwise the prompt is recorded if the target turns out to have crashed.
func (c *crashes) lost(slot *placement.Slot, parts []quarantine.Part, firstEventAt lovageshift.Millis) {
	if len(parts) == 0 {
		return
	}
	now := c.clock.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if quarantine.Sound(now, firstEventAt) {
		c.parts.RecordAnswer(now, parts, firstEventAt)
		return
	}
	id := quarantine.CrashOf(slot.Target.ID, slot.Target.Born)
	waiting, checking := c.losses[id]
	if len(waiting) < maxLossesPerCheck {
		c.losses[id] = append(waiting, parts)
	}
	if checking {
		return
	}
	select {
	case c.checks <- crashCheck{id, slot.Target.ID, slot.Target.Address}:
	default:
		delete(c.losses, id)
		c.log.Info("crashNotChecked", "target", slot.Target.ID)
	}
}

// finish records the lost connections to a target as its crash, unless the target accepts connections.
func (c *crashes) finish(check crashCheck, running bool) {
	inMinority := c.inMinority()
	now := c.clock.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	losses := c.losses[check.id]
	delete(c.losses, check.id)
	c.log.Info("crashChecked", "target", check.target, "running", running, "inMinority", inMinority, "requests", len(losses))
	if running || inMinority {
		return
	}
	for _, parts := range losses {
		c.parts.RecordCrash(now, check.id, parts)
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
