package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"lovageshift"
)

const keyHelp = `Generates a key for a client account and prints its secret and its hash. The secret is
shown only once and is given to the caller; the hash goes into a configuration file:

  [keys.NAME]
  account = "ACCOUNT"
  hash = "sha256:..."`

func keyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "key",
		Short: "Generate a key for a client account and its hash for the configuration",
		Long:  keyHelp,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			secret := lovageshift.NewSecret()
			hash, err := lovageshift.HashSecret(secret)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(command.OutOrStdout(), "secret = %q\nhash = %q\n", secret, hash.String())
			return err
		},
	}
}
