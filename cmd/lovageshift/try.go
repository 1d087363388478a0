package main

import (
	"github.com/spf13/cobra"

	"lovageshift/try"
)

const tryHelp = `Brings up the whole path in this process on loopback: an entry, agents, stand-in
engines of two speeds and plain services. The sample folder is written if it is
missing and watched for edits. With --platform it brings up two entries of the users'
platform instead, which reach stand-in targets without agents.`

func tryCommand() *cobra.Command {
	var path string
	var onPlatform bool
	command := &cobra.Command{
		Use:   "try",
		Short: "Run everything on loopback with stand-in engines",
		Long:  tryHelp,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if onPlatform {
				return try.RunPlatform(command.Context(), command.ErrOrStderr())
			}
			return try.Run(command.Context(), path, command.OutOrStdout())
		},
	}
	command.Flags().StringVar(&path, "folder", "lovageshift-sample", "configuration folder")
	command.Flags().BoolVar(&onPlatform, "platform", false, "run entries of the users' platform")
	return command
}
