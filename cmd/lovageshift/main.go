// Command lovageshift runs an entry and provides the operators' commands.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"lovageshift/command"
)

func main() {
	root := &cobra.Command{
		Use:   "lovageshift",
		Short: "Schedules language-model requests across heterogeneous engines",
	}
	root.AddCommand(serveCommand(), gatewayCommand(), recorderCommand(), checkCommand(), showCommand(), keyCommand(),
		explainCommand(), whereCommand(), tryCommand(),
		standinCommand(),
		command.Version(root.Name()))
	os.Exit(command.Run(root))
}
