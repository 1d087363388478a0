package main

import (
	"github.com/spf13/cobra"

	"lovageshift/try"
)

const tryHelp = `Runs a whole system in this process on loopback: an entry, agents, stand-in engines
of two speeds and plain services. A sample configuration folder is written if there is
none, and watched for changes. With --platform it runs two entries on the users'
platform instead, which reach stand-in targets without agents.`

func tryCommand() *cobra.Command {
	var folder string
	var onPlatform bool
	command := &cobra.Command{
		Use:   "try",
		Short: "Run a whole system on loopback with stand-in engines",
		Long:  tryHelp,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if onPlatform {
				return try.RunPlatform(command.Context(), command.ErrOrStderr())
			}
			return try.Run(command.Context(), folder, command.OutOrStdout())
		},
	}
	command.Flags().StringVar(&folder, "folder", "lovageshift-sample", "configuration folder")
	command.Flags().BoolVar(&onPlatform, "platform", false, "run entries on the users' platform")
	return command
}
