// Command soak runs entries of lovageshift as processes on loopback, injects random faults and checks that the system's
// invariants hold. In its output, BROKEN marks a violation of an invariant, and findings is the number of violations.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"lovageshift/command"
	"lovageshift/soak"
)

const help = `Runs entries as processes of their own on loopback addresses, with stand-in targets
and a stand-in store, injects random faults from outside the processes, and checks the
system's invariants against what callers and targets observed. Without --program, the
lovageshift program in the directory of this one is run. Each seed is one run; every
violation of an invariant is printed with its seed and the word BROKEN and counted as
a finding, and the logs of that run are kept.`

var errViolated = trace.BadParameter("invariants were violated")

func main() {
	options := soak.DefaultOptions()
	var seeds, jobs int
	root := &cobra.Command{
		Use:   "soak",
		Short: "Check the invariants of entries under random faults",
		Long:  help,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runSeeds(command, options, seeds, jobs)
		},
	}
	flags := root.Flags()
	flags.Uint64Var(&options.Seed, "seed", 1, "first seed")
	flags.IntVar(&seeds, "seeds", 1, "number of seeds, counting up from the first")
	flags.IntVar(&jobs, "jobs", 1, "number of runs at the same time")
	flags.IntVar(&options.Entries, "entries", options.Entries, "number of entries, each a process")
	flags.IntVar(&options.Targets, "targets", options.Targets, "number of targets, half of them for streams and half for plain requests")
	flags.IntVar(&options.Callers, "callers", options.Callers, "number of callers")
	flags.Int64Var((*int64)(&options.FaultWindow), "millis", int64(options.FaultWindow), "period in which faults begin, from the start of traffic, in milliseconds")
	flags.BoolVar(&options.Notices, "notices", false, "add targets that say that they leave, or for how long they refuse requests")
	flags.BoolVar(&options.Ends, "ends", false, "add answers that end with their connection, callers of HTTP/1.0 and a short grace period")
	flags.BoolVar(&options.Stalls, "stalls", false,
		"add callers that hold back the ends of their bodies, and limits for memory and descriptors")
	flags.BoolVar(&options.Stops, "stops", false, "add series of stops and reloads of entries")
	flags.StringVar(&options.Program, "program", "", "path of the lovageshift program")
	flags.StringVar(&options.Folder, "folder", "", "folder for settings and logs (default a new temporary one)")
	root.AddCommand(command.Version(root.Name()))
	os.Exit(command.Run(root))
}

// runSeeds runs the seeds, at most jobs at the same time, and prints the number of violations. It returns errViolated if
// there are any.
func runSeeds(command *cobra.Command, options soak.Options, seeds, jobs int) error {
	if options.Program == "" {
		executable, err := os.Executable()
		if err != nil {
			return err
		}
		options.Program = filepath.Join(filepath.Dir(executable), "lovageshift")
	}
	if options.Folder == "" {
		folder, err := os.MkdirTemp("", "soak")
		if err != nil {
			return err
		}
		options.Folder = folder
	}
	violations := 0
	results := make(chan int, seeds)
	var runs errgroup.Group
	runs.SetLimit(jobs)
	for i := range seeds {
		seedOptions := options
		seedOptions.Seed += uint64(i)
		seedOptions.Folder = filepath.Join(options.Folder, fmt.Sprintf("seed-%d", seedOptions.Seed))
		runs.Go(func() error {
			count, err := runSeed(command, seedOptions)
			results <- count
			return err
		})
	}
	err := runs.Wait()
	close(results)
	for count := range results {
		violations += count
	}
	fmt.Fprintf(command.OutOrStdout(), "%d seeds, %d findings\n", seeds, violations)
	if err == nil && violations > 0 {
		return errViolated
	}
	return err
}

// runSeed runs one seed, prints its violations and returns their number. The folder of a run without violations is
// removed.
func runSeed(command *cobra.Command, options soak.Options) (int, error) {
	if err := os.MkdirAll(options.Folder, 0o700); err != nil {
		return 0, err
	}
	history, err := soak.Run(command.Context(), options)
	if err != nil {
		return 0, trace.Wrap(err, "seed %d", options.Seed)
	}
	violations := soak.Check(history)
	out := command.OutOrStdout()
	fmt.Fprintf(out, "seed %d: %s\n", options.Seed, history.Summary())
	for _, violation := range soak.SortByInvariant(violations) {
		fmt.Fprintf(out, "seed %d BROKEN %s: %s\n", options.Seed, violation.Invariant, violation.Detail)
	}
	if len(violations) == 0 {
		return 0, os.RemoveAll(options.Folder)
	}
	fmt.Fprintf(out, "seed %d: logs in %s\n", options.Seed, options.Folder)
	return len(violations), nil
}
