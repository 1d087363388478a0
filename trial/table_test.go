package trial_test

import (
	"flag"
	"fmt"
	"io"
	"os"
	"testing"
	"testing/synctest"
	"text/tabwriter"
	"time"

	"lovageshift/fleet"
	"lovageshift/standin"
	"lovageshift/trial"
)

var (
	table     = flag.Bool("table", false, "run the long measurements too: the table of policies, faults and the fleet of 100 processes")
	runLength = flag.Duration("length", 20*time.Second, "virtual time of each run of the table of policies")
	only      = flag.String("only", "", "run only this policy of the table; 100 measures the propagation of changes only in the fleet of 100 processes")
)

const seed = 11

// runCandidate runs a random workload of the classes on a new fleet of the candidate, warmed up with 20 s of requests.
// Load is the rate of requests relative to the fleet's capacity for the mixed classes. The function betweenRuns, unless
// it is nil, runs between the warm-up and the measured run.
func runCandidate(t *testing.T, candidate trial.Candidate, classes []trial.Class, load float64, betweenRuns func(*fleet.Fleet)) *trial.Result {
	t.Helper()
	var result *trial.Result
	synctest.Test(t, func(*testing.T) {
		spec := candidate.FleetSpec(classes, seed)
		f := fleet.Start(spec)
		defer f.Stop()
		cacheIndex := standin.NewCacheIndex()
		for _, engine := range f.Engines {
			engine.SetCacheIndex(cacheIndex)
		}
		rate := load * trial.Capacity(trial.MixedClasses(), spec.Engines)
		warmUp := trial.Arrivals(classes, min(rate, 20), 20*time.Second, spec.Entries, seed+1)
		trial.Run(f, warmUp, 20*time.Second)
		if betweenRuns != nil {
			betweenRuns(f)
		}
		result = trial.Run(f, trial.Arrivals(classes, rate, *runLength, spec.Entries, seed), *runLength)
	})
	return result
}

// urgentOnly returns the classes of the urgent tier and the sum of their shares.
func urgentOnly(classes []trial.Class) ([]trial.Class, float64) {
	var urgent []trial.Class
	share := 0.0
	for _, class := range classes {
		if class.Tier == "urgent" {
			urgent = append(urgent, class)
			share += class.Share
		}
	}
	return urgent, share
}

// TestPolicyTable prints the measures of every policy at 0.7, 1 and 3 times the capacity, and of lovageshift with only
// the urgent requests of the workload at 3 times.
func TestPolicyTable(t *testing.T) {
	if !*table {
		t.Skip("run with -args -table")
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(out, "load\tpolicy\toffered/s\tgood/s\turgent offered/s\turgent good/s\tnormal good/s\tpatient good/s\turgent first token p95\twasted prefill\tcold overloads\trefusals")
	classes := trial.MixedClasses()
	for _, load := range []float64{0.7, 1, 3} {
		for _, candidate := range trial.Candidates() {
			if *only == "" || *only == candidate.Name {
				writeRow(out, load, candidate, runCandidate(t, candidate, classes, load, nil))
				_ = out.Flush()
			}
		}
	}
	urgent, share := urgentOnly(classes)
	urgentAlone := runCandidate(t, trial.Candidates()[0], urgent, 3*share, nil)
	writeRow(out, 3*share, trial.Candidate{Name: "lovageshift, urgent alone"}, urgentAlone)
	_ = out.Flush()
}

// writeRow writes the measures of one run as a row of the table.
func writeRow(out io.Writer, load float64, candidate trial.Candidate, result *trial.Result) {
	overloads := 0
	for _, stats := range result.Engines {
		overloads += stats.ColdOverloads
	}
	fmt.Fprintf(out, "%.1f\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%v\t%.1f%%\t%d\t%v\n",
		load, candidate.Name, result.OfferedRate(""), result.Goodput(""), result.OfferedRate("urgent"), result.Goodput("urgent"), result.Goodput("normal"),
		result.Goodput("patient"), result.TimeToFirstTokenQuantile("urgent", 0.95).Round(time.Millisecond), 100*result.WastedPrefillShare(), overloads, result.ReasonCounts())
}
