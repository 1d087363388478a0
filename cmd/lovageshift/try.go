package main

import (
	"github.com/spf13/cobra"

	"lovageshift/try"
)

const tryHelp = `Brings up the whole path in this process on loopback: an entry, agents, stand-in
engines of two speeds and plain services. The sample folder is written if it is
missing and watched for edits.`

func tryCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "try",
		Short: "Run everything on loopback with stand-in engines",
		Long:  tryHelp,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return try.Run(command.Context(), path, command.OutOrStdout())
		},
	}
	command.Flags().StringVar(&path, "folder", "lovageshift-sample", "configuration folder")
	return command
}
