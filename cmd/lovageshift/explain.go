package main

import (
	"github.com/spf13/cobra"

	"lovageshift/eventlog"
)

const explainHelp = `Reads log lines of any number of entries from standard input and prints those about
the request with the id REQUEST in order of time.`

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST",
		Short: "Print the log lines about one request in order of time",
		Long:  explainHelp,
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return eventlog.FilterRequest(command.InOrStdin(), args[0], command.OutOrStdout())
		},
	}
}
