package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"lovageshift/platform"
	"lovageshift/process"
)

// hangups delivers SIGHUP. It is registered when the program is initialized and stays so until the process ends, as an
// unhandled SIGHUP would kill it.
var hangups = watchHangups()

// watchHangups registers for SIGHUP if the command is gateway. Other commands end when their terminal is closed, as
// usual.
func watchHangups() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	if len(os.Args) > 1 && os.Args[1] == gatewayName {
		signal.Notify(signals, syscall.SIGHUP)
	}
	return signals
}

const gatewayName = "gateway"

const gatewayHelp = `Runs an entry on the users' platform, which reaches targets without agents. The
path of the settings file is taken from ` + platform.SettingsVariable + `. SIGTERM stops the
entry gracefully; SIGHUP makes it reload the settings.`

func gatewayCommand() *cobra.Command {
	return &cobra.Command{
		Use:   gatewayName,
		Short: "Run an entry on the users' platform",
		Long:  gatewayHelp,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			path := os.Getenv(platform.SettingsVariable)
			if path == "" {
				return trace.BadParameter("%s is not set to the path of a settings file", platform.SettingsVariable)
			}
			return process.RunGateway(command.Context(), path, hangups)
		},
	}
}
