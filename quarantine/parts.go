package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"lovageshift"
)

const (
	// An answer that goes on for this many milliseconds after its first event is sound.
	soundAfter lovageshift.Millis = 500
	// How long a crash counts. It is several times trialMillis, so that a part stays blocked between trials.
	crashTTL lovageshift.Millis = 600_000
	// Limits of the memory of one register.
	maxCrashes       = 256
	maxPartsPerCrash = 64
	maxAnsweredParts = 8192
)

// Part is the hash of the ID of a part of a prompt.
type Part uint32

// PartOf returns the hash of a part's ID.
func PartOf(id string) Part { return Part(xxhash.Sum64String(id)) }

// CrashID is a hash of the incarnation of a target that crashed, so that reports of one crash by several entries are
// recognized.
type CrashID uint32

// CrashOf returns the ID of the crash of the target's incarnation that started at born, a wall time in milliseconds.
func CrashOf(target lovageshift.TargetID, born int64) CrashID {
	return CrashID(xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(target), uint64(born))))
}

// Crash is a crash of a target as one process reports it to others.
type Crash struct {
	ID  CrashID
	Age lovageshift.Millis // milliseconds since the crash
	// Parts holds the parts of the prompts that the target may just have begun to answer, in ascending order of Depth.
	Parts []CrashPart
}

// CrashPart is a part of a prompt and its position there, counted from 0.
type CrashPart struct {
	Part  Part
	Depth int
}

// Answer says that prompts with the part do not crash targets, as shown by an answer that began Age milliseconds ago.
type Answer struct {
	Part Part
	Age  lovageshift.Millis
}

// PartRegister finds the parts of prompts under which targets crash. A part is blocked when it was in prompts that several
// targets had just begun to answer when they crashed, and no answer to a prompt with that part that began later has
// gone on. It is not safe for concurrent use; times are milliseconds of one process's clock.
type PartRegister struct {
	// roundMillis is the time in which every other process gets a report, settleMillis how long others have to report
	// answers before a part is blocked.
	roundMillis  lovageshift.Millis
	settleMillis lovageshift.Millis
	crashes      map[CrashID]*crash
	// answeredAt holds when the newest answer that cleared a part began.
	answeredAt *simplelru.LRU[Part, lovageshift.Millis]
	// reportAnswers holds until when the answers to prompts with a part are reported.
	reportAnswers map[Part]lovageshift.Millis
	blocked       map[Part]bool
	// triedAt holds when a prompt with a blocked part was last sent to a target.
	triedAt map[Part]lovageshift.Millis
	// evaluateAt is when blocked must be computed again, at the latest.
	evaluateAt lovageshift.Millis
}

type crash struct {
	at lovageshift.Millis
	// parts holds the depth of each part that no later answer has cleared.
	parts map[Part]int
	// own holds the parts that this process reports until reportUntil, as it saw the crash itself.
	own         map[Part]bool
	reportUntil lovageshift.Millis
}

// Sound reports whether an answer with the first and the last event so far at these times, 0 for none, shows that its prompt
// does not crash targets.
func Sound(firstEventAt, lastEventAt lovageshift.Millis) bool {
	return firstEventAt > 0 && lastEventAt-firstEventAt >= soundAfter
}

// NewPartRegister returns an empty register.
func NewPartRegister() *PartRegister {
	answeredAt, err := simplelru.NewLRU[Part, lovageshift.Millis](maxAnsweredParts, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &PartRegister{
		crashes: map[CrashID]*crash{}, answeredAt: answeredAt,
		reportAnswers: map[Part]lovageshift.Millis{}, blocked: map[Part]bool{}, triedAt: map[Part]lovageshift.Millis{},
	}
}

// SetRound sets the time in which every other process gets a report.
func (r *PartRegister) SetRound(round lovageshift.Millis) {
	r.roundMillis = round
	// A report, and the answers that others have seen since, take a round each.
	r.settleMillis = 2*round + 2*soundAfter
}

// RecordCrash records a crash that this process has seen, with the parts of a prompt, in their order, that the target may
// just have begun to answer.
func (r *PartRegister) RecordCrash(now lovageshift.Millis, id CrashID, parts []Part) {
	c := r.crash(now, id, now)
	c.reportUntil = now + reportRounds*r.roundMillis
	for depth, part := range parts {
		r.addPart(now, c, CrashPart{part, depth})
		c.own[part] = true
	}
	r.dropIfEmpty(id, c)
}

// LearnCrash records a crash that another process has reported.
func (r *PartRegister) LearnCrash(now lovageshift.Millis, reported Crash) {
	if reported.Age < 0 || reported.Age >= crashTTL {
		return
	}
	c := r.crash(now, reported.ID, now-reported.Age)
	for _, part := range reported.Parts {
		r.addPart(now, c, part)
	}
	r.dropIfEmpty(reported.ID, c)
}

// crash returns the crash with the ID, and adds it if it is new.
func (r *PartRegister) crash(now lovageshift.Millis, id CrashID, at lovageshift.Millis) *crash {
	c := r.crashes[id]
	if c == nil {
		r.makeRoom(now)
		c = &crash{at: at, parts: map[Part]int{}, own: map[Part]bool{}}
		r.crashes[id] = c
	}
	return c
}

// makeRoom removes the oldest crash if there are too many, if possible one by which no part is blocked.
func (r *PartRegister) makeRoom(now lovageshift.Millis) {
	if len(r.crashes) < maxCrashes {
		return
	}
	r.evaluate(now)
	ids := slices.SortedFunc(maps.Keys(r.crashes), func(a, b CrashID) int { return cmp.Compare(r.crashes[a].at, r.crashes[b].at) })
	evicted := slices.IndexFunc(ids, func(id CrashID) bool { return !r.holdsBlocked(r.crashes[id]) })
	delete(r.crashes, ids[max(evicted, 0)])
	r.evaluateAt = now
}

func (r *PartRegister) holdsBlocked(c *crash) bool {
	for part := range c.parts {
		if r.blocked[part] {
			return true
		}
	}
	return false
}

// dropIfEmpty removes a crash if answers have cleared all of its parts.
func (r *PartRegister) dropIfEmpty(id CrashID, c *crash) {
	if len(c.parts) == 0 {
		delete(r.crashes, id)
	}
}

// addPart adds a part to a crash, unless an answer that began after the crash clears it.
func (r *PartRegister) addPart(now lovageshift.Millis, c *crash, part CrashPart) {
	if began, answered := r.answeredAt.Get(part.Part); answered {
		r.reportAnswers[part.Part] = now + reportRounds*r.roundMillis
		if began >= c.at {
			return
		}
	}
	depth, known := c.parts[part.Part]
	if known && depth >= part.Depth || !known && len(c.parts) >= maxPartsPerCrash {
		return
	}
	c.parts[part.Part] = part.Depth
	r.evaluateAt = now
}

// RecordAnswer records that this process has seen a sound answer to a prompt with the parts, which began at the given
// time.
func (r *PartRegister) RecordAnswer(now lovageshift.Millis, parts []Part, began lovageshift.Millis) {
	for _, part := range parts {
		if r.clear(now, part, began) {
			r.reportAnswers[part] = now + reportRounds*r.roundMillis
		}
	}
}

// LearnAnswer records an answer that another process has reported.
func (r *PartRegister) LearnAnswer(now lovageshift.Millis, reported Answer) {
	if reported.Age >= 0 {
		r.clear(now, reported.Part, now-reported.Age)
	}
}

// clear removes a part from the crashes before an answer to a prompt with it began, and returns whether there were any.
func (r *PartRegister) clear(now lovageshift.Millis, part Part, began lovageshift.Millis) bool {
	if last, answered := r.answeredAt.Get(part); answered && last >= began {
		return false
	}
	r.answeredAt.Add(part, began)
	cleared := false
	for id, c := range r.crashes {
		if _, found := c.parts[part]; found && c.at <= began {
			delete(c.parts, part)
			r.dropIfEmpty(id, c)
			cleared = true
		}
	}
	if cleared {
		r.evaluateAt = now
	}
	return cleared
}
