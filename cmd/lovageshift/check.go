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

const checkHelp = `Reads a configuration folder as the processes do. It prints each field in force
with the file and line that set it, or every error with file, line and key. With the
IP:port of the users' platform's store, or a file that holds a published configuration,
it prints what an entry would make of it, and the records that it would skip.`

var errCheckFailed = errors.New("the configuration is refused")

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FOLDER|FILE|IP:PORT",
		Short: "Check a configuration, in a folder or published",
		Long:  checkHelp,
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return checkAny(command.Context(), command.OutOrStdout(), args[0])
		},
	}
}

func checkAny(ctx context.Context, out io.Writer, where string) error {
	if _, err := netip.ParseAddrPort(where); err == nil {
		return checkStore(ctx, out, where)
	}
	if info, err := os.Stat(where); err == nil && info.Mode().IsRegular() {
		return checkPublished(out, where)
	}
	return check(out, where)
}

func check(out io.Writer, path string) error {
	set, err := folder.NewDirectory(path).Read()
	if err != nil {
		return err
	}
	merged, err := folder.Explain(set.Revision, set.Files)
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
