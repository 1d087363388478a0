package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
)

const showHelp = `Prints the status of a running entry or agent as JSON. An entry with agents reports its
targets and zones, an agent its engine and its queue; both report the configuration's
revision, whether its source or a quorum of processes confirms it, and refusals and
retries by reason. An entry on the
users' platform reports its view of the store. ADDRESS is the IP:port on which the
process serves operators.`

// showTimeout is the maximum time for connecting to the process and reading its status.
const showTimeout = 5 * time.Second

func showCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show ADDRESS",
		Short: "Show the status of a running process",
		Long:  showHelp,
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return showStatus(command.OutOrStdout(), args[0])
		},
	}
}

// showStatus prints the status of the process at the IP:port address as indented JSON.
func showStatus(out io.Writer, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return trace.BadParameter("%q is not IP:port", address)
	}
	client := http.Client{Timeout: showTimeout}
	response, err := client.Get("http://" + address + "/status")
	if err != nil {
		return trace.Wrap(err, "reach the process")
	}
	defer response.Body.Close()
	content, err := readAnswer(response.Body)
	if err != nil {
		return trace.Wrap(err, "read the status")
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, content, "", "  "); err != nil {
		return trace.Wrap(err, "decode the status")
	}
	_, err = fmt.Fprint(out, indented.String())
	return err
}

// maxAnswerBytes is the size of the largest answer of a process to an operator that is read.
const maxAnswerBytes = 4 << 20

// readAnswer reads the answer of a process to an operator.
func readAnswer(body io.Reader) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err == nil && len(content) > maxAnswerBytes {
		err = trace.BadParameter("the answer is larger than %d bytes", maxAnswerBytes)
	}
	return content, err
}
