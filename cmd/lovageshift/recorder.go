package main

import (
	"github.com/spf13/cobra"

	"lovageshift/platform"
	"lovageshift/process"
)

const recorderName = "recorder"

const recorderHelp = `Runs a recorder on the users' platform, beside a target: it keeps which software
version began which stream, so that streams go on at that version also after all
entries were lost. The path of the settings file is taken from ` + platform.SettingsVariable + `.`

func recorderCommand() *cobra.Command {
	return &cobra.Command{
		Use:   recorderName,
		Short: "Run a recorder of streams on the users' platform",
		Long:  recorderHelp,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			path, err := settingsPath()
			if err != nil {
				return err
			}
			return process.RunRecorder(command.Context(), path)
		},
	}
}
