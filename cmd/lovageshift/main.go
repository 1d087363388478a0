// Command lovageshift runs an entry and is the operators' command line.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	logFlags()
	defer klog.Flush()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "lovageshift: "+err.Error())
		return 1
	}
	return 0
}

// logFlags sends logs to standard error; klog takes its settings by flags only.
func logFlags() {
	flags := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("logtostderr", "true")
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "lovageshift",
		Short:         "Schedules language-model requests across unlike engines",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), checkCommand(), showCommand(), keyCommand(), tryCommand(), standinCommand(), versionCommand())
	return root
}
