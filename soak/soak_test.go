package soak_test

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/gravitational/trace"
	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"lovageshift/soak"
)

// build builds the program with the race detector and returns its path.
func build(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "lovageshift")
	output, err := exec.Command("go", "build", "-race", "-o", program, "lovageshift/cmd/lovageshift").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return program
}

// maxParallelRuns is the number of concurrent runs that the processors of an ordinary computer can handle.
const maxParallelRuns = 3

// runSeeds runs the seeds. It returns a description of each violation, with the seed of its run, and for each seed the
// number of requests that callers sent.
func runSeeds(t *testing.T, options soak.Options, seeds ...uint64) (descriptions []string, requests []int, err error) {
	options.Program = build(t)
	violations := make([][]soak.Violation, len(seeds))
	requests = make([]int, len(seeds))
	var runs errgroup.Group
	runs.SetLimit(maxParallelRuns)
	for number, seed := range seeds {
		o := options
		o.Seed, o.Folder = seed, t.TempDir()
		runs.Go(func() error {
			history, err := soak.Run(context.Background(), o)
			if err == nil {
				violations[number], requests[number] = soak.Check(history), len(history.Attempts)
			}
			return err
		})
	}
	err = runs.Wait()
	for number, found := range violations {
		for _, violation := range found {
			descriptions = append(descriptions,
				fmt.Sprintf("seed %d: %s: %s", seeds[number], violation.Invariant, violation.Detail))
		}
	}
	return descriptions, requests, err
}

func TestInvariantsHoldUnderFaults(t *testing.T) {
	t.Parallel()
	options := soak.DefaultOptions()
	options.Entries, options.Callers, options.FaultWindow = 3, 12, 8000
	violations, requests, err := runSeeds(t, options, 1, 2)
	Convey("A short run violates no invariant", t, func() {
		So(err, ShouldBeNil)
		So(violations, ShouldBeEmpty)
		So(requests, ShouldNotContain, 0)
	})
}

// TestRegressionSeeds runs the seeds that docs/SOAK.md lists at the default size. Each of them once violated an
// invariant.
func TestRegressionSeeds(t *testing.T) {
	violations, requests, err := runSeeds(t, soak.DefaultOptions(), 107, 110, 122, 130, 314, 403)
	Convey("Seeds that once violated an invariant violate none", t, func() {
		So(err, ShouldBeNil)
		So(violations, ShouldBeEmpty)
		So(requests, ShouldNotContain, 0)
	})
}

// TestTargetsThatLeaveOrAreFull runs seeds in which entries once sent requests to targets that had said that they leave, or for
// how long they refuse requests.
func TestTargetsThatLeaveOrAreFull(t *testing.T) {
	options := soak.DefaultOptions()
	options.Notices = true
	violations, requests, err := runSeeds(t, options, 903, 935)
	Convey("Targets that leave or are full get no requests that they do not want", t, func() {
		So(err, ShouldBeNil)
		So(violations, ShouldBeEmpty)
		So(requests, ShouldNotContain, 0)
	})
}

// TestAnswersDoNotLookComplete runs seeds in which callers once took answers for whole whose entry or target had ended.
func TestAnswersDoNotLookComplete(t *testing.T) {
	options := soak.DefaultOptions()
	options.Ends = true
	violations, requests, err := runSeeds(t, options, 5000, 5006)
	Convey("Answers that end early do not look complete", t, func() {
		So(err, ShouldBeNil)
		So(violations, ShouldBeEmpty)
		So(requests, ShouldNotContain, 0)
	})
}

// Guards against entries that stop and leave requests, of which they have received a part, without an answer.
func TestBegunRequestsAreAnsweredWhileEntriesStop(t *testing.T) {
	t.Parallel()
	options := soak.DefaultOptions()
	options.Stops, options.Entries, options.Callers, options.FaultWindow = true, 3, 12, 6000
	violations, requests, err := runSeeds(t, options, 7000, 7002)
	Convey("Series of stops leave no begun request without an answer", t, func() {
		So(err, ShouldBeNil)
		So(violations, ShouldBeEmpty)
		So(requests, ShouldNotContain, 0)
	})
}

func TestTooLargeRunIsRefused(t *testing.T) {
	Convey("A run that may need more file descriptors than the limit returns an error", t, func() {
		options := soak.DefaultOptions()
		options.Entries = 1 << 32
		_, err := soak.Run(context.Background(), options)
		So(trace.IsLimitExceeded(err), ShouldBeTrue)
	})
}

func TestPlanIsDeterministic(t *testing.T) {
	Convey("A seed gives the same faults each time, and another seed gives other faults", t, func() {
		So(soak.NewPlan(7, 14_000), ShouldResemble, soak.NewPlan(7, 14_000))
		So(soak.NewPlan(7, 14_000), ShouldNotResemble, soak.NewPlan(8, 14_000))
	})
}
