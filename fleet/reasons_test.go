package fleet_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/fleet"
	"lovageshift/metrics"
)

// refusalAndRetryCounts returns the refusals and retries by reason, summed over the newest incarnations of all
// agents and entries.
func refusalAndRetryCounts(f *fleet.Fleet) (refusals, retries metrics.Counts) {
	refusals, retries = metrics.Counts{}, metrics.Counts{}
	add := func(m *metrics.Metrics) {
		for reason, count := range m.Counts(metrics.Refusals) {
			refusals[reason] += count
		}
		for reason, count := range m.Counts(metrics.Retries) {
			retries[reason] += count
		}
	}
	for _, id := range f.Targets() {
		add(f.Agent(id).Metrics)
	}
	for number := range f.Spec.Entries {
		add(f.Entry(number).Metrics)
	}
	return refusals, retries
}

// overload sends more requests than the two engines with 4 running and 6 waiting requests can handle, those of the
// patient tier before those of the urgent one, and waits for the replies.
func overload(f *fleet.Fleet) {
	var callers errgroup.Group
	for _, account := range []lovageshift.AccountID{"rounds", "painters"} {
		callers.Go(func() error {
			completeAll(f, requestsFor(account, 60, 200), 2*time.Millisecond)
			return nil
		})
		time.Sleep(50 * time.Millisecond)
	}
	_ = callers.Wait()
}

// TestRefusalReasonsOccur provokes refusals and retries in a whole fleet; the metrics must count them by their reasons.
func TestRefusalReasonsOccur(t *testing.T) {
	reasonList := func(reasons ...lovageshift.Reason) []lovageshift.Reason { return reasons }
	complete := func(f *fleet.Fleet) {
		f.Entry(0).Complete(context.Background(), requestsFor("painters", 1, 5)[0])
	}
	cases := []struct {
		name     string
		run      func(*fleet.Fleet)
		refusals []lovageshift.Reason
		retries  []lovageshift.Reason
	}{
		{
			"overload", overload,
			reasonList(lovageshift.ReasonShed, lovageshift.ReasonDisplaced, lovageshift.ReasonDeadline),
			reasonList(lovageshift.ReasonShed, lovageshift.ReasonDisplaced),
		},
		{"more tokens than the quota", func(f *fleet.Fleet) {
			waitForRevision(f, f.Publish("90-rate.toml", "[accounts.painters]\nrate=10\nburst=200\n"))
			completeAll(f, requestsFor("painters", 5, 20), 2*time.Millisecond)
		}, reasonList(lovageshift.ReasonRateExceeded), nil},
		{"issuers unreachable", func(f *fleet.Fleet) {
			for _, id := range f.Targets() {
				f.Network.SetPartitioned("entry-1", string(id), true)
			}
			complete(f)
		}, reasonList(lovageshift.ReasonIssuerUnreachable), nil},
		{"no target in service", func(f *fleet.Fleet) {
			waitForRevision(f, f.Publish("90-zones.toml", "[zones.a]\ninService=false\n[zones.b]\ninService=false\n"))
			complete(f)
		}, reasonList(lovageshift.ReasonNoTarget), nil},
		{"an agent that drains with requests waiting", func(f *fleet.Fleet) {
			var stops errgroup.Group
			stops.Go(func() error {
				time.Sleep(300 * time.Millisecond)
				return f.Agent("e1").Drain(context.Background())
			})
			overload(f)
			_ = stops.Wait()
		}, reasonList(lovageshift.ReasonTargetLeaving), reasonList(lovageshift.ReasonTargetLeaving)},
		{"an engine that crashes with requests waiting", func(f *fleet.Fleet) {
			time.AfterFunc(300*time.Millisecond, f.Engines["e1"].Crash)
			overload(f)
		}, reasonList(lovageshift.ReasonTargetFailing, lovageshift.ReasonEngineFailed), reasonList(lovageshift.ReasonTargetFailing)},
		{"an agent that is killed with requests running", func(f *fleet.Fleet) {
			time.AfterFunc(300*time.Millisecond, func() { f.KillAgent("e1"); f.StartAgent("e1") })
			overload(f)
		}, reasonList(lovageshift.ReasonConnectionLost), nil},
		{"a caller that disconnects", func(f *fleet.Fleet) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			f.Entry(0).Complete(ctx, fleet.CompletionRequest{Account: "painters", Prompt: "x", OutputTokens: 2000})
			time.Sleep(time.Second)
		}, reasonList(lovageshift.ReasonWithdrawnByCaller, lovageshift.ReasonSlowCaller), nil},
		{"a method that the route does not allow", func(f *fleet.Fleet) {
			f.Entry(0).Call(context.Background(), http.MethodDelete, "/deposits/x", bearerHeader("painters"), "")
		}, reasonList(lovageshift.ReasonMethodNotAllowed), nil},
		{"a truncated request body", func(f *fleet.Fleet) {
			conn, err := f.Network.Host("caller").Dial(context.Background(), "127.0.0.1:3000")
			if err != nil {
				panic(err)
			}
			_, _ = conn.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " +
				fleet.KeyOf("painters") + "\r\nContent-Length: 50\r\n\r\n{"))
			time.Sleep(time.Second)
			_ = conn.Close()
			time.Sleep(time.Second)
		}, reasonList(lovageshift.ReasonBodyUnreadable), nil},
	}
	for _, c := range cases {
		spec := smallSpec()
		for i := range spec.Engines {
			spec.Engines[i].MaxRunning, spec.Engines[i].MaxWaiting = 4, 6
		}
		withFleet(t, spec, func(t *testing.T, f *fleet.Fleet) {
			c.run(f)
			refusals, retries := refusalAndRetryCounts(f)
			for _, reason := range c.refusals {
				if refusals[string(reason)] == 0 {
					t.Errorf("%s: no refusal %s among %v", c.name, reason, refusals)
				}
			}
			for _, reason := range c.retries {
				if retries[string(reason)] == 0 {
					t.Errorf("%s: no retry after %s among %v", c.name, reason, retries)
				}
			}
		})
	}
}
