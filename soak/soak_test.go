package soak_test

import (
	"context"
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

func TestPromisesHoldUnderFaults(t *testing.T) {
	program := build(t)
	// Seeds for a short run, and each seed that ever broke a promise.
	seeds := []uint64{1, 2}
	found := make([][]soak.Finding, len(seeds))
	requests := make([]int, len(seeds))
	var runs errgroup.Group
	for number, seed := range seeds {
		options := soak.DefaultOptions()
		options.Program, options.Folder, options.Seed = program, t.TempDir(), seed
		options.Entries, options.Callers, options.Trouble = 3, 12, 8000
		runs.Go(func() error {
			history, err := soak.Run(context.Background(), options)
			if err == nil {
				found[number], requests[number] = soak.Judge(history), len(history.Attempts)
			}
			return err
		})
	}
	err := runs.Wait()
	Convey("No seed breaks a promise", t, func() {
		So(err, ShouldBeNil)
		for number, seed := range seeds {
			Printf("seed %d ", seed)
			So(found[number], ShouldBeEmpty)
			So(requests[number], ShouldBeGreaterThan, 0)
		}
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
