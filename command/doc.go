// Package command holds what the command lines of the programs share: signals,
// logging, exit codes and the version command.
package command
