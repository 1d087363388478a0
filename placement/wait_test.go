package placement_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
)

// TestStreamsThatGoOnWaitLongerThanNewRequests guards against refusing a stream that goes on as if its caller had seen nothing.
func TestStreamsThatGoOnWaitLongerThanNewRequests(t *testing.T) {
	waitOf := func(job placement.Job) lovageshift.Millis {
		job.Arrived, job.Objective = 1000, 300
		job.LimitWait()
		return job.QueueDeadline - job.Arrived
	}
	Convey("A stream that is taken up waits for longer, within half of its time", t, func() {
		So(waitOf(placement.Job{Deadline: 13_000}), ShouldEqual, 150)
		So(waitOf(placement.Job{Deadline: 13_000, Resumes: true}), ShouldEqual, 1500)
		So(waitOf(placement.Job{Deadline: 13_000, HasVersion: true}), ShouldEqual, 1500)
		So(waitOf(placement.Job{Deadline: 2000, Resumes: true}), ShouldEqual, 500)
	})
	Convey("An entry that goes on with a stream waits from the last event on, and the job counts as no repeated one", t, func() {
		job := &placement.Job{Arrived: 1000, Objective: 300, QueueDeadline: 1150, Deadline: 13_000, RefusedBefore: true}
		job.GoOn(4000, 3000)
		So(job.QueueDeadline, ShouldEqual, 4500)
		So(job.Resumes, ShouldBeTrue)
		So(job.RefusedBefore, ShouldBeFalse)
		job.GoOn(4490, 3000)
		So(job.QueueDeadline, ShouldEqual, 4565)
	})
	Convey("A stream that goes on waits until its queue deadline, whatever wait is expected", t, func() {
		s := newScheduler(&catalog.Service{ID: pool, Engine: true}, targets(1, 1)...)
		submit(s, 1, &placement.Job{})
		begins := submit(s, 2, &placement.Job{QueueDeadline: 1500})
		goesOn := submit(s, 2, &placement.Job{QueueDeadline: 1500, Resumes: true})
		s.Tick(1400)
		So(begins.Refusal, ShouldNotBeNil)
		So(goesOn.Refusal, ShouldBeNil)
		s.Tick(1500)
		So(goesOn.Refusal, ShouldNotBeNil)
	})
}
