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

// hangups delivers SIGHUP from the first moment to the last, as an unhandled one would end the process.
var hangups = watchHangups()

// Other commands end when their terminal goes, as usual.
func watchHangups() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	if len(os.Args) > 1 && os.Args[1] == gatewayName {
		signal.Notify(signals, syscall.SIGHUP)
	}
	return signals
}

const gatewayName = "gateway"

const gatewayHelp = `Runs an entry on the users' platform, which reaches targets without agents. The
settings file is the one that ` + platform.SettingsVariable + ` names. SIGTERM stops the
entry gracefully; SIGHUP makes it read the settings again.`

func gatewayCommand() *cobra.Command {
	return &cobra.Command{
		Use:   gatewayName,
		Short: "Run an entry on the users' platform",
		Long:  gatewayHelp,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			path := os.Getenv(platform.SettingsVariable)
			if path == "" {
				return trace.BadParameter("%s names no settings file", platform.SettingsVariable)
			}
			return process.RunGateway(command.Context(), path, hangups)
		},
	}
}
