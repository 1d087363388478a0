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

// build makes the program with the race detector and returns its path.
func build(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "lovageshift")
	output, err := exec.Command("go", "build", "-race", "-o", program, "lovageshift/cmd/lovageshift").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return program
}

// Runs at the same time, which the processors of a usual machine bear.
const runsAtOnce = 3

// play runs the seeds and returns what broke a promise, with its seed, and how many requests each had.
func play(t *testing.T, options soak.Options, seeds ...uint64) (broken []string, requests []int, err error) {
	options.Program = build(t)
	found := make([][]soak.Violation, len(seeds))
	requests = make([]int, len(seeds))
	var runs errgroup.Group
	runs.SetLimit(runsAtOnce)
	for number, seed := range seeds {
		one := options
		one.Seed, one.Folder = seed, t.TempDir()
		runs.Go(func() error {
			history, err := soak.Run(context.Background(), one)
			if err == nil {
				found[number], requests[number] = soak.Check(history), len(history.Attempts)
			}
			return err
		})
	}
	err = runs.Wait()
	for number, findings := range found {
		for _, finding := range findings {
			broken = append(broken, fmt.Sprintf("seed %d: %s: %s", seeds[number], finding.Invariant, finding.Detail))
		}
	}
	return broken, requests, err
}

func TestPromisesHoldUnderFaults(t *testing.T) {
	options := soak.DefaultOptions()
	options.Entries, options.Callers, options.FaultWindow = 3, 12, 8000
	broken, requests, err := play(t, options, 1, 2)
	Convey("No short run breaks a promise", t, func() {
		So(err, ShouldBeNil)
		So(broken, ShouldBeEmpty)
		So(requests, ShouldNotContain, 0)
	})
}

// TestSeedsThatFailed plays the seeds of docs/SOAK.md in their full size.
func TestSeedsThatFailed(t *testing.T) {
	broken, requests, err := play(t, soak.DefaultOptions(), 107, 110, 122, 130, 314, 403)
	Convey("No seed that once broke a promise does so again", t, func() {
		So(err, ShouldBeNil)
		So(broken, ShouldBeEmpty)
		So(requests, ShouldNotContain, 0)
	})
}

func TestTooLargeRunIsRefused(t *testing.T) {
	Convey("A run that needs more descriptors than there can be says so", t, func() {
		options := soak.DefaultOptions()
		options.Entries = 1 << 32
		_, err := soak.Run(context.Background(), options)
		So(trace.IsLimitExceeded(err), ShouldBeTrue)
	})
}

func TestPlansOfASeedAreTheSame(t *testing.T) {
	Convey("A seed gives the same faults each time, and another seed others", t, func() {
		So(soak.NewPlan(7, 14_000), ShouldResemble, soak.NewPlan(7, 14_000))
		So(soak.NewPlan(7, 14_000), ShouldNotResemble, soak.NewPlan(8, 14_000))
	})
}
