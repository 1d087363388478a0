package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"lovageshift/process"
	"lovageshift/settings"
)

const serveHelp = `Runs an agent with the settings file given. SIGTERM or an interrupt stops it
gracefully: the agent notifies the entries, refuses new and queued requests, and ends
when no request runs any longer, or with an error after stopTimeoutMillis.

--sample prints a settings file with every key and its default.`

func serveCommand() *cobra.Command {
	var sample bool
	command := &cobra.Command{
		Use:   "serve [SETTINGS]",
		Short: "Run an agent",
		Long:  serveHelp,
		Args:  cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if sample {
				text, err := settings.Sample(settings.DefaultAgent())
				fmt.Fprint(command.OutOrStdout(), text)
				return err
			}
			if len(args) == 0 {
				return command.Usage()
			}
			agent, err := settings.ReadAgent(args[0])
			if err != nil {
				return err
			}
			return process.RunAgent(command.Context(), agent)
		},
	}
	command.Flags().BoolVar(&sample, "sample", false, "print a settings file with the defaults")
	return command
}
