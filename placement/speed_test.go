package placement_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
)

// speeds is a group of engines of which some are slow, in virtual time. It plays a load of requests and records what
// their callers get.
type speeds struct {
	scheduler *placement.Scheduler
	random    *rand.Rand
	now       lovageshift.Millis
	pending   []timedEvent // in the order of their times
	results   map[string]*callerResults
}

type timedEvent struct {
	at lovageshift.Millis
	do func()
}

// callerResults counts the requests of one kind: those answered on time, answered late, cut at their deadline, refused.
type callerResults struct{ onTime, late, cut, refused int }

func (c *callerResults) total() int { return c.onTime + c.late + c.cut + c.refused }

const (
	engineSlots = 8
	slowEngines = 8
	fastEngines = 16
	fastTokenMS = 3.0
	slowTokenMS = 13.0
	eventTokens = 16
	maxGap      = lovageshift.Millis(400)
	// A stream of a slow engine has pauses above maxGap now and then, while the engine reads other prompts.
	slowPause = lovageshift.Millis(420)
)

func newSpeeds() *speeds {
	service := &catalog.Service{ID: pool, Engine: true, EventTokens: eventTokens}
	return &speeds{
		scheduler: newScheduler(service, targets(slowEngines+fastEngines, engineSlots)...),
		random:    rand.New(rand.NewPCG(1, 2)),
		results:   map[string]*callerResults{},
		now:       1,
	}
}

func (s *speeds) after(wait lovageshift.Millis, do func()) {
	event := timedEvent{s.now + max(wait, 1), do}
	at, _ := slices.BinarySearchFunc(s.pending, event, func(a, b timedEvent) int {
		return cmp.Or(cmp.Compare(a.at, b.at), -1) // behind those of the same time
	})
	s.pending = slices.Insert(s.pending, at, event)
}

// kind is a kind of requests with the load that callers send.
type kind struct {
	name      string
	rank      lovageshift.Rank
	prompt    lovageshift.Tokens
	output    float64 // mean tokens
	most      lovageshift.Tokens
	perSecond float64
	objective lovageshift.Millis
	deadline  lovageshift.Millis
}

// play sends a kind's requests until the time.
func (s *speeds) play(k kind, until lovageshift.Millis) {
	if s.results[k.name] == nil {
		s.results[k.name] = &callerResults{}
	}
	if s.now >= until {
		return
	}
	s.send(k)
	s.after(lovageshift.Millis(s.random.ExpFloat64()*1000/k.perSecond), func() { s.play(k, until) })
}

func (s *speeds) send(k kind) {
	output := max(1, s.random.ExpFloat64()*k.output)
	estimate := max(1, output*(0.5+s.random.Float64()))
	arrived := s.now
	job := &placement.Job{
		Service: pool, Rank: k.rank, Arrived: arrived, Objective: k.objective, QueueDeadline: arrived + k.objective/2,
		PromptTokens: k.prompt, OutputTokens: k.most, ExpectedOutput: lovageshift.Tokens(estimate),
		MaxGap: maxGap, Deadline: arrived + k.deadline,
	}
	s.scheduler.Submit(s.now, s.scheduler.PickGroup(&placement.Job{Service: pool}, 0.5), placement.Coordinator, job, func(decision placement.Decision) {
		if decision.Refusal != nil {
			s.results[k.name].refused++
			return
		}
		s.after(0, func() { s.run(k, arrived, output, decision.Slot) })
	})
}

// run serves a request at its target.
func (s *speeds) run(k kind, arrived lovageshift.Millis, output float64, slot *placement.Slot) {
	perToken := fastTokenMS
	if int(slot.Target.ID[len(slot.Target.ID)-1])%3 == 0 {
		perToken = slowTokenMS
	}
	firstEvent := lovageshift.Millis(float64(k.prompt)/50*perToken/fastTokenMS) / 3
	total := firstEvent + lovageshift.Millis(output*perToken)
	events := int(output / eventTokens)
	results := s.results[k.name]
	outcome := placement.Served
	switch {
	case s.now+total > arrived+k.deadline:
		total, outcome = arrived+k.deadline-s.now, placement.Failed
		results.cut++
	case s.now+firstEvent > arrived+k.objective:
		results.late++
	case events > 2 && perToken == slowTokenMS && slowPause > maxGap && s.random.IntN(2) == 0:
		results.late++
	default:
		results.onTime++
	}
	result := placement.Result{FirstEvent: firstEvent, Outcome: outcome}
	if events >= 4 {
		result.TokenMicros = int64(perToken * 1000)
	}
	s.after(total, func() { s.scheduler.Release(s.now, slot, result) })
}

// until plays what is due until the time, with the scheduler's ticks.
func (s *speeds) until(end lovageshift.Millis) {
	for s.now < end {
		s.now++
		for len(s.pending) > 0 && s.pending[0].at <= s.now {
			event := s.pending[0]
			s.pending = s.pending[1:]
			event.do()
		}
		if s.now%10 == 0 {
			s.scheduler.Tick(s.now)
		}
	}
}

// While all engines are busy, long answers must not take the slots of slow engines, where they come late or are cut at
// their deadline, from short ones that are on time there.
func TestLongAnswersWaitForFastEngines(t *testing.T) {
	Convey("With a third of the engines four times as slow and a load that needs all of them, callers are served on time", t, func() {
		s := newSpeeds()
		const warmUp, end = 5000, 65_000
		plans := kind{"plan", 0, 6600, 400, 3840, 0, 500, 12_000}
		tags := kind{"tag", 2, 1800, 24, 240, 0, 300, 2500}
		plans.perSecond, tags.perSecond = 20, 40
		s.play(plans, warmUp)
		s.play(tags, warmUp)
		s.until(warmUp)
		s.results = map[string]*callerResults{}
		plans.perSecond, tags.perSecond = 85, 165
		s.play(plans, end)
		s.play(tags, end)
		s.until(end + 15_000)
		t.Logf("plans %+v, tags %+v", *s.results["plan"], *s.results["tag"])
		onTime := func(name string) float64 {
			return float64(s.results[name].onTime) / float64(s.results[name].total())
		}
		So(onTime("plan"), ShouldBeGreaterThan, 0.95)
		So(onTime("tag"), ShouldBeGreaterThan, 0.95)
		So(float64(s.results["plan"].cut)/float64(s.results["plan"].total()), ShouldBeLessThan, 0.005)
	})
}
