package main

import (
	"github.com/spf13/cobra"

	"lovageshift/link"
	"lovageshift/standin"
)

const standinHelp = `Runs a stand-in engine, or with --service a stand-in plain service, on a loopback
IP:port until interrupted, for trials with entries and agents as separate processes.`

func standinCommand() *cobra.Command {
	var service, slow bool
	command := &cobra.Command{
		Use:   "standin ADDRESS",
		Short: "Run a stand-in engine or service",
		Long:  standinHelp,
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			profile := standin.FastProfile()
			if slow {
				profile = standin.SlowProfile()
			}
			handler := standin.NewEngine(args[0], profile).Handler()
			if service {
				handler = standin.NewService()
			}
			host := standin.NewHost(link.NewNetwork(link.Plaintext()), args[0], handler)
			if err := host.Start(); err != nil {
				return err
			}
			<-command.Context().Done()
			host.Close(command.Context())
			return nil
		},
	}
	command.Flags().BoolVar(&service, "service", false, "run a plain service instead of an engine")
	command.Flags().BoolVar(&slow, "slow", false, "run an engine as slow as on the older hardware generation")
	return command
}
