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
	callers      = "127.0.0.1:18080"
	operators    = "127.0.0.1:18081"
	restartDelay = 2 * time.Second
	readyPoll    = 50 * time.Millisecond
)

// Run serves the folder's fleet until the context ends and prints how to use it.
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
		from := agentSettings(target, path, i)
		tasks.Go(func() error { return process.RunAgent(ctx, from) })
	}
	from := settings.DefaultEntry()
	from.Listen, from.Operators, from.DrainDelayMillis = callers, operators, 0
	from.Security.Plaintext, from.Source.Folder = true, path
	tasks.Go(func() error { return process.RunEntry(ctx, from) })
	tasks.Go(func() error { return announce(ctx, path, out) })
	return tasks.Wait()
}

func agentSettings(target *lovageshift.Target, path string, number int) settings.Agent {
	from := settings.DefaultAgent()
	from.Target, from.Listen = target.ID, target.Agent
	from.Operators = fmt.Sprintf("127.0.0.1:%d", 19301+number)
	from.Security.Plaintext, from.Source.Folder = true, path
	return from
}

func startStandIns(config *lovageshift.Config) ([]*standin.Host, error) {
	network := link.NewNetwork(link.Plaintext())
	var hosts []*standin.Host
	for _, target := range config.TargetsByID() {
		host := standin.NewHost(network, target.Address, standInOf(target))
		if err := host.Start(); err != nil {
			return hosts, trace.Wrap(err, "start stand-in of %s", target.ID)
		}
		hosts = append(hosts, host)
	}
	return hosts, nil
}

func standInOf(target *lovageshift.Target) http.Handler {
	if target.Kind == lovageshift.KindService {
		return standin.NewService()
	}
	profile := standin.SlowProfile()
	if target.Generation == "new" {
		profile = standin.FastProfile()
	}
	return standin.NewEngine(string(target.ID), profile).Handler()
}

// announce waits until the entry is ready and prints what to do next.
func announce(ctx context.Context, path string, out io.Writer) error {
	for ctx.Err() == nil && !ready() {
		time.Sleep(readyPoll)
	}
	// A keeper grants nothing until no lease of an earlier run of it can be alive.
	limits := lovageshift.DefaultLimits()
	rest := time.NewTimer((limits.ConfirmMillis + limits.LeaseMillis + limits.TransitMillis).Duration())
	defer rest.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-rest.C:
	}
	_, err := fmt.Fprintf(out, `
Ready. Ask for a streamed answer:

  curl -N http://%[1]s/v1/chat/completions \
    -H "Authorization: Bearer %[2]s" \
    -d '{"model":"drafts","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"Draft a proposal for a fair."}]}'

Edit a file in %[3]s (take a zone out, withdraw a key, cut a rate): it takes hold while this runs.
Metrics and status: http://%[4]s/metrics and http://%[4]s/status
Interrupt with Ctrl-C.
`, callers, PaintersKey, path, operators)
	return err
}

func ready() bool { return answers("http://" + callers + "/readyz") }

// answers tells whether the page is there and says that all is well.
func answers(url string) bool {
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
