package placement_test

import (
	"math/rand/v2"
	"testing"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
)

// resumeLoad is a load on one coordinator: urgent requests of any version, less urgent ones, and streams that go on at v1.
type resumeLoad struct {
	// urgent, other and resuming are the requests a second.
	urgent, other, resuming float64
	// ofVersion is the number of the twelve targets of four slots that have the version of the streams.
	ofVersion int
}

const (
	resumeRunMillis  lovageshift.Millis = 10_000
	resumeStepMillis lovageshift.Millis = 10
	resumeHoldMillis lovageshift.Millis = 500
)

// play returns the shares of the new requests and of the streams that got a slot.
func (l resumeLoad) play(seed uint64) (begun, wentOn float64) {
	random := rand.New(rand.NewPCG(seed, 1))
	list := targets(12, 4)
	for i, target := range list {
		target.Version = "v2"
		if i < l.ofVersion {
			target.Version = "v1"
		}
	}
	s := newScheduler(&catalog.Service{ID: pool, Engine: true}, list...)
	var all, resumed []*submission
	var slots []*submission // whose requests run
	ends := map[*submission]lovageshift.Millis{}
	for now := resumeStepMillis; now < resumeRunMillis; now += resumeStepMillis {
		for _, kind := range []struct {
			rate float64
			job  placement.Job
		}{
			{l.urgent, placement.Job{Rank: 0, PromptTokens: 6000, ExpectedOutput: 300}},
			{l.other, placement.Job{Rank: 1, PromptTokens: 600, ExpectedOutput: 300}},
			{l.resuming, placement.Job{Rank: 1, PromptTokens: 600, ExpectedOutput: 300, Resumes: true, HasVersion: true, Version: "v1"}},
		} {
			if random.Float64() >= kind.rate*resumeStepMillis.Seconds() {
				continue
			}
			job := kind.job
			job.Arrived, job.Objective, job.Deadline = now, 300, now+12_000
			job.LimitWait()
			sub := submit(s, now, &job)
			all = append(all, sub)
			if job.Resumes {
				resumed = append(resumed, sub)
			}
		}
		s.Tick(now)
		for _, sub := range all {
			if _, counted := ends[sub]; sub.Slot != nil && !counted {
				ends[sub] = now + resumeHoldMillis/2 + lovageshift.Millis(random.IntN(int(resumeHoldMillis)))
				slots = append(slots, sub)
			}
		}
		running := slots[:0]
		for _, sub := range slots {
			if now < ends[sub] {
				running = append(running, sub)
				continue
			}
			s.Release(now, sub.Slot, placement.Result{Outcome: placement.Served, FirstEvent: 20})
		}
		slots = running
	}
	count := func(subs []*submission) (granted int) {
		for _, sub := range subs {
			if sub.Slot != nil {
				granted++
			}
		}
		return granted
	}
	wentOnCount, allCount := count(resumed), count(all)
	begun = float64(allCount-wentOnCount) / float64(max(len(all)-len(resumed), 1))
	return begun, float64(wentOnCount) / float64(max(len(resumed), 1))
}

// TestStreamsGoOnWhileUrgentRequestsFillAllTargets guards against refusing the streams that callers take up while new requests,
// more urgent ones too, get their slots.
func TestStreamsGoOnWhileUrgentRequestsFillAllTargets(t *testing.T) {
	for _, load := range []resumeLoad{
		{urgent: 60, other: 20, resuming: 3, ofVersion: 6},
		{urgent: 95, other: 40, resuming: 5, ofVersion: 3},
		{urgent: 150, other: 60, resuming: 5, ofVersion: 3},
		{urgent: 150, other: 60, resuming: 8, ofVersion: 2},
		{urgent: 95, other: 95, resuming: 15, ofVersion: 6},
	} {
		begun, wentOn := load.play(1)
		t.Logf("%+v: %.2f of the new requests began, %.2f of the streams went on", load, begun, wentOn)
		if wentOn < begun/2 {
			t.Errorf("%+v: %.2f of the new requests began, %.2f of the streams went on", load, begun, wentOn)
		}
	}
}

// TestNewRequestsBeginBesideManyStreamsThatGoOn guards against starving new requests by streams that callers take up.
func TestNewRequestsBeginBesideManyStreamsThatGoOn(t *testing.T) {
	load := resumeLoad{urgent: 60, other: 0, resuming: 90, ofVersion: 12}
	begun, wentOn := load.play(1)
	t.Logf("%.2f of the new requests began, %.2f of the streams went on", begun, wentOn)
	if begun < 0.5 {
		t.Errorf("%.2f of the new requests began, %.2f of the streams went on", begun, wentOn)
	}
}
