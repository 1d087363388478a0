package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"sort"

	"github.com/spf13/cobra"

	"lovageshift/folder"
)

const checkHelp = `Reads a configuration folder in the same way as entries and agents. It prints each
field of the configuration with the file and line that set it, or every error with
file, line and key. Given a file with a configuration published on the users' platform, or the IP:port
of the platform's metadata store, it prints the configuration as an entry decodes it.
For a store, it also prints the targets, the availability zones out of service, and the
changes that an entry logs when it reads the records, including records that it skips.`

var errCheckFailed = errors.New("the configuration has errors")

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FOLDER|FILE|IP:PORT",
		Short: "Check a configuration, in a folder or published",
		Long:  checkHelp,
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return checkLocation(command.Context(), command.OutOrStdout(), args[0])
		},
	}
}

// checkLocation checks the store at an IP:port, or the configuration in a file or folder.
func checkLocation(ctx context.Context, out io.Writer, location string) error {
	if _, err := netip.ParseAddrPort(location); err == nil {
		return checkStore(ctx, out, location)
	}
	if info, err := os.Stat(location); err == nil && info.Mode().IsRegular() {
		return checkFile(out, location)
	}
	return checkFolder(out, location)
}

// checkFolder prints each field of the configuration in the folder with the file and line that set it, or every error.
func checkFolder(out io.Writer, path string) error {
	fileSet, err := folder.NewDirectory(path).Read()
	if err != nil {
		return err
	}
	merged, err := folder.Explain(fileSet.Revision, fileSet.Files)
	var faults folder.Faults
	if errors.As(err, &faults) {
		for _, fault := range faults {
			fmt.Fprintln(out, fault.Error())
		}
		return errCheckFailed
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "revision %d, hash %s\n", merged.Config.Revision, merged.Config.Hash)
	paths := make([]string, 0, len(merged.Sources))
	for path := range merged.Sources {
		paths = append(paths, path)
	}
	sort.Strings(paths)
	for _, path := range paths {
		source := merged.Sources[path]
		if source.Text == "" {
			continue
		}
		fmt.Fprintf(out, "%s = %s  (%s:%d)\n", path, source.Text, source.File, source.Line)
	}
	return nil
}
