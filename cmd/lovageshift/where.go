package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"lovageshift/gateway"
	"lovageshift/placement"
	"lovageshift/reservation"
)

const whereHelp = `Explains where a request would go now, and why, without sending it. ADDRESS is the
IP:port on which an entry of the users' platform serves operators. The entry decides
by the code that decides on callers' requests, and changes nothing. Of groups that
another entry coordinates, that entry is asked too, as only it knows their queues. A
request's body and the parts of its prompt are not considered.`

// Values of the flag --output.
const (
	outputText = "text"
	outputJSON = "json"
)

func whereCommand() *cobra.Command {
	var query gateway.PlacementQuery
	var output string
	c := &cobra.Command{
		Use:   "where ADDRESS --host HOST --path PATH",
		Short: "Explain where a request would go now, without sending it",
		Long:  whereHelp,
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if output != outputText && output != outputJSON {
				return trace.BadParameter("--output: %q is neither %s nor %s", output, outputText, outputJSON)
			}
			answer, err := askWhere(args[0], query)
			if err != nil {
				return err
			}
			if output == outputJSON {
				encoder := json.NewEncoder(command.OutOrStdout())
				encoder.SetIndent("", "  ")
				return encoder.Encode(answer)
			}
			return printPlacement(command.OutOrStdout(), answer)
		},
	}
	flags := c.Flags()
	flags.StringVar(&query.Host, "host", "", "host of the request")
	flags.StringVar(&query.Path, "path", "", "path of the request")
	flags.StringVar(&query.RequestID, "request", "", "request id, which selects among several services of a route")
	flags.StringVar((*string)(&query.Account), "account", "", "client account of the request")
	flags.StringVar((*string)(&query.Zone), "zone", "", "availability zone of the entry that sends it (default: that of the entry asked)")
	flags.Int64Var((*int64)(&query.PromptTokens), "prompt-tokens", 0, "declared tokens of the prompt")
	flags.Int64Var((*int64)(&query.OutputTokens), "output-tokens", 0, "declared most tokens of the output")
	flags.Int64Var((*int64)(&query.ExpectedOutput), "expected-output", 0, "caller's estimate of the output's tokens")
	flags.Int64Var((*int64)(&query.TimeoutMillis), "timeout-millis", 0, "how long the caller waits, in milliseconds")
	flags.BoolVar(&query.RefusedBefore, "refused-before", false, "the caller repeats a request that was refused")
	flags.StringVar(&output, "output", outputText, "output format: text or json")
	return c
}

// askWhere asks the entry that serves operators at the IP:port address, and then the other entries that coordinate groups.
func askWhere(address string, query gateway.PlacementQuery) (gateway.PlacementAnswer, error) {
	entry, err := netip.ParseAddrPort(address)
	if err != nil {
		return gateway.PlacementAnswer{}, trace.BadParameter("%q is not IP:port", address)
	}
	if err := query.Check(); err != nil {
		return gateway.PlacementAnswer{}, err
	}
	answer, err := postQuery(entry.String(), query)
	if err != nil {
		return answer, err
	}
	query.Zone = answer.Zone
	for i, group := range answer.Groups {
		if group.Own {
			continue
		}
		coordinator := netip.AddrPortFrom(group.Coordinator, entry.Port()).String()
		remote, err := postQuery(coordinator, query)
		if err != nil {
			answer.Groups[i].Problem = err.Error()
			continue
		}
		for _, answered := range remote.Groups {
			if answered.Group == group.Group {
				answer.Groups[i].Explanation = answered.Explanation
			}
		}
	}
	return answer, nil
}

// postQuery sends the query to the entry that serves operators at the address.
func postQuery(address string, query gateway.PlacementQuery) (gateway.PlacementAnswer, error) {
	var answer gateway.PlacementAnswer
	content, err := json.Marshal(query)
	if err != nil {
		return answer, trace.Wrap(err)
	}
	client := http.Client{Timeout: showTimeout}
	response, err := client.Post("http://"+address+"/where", "application/json", bytes.NewReader(content))
	if err != nil {
		return answer, trace.Wrap(err, "reach the entry at %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readAnswer(response.Body)
	if err != nil {
		return answer, trace.Wrap(err, "read the answer of %s", address)
	}
	if response.StatusCode != http.StatusOK {
		return answer, trace.BadParameter("%s answers %d: %s", address, response.StatusCode, strings.TrimSpace(string(body)))
	}
	return answer, trace.Wrap(json.Unmarshal(body, &answer), "decode the answer of %s", address)
}

func printPlacement(out io.Writer, w gateway.PlacementAnswer) error {
	fmt.Fprintf(out, "route %s, service %s, rank %d\n", w.Route, w.Service, w.Rank)
	if w.Account != "" {
		fmt.Fprintf(out, "account %s: costs %d tokens", w.Account, w.Cost)
		if w.Allowance.Limited {
			fmt.Fprintf(out, ", %d left, waits %d ms for them", min(w.Allowance.UsedLeft, w.Allowance.DeclaredLeft), w.Allowance.Wait)
		}
		fmt.Fprintln(out)
	}
	if w.Refused != "" {
		_, err := fmt.Fprintf(out, "refused with %d: %s (%s), Retry-After %d ms\n", w.Refused.Status(), w.Refused, w.Detail, w.RetryAfter)
		return err
	}
	fmt.Fprintf(out, "may wait %d ms for a slot\n", w.QueueTime)
	for _, group := range w.Groups {
		if err := printGroup(out, group); err != nil {
			return err
		}
	}
	return nil
}

func printGroup(out io.Writer, group reservation.GroupExplanation) error {
	fmt.Fprintf(out, "\ngroup %s, coordinator %s: %s\n", group.Group, group.Coordinator, decision(group.Explanation))
	if group.Problem != "" {
		fmt.Fprintf(out, "as the asked entry knows it, since its coordinator did not answer: %s\n", group.Problem)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "target\tzone\trunning\tfirst event ms\ttoken us\ton time\tcost\tobstacle")
	for _, t := range group.Targets {
		fmt.Fprintf(table, "%s\t%s\t%d of %d\t%d\t%d\t%t\t%.2f\t%s\n",
			t.ID, t.Zone, t.Running, t.Capacity, t.FirstEvent, t.TokenMicros, t.OnTime, t.Cost, t.Obstacle)
	}
	return table.Flush()
}

// decision says what the group would decide.
func decision(e placement.Explanation) string {
	queue := fmt.Sprintf("%d ahead of it, expected wait %d ms", e.Ahead, e.ExpectedWait)
	switch {
	case e.Target != "":
		return "sent to " + string(e.Target)
	case e.Refused != "":
		return fmt.Sprintf("refused with %d: %s, %s, Retry-After about %d ms", e.Refused.Status(), e.Refused, queue, e.RetryAfter)
	default:
		return "waits, " + queue
	}
}
