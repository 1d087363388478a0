package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"lovageshift"
)

const versionHelp = `Prints the version of this program.`

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Long:  versionHelp,
		Args:  cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) {
			fmt.Fprintln(command.OutOrStdout(), "lovageshift "+lovageshift.Version)
		},
	}
}
