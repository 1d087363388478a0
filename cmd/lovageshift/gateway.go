package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"lovageshift/hedge"
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
restart.

With --` + hedgeShareFlag + ` above 0, a safe request whose response is slow is sent to a second target
while the first one runs. The share limits such second attempts in the safe requests
of a service.`

const hedgeShareFlag = "hedge-share"

func gatewayCommand() *cobra.Command {
	var options process.GatewayOptions
	command := &cobra.Command{
		Use:   gatewayName,
		Short: "Run an entry on the users' platform",
		Long:  gatewayHelp,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if !(options.HedgeShare >= 0 && options.HedgeShare <= hedge.MaxShare) { // not a number is neither
				return trace.BadParameter("--%s: %v is not from 0 to %v", hedgeShareFlag, options.HedgeShare, hedge.MaxShare)
			}
			path, err := settingsPath()
			if err != nil {
				return err
			}
			return process.RunGateway(command.Context(), path, hangups, options)
		},
	}
	flags := command.Flags()
	flags.BoolVar(&options.Policy.FairShares, "fair-shares", false, "divide the slots for requests of a rank among the client accounts")
	flags.BoolVar(&options.Policy.EarlyRefusals, "early-refusals", false, "refuse requests earlier that may get no slot in time")
	flags.Float64Var(&options.HedgeShare, hedgeShareFlag, 0, "largest share of second attempts of safe requests, 0 to 0.5")
	return command
}
