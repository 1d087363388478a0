package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"lovageshift"
)

const (
	// A part of a prompt that no target has answered yet is blocked after this many crashes, if there are this many
	// milliseconds between them: many targets may crash at once for another reason.
	crashesToBlock                    = 3
	spreadToBlock  lovageshift.Millis = 250
	// The same for a part that targets have answered before. A popular one is likely to run at each crash.
	answeredCrashesToBlock                    = 9
	answeredSpreadToBlock  lovageshift.Millis = 3000
	// How long after its last crash a blocked part is tried again.
	trialMillis lovageshift.Millis = 60_000
)

// Blocks reports whether one of the parts is blocked, so that a prompt with it must not be sent to a target.
func (r *PartRegister) Blocks(now lovageshift.Millis, parts []Part) bool {
	if len(r.crashes) == 0 {
		return false
	}
	r.evaluate(now)
	return slices.ContainsFunc(parts, func(part Part) bool { return r.blocked[part] })
}

// DueTrial returns a blocked one of the parts under which no target has crashed for trialMillis and that was not tried for as
// long. One prompt with it may be sent to a target, after RecordTrial, as the targets may have been repaired.
func (r *PartRegister) DueTrial(now lovageshift.Millis, parts []Part) (Part, bool) {
	for _, part := range parts {
		if !r.blocked[part] {
			continue
		}
		last := r.triedAt[part]
		for _, c := range r.crashes {
			if _, found := c.parts[part]; found {
				last = max(last, c.at)
			}
		}
		if now-last >= trialMillis {
			return part, true
		}
	}
	return 0, false
}

// RecordTrial records that a prompt with a blocked part is sent to a target.
func (r *PartRegister) RecordTrial(now lovageshift.Millis, part Part) {
	maps.DeleteFunc(r.triedAt, func(_ Part, at lovageshift.Millis) bool { return now-at >= crashTTL })
	r.triedAt[part] = now
}

// Blocked returns the blocked parts in ascending order.
func (r *PartRegister) Blocked(now lovageshift.Millis) []Part {
	r.evaluate(now)
	var parts []Part
	for part := range r.blocked {
		parts = append(parts, part)
	}
	slices.Sort(parts)
	return parts
}

// candidate is a part with the crashes that it may have caused.
type candidate struct {
	part     Part
	depth    int
	answered bool // at any time
	crashes  []CrashID
}

// evaluate computes the blocked parts, if anything has changed. It goes from the parts without any answer to the others, and
// from the deepest ones to the first ones, which more prompts share. It leaves out the crashes that an earlier part
// explains.
func (r *PartRegister) evaluate(now lovageshift.Millis) {
	if now < r.evaluateAt {
		return
	}
	r.evaluateAt = now + crashTTL
	clear(r.blocked)
	explained := map[CrashID]bool{}
	for _, c := range r.candidates(now) {
		c.crashes = slices.DeleteFunc(c.crashes, func(id CrashID) bool { return explained[id] })
		if len(c.crashes) == 0 {
			continue
		}
		at, sufficient := r.blockAt(c)
		if !sufficient {
			continue
		}
		for _, id := range c.crashes {
			explained[id] = true
		}
		if now < at {
			r.evaluateAt = min(r.evaluateAt, at)
			continue
		}
		r.blocked[c.part] = true
	}
}

// candidates returns the parts of all crashes in the order in which evaluate takes them. It also sets when the first crash
// is to be forgotten.
func (r *PartRegister) candidates(now lovageshift.Millis) []*candidate {
	byPart := map[Part]*candidate{}
	for id, c := range r.crashes {
		if now-c.at >= crashTTL {
			delete(r.crashes, id)
			continue
		}
		r.evaluateAt = min(r.evaluateAt, c.at+crashTTL)
		for part, depth := range c.parts {
			known := byPart[part]
			if known == nil {
				known = &candidate{part: part, answered: r.answeredAt.Contains(part)}
				byPart[part] = known
			}
			known.depth = max(known.depth, depth)
			known.crashes = append(known.crashes, id)
		}
	}
	return slices.SortedFunc(maps.Values(byPart), compareCandidates)
}

func compareCandidates(a, b *candidate) int {
	if a.answered != b.answered {
		if b.answered {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.depth, a.depth), cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.part, b.part))
}

// blockAt returns from when on a part is to be blocked, and false if its crashes do not suffice. Until then, other processes
// have time to report sound answers.
func (r *PartRegister) blockAt(c *candidate) (lovageshift.Millis, bool) {
	times := make([]lovageshift.Millis, 0, len(c.crashes))
	for _, id := range c.crashes {
		times = append(times, r.crashes[id].at)
	}
	slices.Sort(times)
	if c.answered {
		at, sufficient := sufficientAt(times, answeredCrashesToBlock, answeredSpreadToBlock)
		return at + r.settleMillis, sufficient
	}
	at, sufficient := sufficientAt(times, crashesToBlock, spreadToBlock)
	return max(at, times[0]+r.settleMillis), sufficient
}

// sufficientAt returns the first of the times at which there were count of them, the first of them at least spread before.
func sufficientAt(times []lovageshift.Millis, count int, spread lovageshift.Millis) (lovageshift.Millis, bool) {
	for i := count - 1; i < len(times); i++ {
		if times[i]-times[0] >= spread {
			return times[i], true
		}
	}
	return 0, false
}
