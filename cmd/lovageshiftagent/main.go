// Command lovageshiftagent runs an agent, the process beside a target.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"lovageshift/command"
)

func main() {
	root := &cobra.Command{
		Use:   "lovageshiftagent",
		Short: "Runs beside a target and is the only process that sends it requests",
	}
	root.AddCommand(serveCommand(), command.Version(root.Name()))
	os.Exit(command.Run(root))
}
