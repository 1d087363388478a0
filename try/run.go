package try

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/folder"
	"lovageshift/link"
	"lovageshift/process"
	"lovageshift/settings"
	"lovageshift/standin"
)

const (
	callerAddress   = "127.0.0.1:18080"
	operatorAddress = "127.0.0.1:18081"
	restartDelay    = 2 * time.Second
	readyPoll       = 50 * time.Millisecond
)

// Run runs the fleet that the configuration folder at the path describes until the context is cancelled, and prints to
// out how to use it. If nothing exists at the path, it first writes the sample folder there.
func Run(ctx context.Context, path string, out io.Writer) error {
	if err := WriteSample(path); err != nil {
		return err
	}
	set, err := folder.NewDirectory(path).Read()
	if err != nil {
		return err
	}
	merged, err := folder.Merge(set.Revision, set.Files)
	if err != nil {
		return err
	}
	hosts, err := startStandIns(merged.Config)
	defer func() {
		for _, host := range hosts {
			host.Close(ctx)
		}
	}()
	if err != nil {
		return err
	}
	tasks, ctx := errgroup.WithContext(ctx)
	for i, target := range merged.Config.TargetsByID() {
		agent := agentSettings(target, path, i)
		tasks.Go(func() error { return process.RunAgent(ctx, agent) })
	}
	entry := settings.DefaultEntry()
	entry.Listen, entry.Operators, entry.DrainDelayMillis = callerAddress, operatorAddress, 0
	entry.Security.Plaintext, entry.Source.Folder = true, path
	tasks.Go(func() error { return process.RunEntry(ctx, entry) })
	tasks.Go(func() error { return announce(ctx, path, out) })
	return tasks.Wait()
}

// agentSettings returns the settings of the agent of the i-th target, counted from 0.
func agentSettings(target *lovageshift.Target, path string, i int) settings.Agent {
	agent := settings.DefaultAgent()
	agent.Target, agent.Listen = target.ID, target.Agent
	agent.Operators = fmt.Sprintf("127.0.0.1:%d", 19301+i)
	agent.Security.Plaintext, agent.Source.Folder = true, path
	return agent
}

// startStandIns starts a stand-in for every target. After an error it returns the hosts that it has started.
func startStandIns(config *lovageshift.Config) ([]*standin.Host, error) {
	network := link.NewNetwork(link.Plaintext())
	var hosts []*standin.Host
	for _, target := range config.TargetsByID() {
		host := standin.NewHost(network, target.Address, newStandIn(target))
		if err := host.Start(); err != nil {
			return hosts, trace.Wrap(err, "start stand-in of %s", target.ID)
		}
		hosts = append(hosts, host)
	}
	return hosts, nil
}

func newStandIn(target *lovageshift.Target) http.Handler {
	if target.Kind == lovageshift.KindService {
		return standin.NewService()
	}
	profile := standin.SlowProfile()
	if target.Generation == "new" {
		profile = standin.FastProfile()
	}
	return standin.NewEngine(string(target.ID), profile).Handler()
}

// announce waits until the entry is ready and accounts can be granted leases, and prints to out how to use the fleet.
func announce(ctx context.Context, path string, out io.Writer) error {
	for ctx.Err() == nil && !entryReady() {
		time.Sleep(readyPoll)
	}
	// An issuer that starts grants no lease of an account's tokens until all leases that an earlier incarnation of it
	// may have granted have expired. A request needs such a lease.
	limits := lovageshift.DefaultLimits()
	wait := time.NewTimer((limits.ConfirmMillis + limits.LeaseMillis + limits.TransitMillis).Duration())
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-wait.C:
	}
	_, err := fmt.Fprintf(out, `
Ready. Ask for a streamed answer:

  curl -N http://%[1]s/v1/chat/completions \
    -H "Authorization: Bearer %[2]s" \
    -d '{"model":"drafts","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"Draft a proposal for a fair."}]}'

Edit a file in %[3]s (take a zone out, withdraw a key, cut a rate): it takes hold while this runs.
Metrics and status: http://%[4]s/metrics and http://%[4]s/status
Interrupt with Ctrl-C.
`, callerAddress, PaintersKey, path, operatorAddress)
	return err
}

func entryReady() bool { return isOK("http://" + callerAddress + "/readyz") }

// isOK reports whether a GET request to the URL is answered with status 200 within 1 s.
func isOK(url string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true,
	}}
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
