package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"lovageshift/process"
	"lovageshift/settings"
)

const serveHelp = `Runs an entry with the settings file given. SIGTERM or an interrupt stops it
gracefully: the load balancer's readiness check fails from then on, the entry serves
new requests for another drainDelayMillis, and it ends when every running request has
its response.

--sample prints a settings file with every key and its default.`

func serveCommand() *cobra.Command {
	var sample bool
	command := &cobra.Command{
		Use:   "serve [SETTINGS]",
		Short: "Run an entry",
		Long:  serveHelp,
		Args:  cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if sample {
				text, err := settings.Sample(settings.DefaultEntry())
				fmt.Fprint(command.OutOrStdout(), text)
				return err
			}
			if len(args) == 0 {
				return command.Usage()
			}
			entry, err := settings.ReadEntry(args[0])
			if err != nil {
				return err
			}
			return process.RunEntry(command.Context(), entry)
		},
	}
	command.Flags().BoolVar(&sample, "sample", false, "print a settings file with the defaults")
	return command
}
