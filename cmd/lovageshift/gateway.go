package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"lovageshift/platform"
	"lovageshift/process"
)

// hangups delivers SIGHUP to the gateway command; the recorder command ignores it. The signal is caught from the initialization of the program until its
// end, because a SIGHUP that is not caught would kill the process.
var hangups = watchHangups()

// watchHangups catches SIGHUP if the program was started with the gateway or the recorder command. Other commands don't catch
// it, so that they end when their terminal is closed.
func watchHangups() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	if len(os.Args) > 1 && (os.Args[1] == gatewayName || os.Args[1] == recorderName) {
		signal.Notify(signals, syscall.SIGHUP)
	}
	return signals
}

const gatewayName = "gateway"

const gatewayHelp = `Runs an entry on the users' platform, which reaches targets without agents. The
path of the settings file is taken from ` + platform.SettingsVariable + `. SIGTERM stops the
entry gracefully. SIGHUP or a change of the file makes it reload the settings; only
changes of the store's address, the seeds and the grace period take effect without a
restart.`

func gatewayCommand() *cobra.Command {
	return &cobra.Command{
		Use:   gatewayName,
		Short: "Run an entry on the users' platform",
		Long:  gatewayHelp,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			path, err := settingsPath()
			if err != nil {
				return err
			}
			return process.RunGateway(command.Context(), path, hangups)
		},
	}
}
