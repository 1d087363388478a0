package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"lovageshift"
)

// Run executes the root command and returns the exit code: 0, or 1 after an error, which it prints to standard error.
// An interrupt or SIGTERM cancels the command's context.
func Run(root *cobra.Command) int {
	// The function that stops catching the signals is never called, so that a second signal doesn't kill the program
	// during its shutdown and change the exit code.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	logToStandardError()
	defer klog.Flush()
	root.SilenceUsage, root.SilenceErrors = true, true
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, root.Name()+": "+err.Error())
		return 1
	}
	return 0
}

// logToStandardError makes klog log to standard error; klog can only be configured by flags.
func logToStandardError() {
	flags := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("logtostderr", "true")
}

const versionHelp = `Prints the version of this program.`

// Version returns the command that prints a program's version.
func Version(program string) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Long:  versionHelp,
		Args:  cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) {
			fmt.Fprintln(command.OutOrStdout(), program+" "+lovageshift.Version)
		},
	}
}
