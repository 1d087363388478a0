// Command soak runs lovageshift's entries as processes on loopback under random faults and checks its promises.
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
and a stand-in store, injects random faults from outside them, and checks from what
callers and targets saw that the system's promises hold. The program lovageshift is
looked for beside this one. Each seed is one run; what breaks a promise is printed with
its seed, and its logs are kept.`

var errBroken = trace.BadParameter("promises were broken")

func main() {
	options := soak.DefaultOptions()
	var seeds, jobs int
	root := &cobra.Command{
		Use:   "soak",
		Short: "Check the promises of entries under random faults",
		Long:  help,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runSeeds(command, options, seeds, jobs)
		},
	}
	flags := root.Flags()
	flags.Uint64Var(&options.Seed, "seed", 1, "first seed")
	flags.IntVar(&seeds, "seeds", 1, "number of seeds, from the first on")
	flags.IntVar(&jobs, "jobs", 1, "runs at the same time")
	flags.IntVar(&options.Entries, "entries", options.Entries, "processes")
	flags.IntVar(&options.Targets, "targets", options.Targets, "targets, half of them engines")
	flags.IntVar(&options.Callers, "callers", options.Callers, "clients")
	flags.Int64Var((*int64)(&options.FaultWindow), "millis", int64(options.FaultWindow), "time in which faults begin, in milliseconds")
	flags.StringVar(&options.Program, "program", "", "path of the lovageshift program")
	flags.StringVar(&options.Folder, "folder", "", "where settings and logs go")
	root.AddCommand(command.Version(root.Name()))
	os.Exit(command.Run(root))
}

func runSeeds(command *cobra.Command, options soak.Options, seeds, jobs int) error {
	if options.Program == "" {
		own, err := os.Executable()
		if err != nil {
			return err
		}
		options.Program = filepath.Join(filepath.Dir(own), "lovageshift")
	}
	if options.Folder == "" {
		folder, err := os.MkdirTemp("", "soak")
		if err != nil {
			return err
		}
		options.Folder = folder
	}
	broken := 0
	results := make(chan int, seeds)
	var runs errgroup.Group
	runs.SetLimit(jobs)
	for number := range seeds {
		one := options
		one.Seed += uint64(number)
		one.Folder = filepath.Join(options.Folder, fmt.Sprintf("seed-%d", one.Seed))
		runs.Go(func() error {
			found, err := runSeed(command, one)
			results <- found
			return err
		})
	}
	err := runs.Wait()
	close(results)
	for found := range results {
		broken += found
	}
	fmt.Fprintf(command.OutOrStdout(), "%d seeds, %d findings\n", seeds, broken)
	if err == nil && broken > 0 {
		return errBroken
	}
	return err
}

func runSeed(command *cobra.Command, options soak.Options) (int, error) {
	if err := os.MkdirAll(options.Folder, 0o700); err != nil {
		return 0, err
	}
	history, err := soak.Run(command.Context(), options)
	if err != nil {
		return 0, trace.Wrap(err, "seed %d", options.Seed)
	}
	findings := soak.Check(history)
	out := command.OutOrStdout()
	fmt.Fprintf(out, "seed %d: %s\n", options.Seed, history.Summary())
	for _, finding := range soak.SortByInvariant(findings) {
		fmt.Fprintf(out, "seed %d BROKEN %s: %s\n", options.Seed, finding.Invariant, finding.Detail)
	}
	if len(findings) == 0 {
		return 0, os.RemoveAll(options.Folder)
	}
	fmt.Fprintf(out, "seed %d: logs in %s\n", options.Seed, options.Folder)
	return len(findings), nil
}
