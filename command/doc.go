// Package command holds what the programs' command lines have in common: the
// handling of signals, logging, exit codes and the version command.
package command
