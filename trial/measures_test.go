package trial_test

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/fleet"
	"lovageshift/standin"
	"lovageshift/trial"
)

const (
	grantRate   = 4_000            // tokens per second of the metered account
	grantBurst  = 60_000           // tokens
	runDuration = 40 * time.Second // of the arrivals in a measured run
	// The rates of the five equal accounts of TestWorstServedAccount add up to this fraction of the engines' capacity.
	grantedLoad = 0.7
)

var meteredClasses = []trial.Class{{Account: "metered", Tier: "normal", Share: 1, PromptTokens: trial.Range{Min: 50, Max: 500}, OutputTokens: trial.Range{Min: 10, Max: 200}}}

// skewEntries sends 7 of 10 arrivals to the first of three entries, 2 to the second and 1 to the third.
func skewEntries(arrivals []trial.Arrival) []trial.Arrival {
	for i := range arrivals {
		switch i % 10 {
		case 0:
			arrivals[i].Entry = 2
		case 1, 2:
			arrivals[i].Entry = 1
		default:
			arrivals[i].Entry = 0
		}
	}
	return arrivals
}

// meanTokens returns the mean number of prompt and output tokens of a request of the class, without a shared prefix.
func meanTokens(class trial.Class) float64 {
	return class.PromptTokens.Mean() + class.OutputTokens.Mean()
}

// meteredSpec returns a fleet whose only account has grantRate and grantBurst.
func meteredSpec() fleet.Spec {
	spec := trial.Candidates()[0].FleetSpec(meteredClasses, seed)
	spec.Accounts[0].Rate, spec.Accounts[0].Burst = grantRate, grantBurst
	return spec
}

// runMetered runs a workload of load times grantRate on a new fleet, concurrently with the function during unless it is
// nil.
func runMetered(t *testing.T, load float64, during func(*fleet.Fleet)) *trial.Result {
	t.Helper()
	var result *trial.Result
	synctest.Test(t, func(*testing.T) {
		f := fleet.Start(meteredSpec())
		defer f.Stop()
		arrivals := skewEntries(trial.Arrivals(meteredClasses, load*grantRate/meanTokens(meteredClasses[0]), runDuration, 3, seed))
		var faults errgroup.Group
		if during != nil {
			faults.Go(func() error {
				during(f)
				return nil
			})
		}
		result = trial.Run(f, arrivals, runDuration)
		_ = faults.Wait()
	})
	return result
}

// TestGrants measures how many requests an account's quota refuses, and fails if the tokens used in any time window
// exceed burst plus rate times its length.
func TestGrants(t *testing.T) {
	restartAgent := func(f *fleet.Fleet) {
		time.Sleep(10 * time.Second)
		f.KillAgent("e00")
		time.Sleep(5 * time.Second)
		f.StartAgent("e00")
	}
	killAndPause := func(f *fleet.Fleet) { // six times: an agent is dead for 2 s, then an entry is paused for 3 s
		for i := range 6 {
			id := f.Targets()[i]
			f.KillAgent(id)
			time.Sleep(2 * time.Second)
			f.StartAgent(id)
			f.Network.SetPaused(fmt.Sprintf("entry-%d", i%3+1), true)
			time.Sleep(3 * time.Second)
			f.Network.SetPaused(fmt.Sprintf("entry-%d", i%3+1), false)
		}
	}
	cases := []struct {
		name   string
		load   float64 // tokens requested per second, relative to the account's rate
		during func(*fleet.Fleet)
	}{
		{"90% of the rate", 0.9, nil},
		{"90%, one agent dead for 5 s", 0.9, restartAgent},
		{"5 times the rate", 5, nil},
		{"5 times, agents killed and entries paused", 5, killAndPause},
	}
	for _, c := range cases {
		if testing.Short() && c.during == nil {
			continue
		}
		result := runMetered(t, c.load, c.during)
		excess := result.OverAdmission("metered", grantRate, grantBurst)
		fmt.Printf("grants: %s: refused %.2f%%, worst window %.0f tokens below its bound, %v\n",
			c.name, 100*result.RefusedShare("metered"), -excess, result.ReasonCounts())
		if c.load < 1 {
			split := result.StaticSplitRefusedShare("metered", grantRate, grantBurst, 3)
			fmt.Printf("grants: %s: a static split over the entries refuses %.2f%%\n", c.name, 100*split)
		}
		if excess > 0 {
			t.Fatalf("%s: a window exceeds burst plus rate by %.0f tokens", c.name, excess)
		}
	}
}

// greedyClasses returns one class for each of five accounts. With accounts of equal rates, one requests 5 times its
// rate and each of the others 0.9 times.
func greedyClasses() []trial.Class {
	var classes []trial.Class
	for _, account := range []lovageshift.AccountID{"greedy", "one", "two", "three", "four"} {
		share := 0.9
		if account == "greedy" {
			share = 5
		}
		classes = append(classes, trial.Class{
			Account: account, Tier: "normal", Share: share,
			PromptTokens: trial.Range{Min: 40, Max: 4000}, OutputTokens: trial.Range{Min: 8, Max: 400},
		})
	}
	return classes
}

// TestWorstServedAccount measures how well accounts within their rates are served while another sends 5 times its rate.
func TestWorstServedAccount(t *testing.T) {
	if !*table {
		t.Skip("run with -args -table")
	}
	classes := greedyClasses()
	var result *trial.Result
	synctest.Test(t, func(*testing.T) {
		spec := trial.Candidates()[0].FleetSpec(classes, seed)
		capacity := trial.Capacity(classes, spec.Engines)
		accountRate := grantedLoad / 5 * capacity * meanTokens(classes[0])
		for i := range spec.Accounts {
			spec.Accounts[i].Rate, spec.Accounts[i].Burst = lovageshift.Tokens(accountRate), lovageshift.Tokens(10*accountRate)
		}
		f := fleet.Start(spec)
		defer f.Stop()
		rate := grantedLoad / 5 * capacity * (5 + 4*0.9)
		trial.Run(f, trial.Arrivals(classes, rate/3, 10*time.Second, 3, seed+1), 10*time.Second)
		result = trial.Run(f, trial.Arrivals(classes, rate, runDuration, 3, seed), runDuration)
	})
	worst, lowest, highest := 1.0, math.Inf(1), 0.0
	for _, class := range classes {
		tokens, share := result.Served(class.Account)
		fmt.Printf("accounts: %s: %.0f tokens/s served, %.1f%% of requests complete\n", class.Account, tokens/runDuration.Seconds(), 100*share)
		if class.Account != "greedy" {
			worst, lowest, highest = min(worst, share), min(lowest, tokens), max(highest, tokens)
		}
	}
	fmt.Printf("accounts: worst-served %.3f of its requests within its rate, served tokens of equal accounts lowest to highest %.2f, %v\n", worst, lowest/highest, result.ReasonCounts())
}

// TestZoneLeavesAndReturns measures the share of urgent requests within their limits, second by second, while a zone is
// out of service for 15 s and returns with cold engines.
func TestZoneLeavesAndReturns(t *testing.T) {
	if !*table {
		t.Skip("run with -args -table")
	}
	var result *trial.Result
	classes := trial.MixedClasses()
	synctest.Test(t, func(*testing.T) {
		spec := trial.Candidates()[0].FleetSpec(classes, seed)
		f := fleet.Start(spec)
		defer f.Stop()
		trial.Run(f, trial.Arrivals(classes, 20, 20*time.Second, 3, seed+1), 20*time.Second)
		var operator errgroup.Group
		operator.Go(func() error {
			time.Sleep(10 * time.Second)
			f.Publish("90-zone.toml", "[zones.b]\ninService = false\n")
			time.Sleep(10 * time.Second)
			for _, engine := range spec.Engines {
				if engine.Zone == "b" {
					f.Engines[engine.ID].Crash()
				}
			}
			time.Sleep(5 * time.Second)
			f.Publish("90-zone.toml", "")
			return nil
		})
		rate := 0.6 * trial.Capacity(classes, spec.Engines)
		result = trial.Run(f, trial.Arrivals(classes, rate, runDuration, 3, seed), runDuration)
		_ = operator.Wait()
	})
	good, total := map[int]int{}, map[int]int{}
	overloads := 0
	for _, stats := range result.Engines {
		overloads += stats.ColdOverloads
	}
	for i := range result.Requests {
		request := &result.Requests[i]
		if request.Class.Tier != "urgent" {
			continue
		}
		second := int(request.At.Seconds())
		total[second]++
		if request.WithinLimits() {
			good[second]++
		}
	}
	worst, worstSecond, allGood, allRequests := 1.0, 0, 0, 0
	for second, count := range total {
		allGood, allRequests = allGood+good[second], allRequests+count
		if share := float64(good[second]) / float64(count); share < worst {
			worst, worstSecond = share, second
		}
	}
	fmt.Printf("zone: urgent good %.1f%% overall, worst second %d with %.0f%% of %d, cold overloads %d, %v\n",
		100*float64(allGood)/float64(allRequests), worstSecond, 100*worst, total[worstSecond], overloads, result.ReasonCounts())
}

// TestSlowAndFailingEngines measures the share of requests that an engine gets, second by second, before and after it
// becomes slow or fails.
func TestSlowAndFailingEngines(t *testing.T) {
	if !*table {
		t.Skip("run with -args -table")
	}
	classes := trial.MixedClasses()
	for _, c := range []struct {
		name   string
		inject func(*standin.Engine)
	}{
		{"slows to a fifth", func(e *standin.Engine) { e.SetSlowdown(5) }},
		{"fails fast", func(e *standin.Engine) { e.SetFault(standin.EngineFaultServerError) }},
	} {
		var result *trial.Result
		var shares []float64
		synctest.Test(t, func(*testing.T) {
			spec := trial.Candidates()[0].FleetSpec(classes, seed)
			f := fleet.Start(spec)
			defer f.Stop()
			trial.Run(f, trial.Arrivals(classes, 20, 20*time.Second, 3, seed+1), 20*time.Second)
			var sampler errgroup.Group
			sampler.Go(func() error {
				for second := range 20 {
					if second == 10 {
						c.inject(f.Engines["e00"])
					}
					requestsBefore, totalBefore := f.Engines["e00"].Stats().Requests, engineRequests(f)
					time.Sleep(time.Second)
					shares = append(shares, float64(f.Engines["e00"].Stats().Requests-requestsBefore)/float64(max(engineRequests(f)-totalBefore, 1)))
				}
				return nil
			})
			rate := 0.7 * trial.Capacity(classes, spec.Engines)
			result = trial.Run(f, trial.Arrivals(classes, rate, 20*time.Second, 3, seed), 20*time.Second)
			_ = sampler.Wait()
		})
		fmt.Printf("engine %s at 10 s: share of requests by second", c.name)
		for _, share := range shares {
			fmt.Printf(" %.0f%%", 100*share)
		}
		fmt.Printf("; good %.1f of %.1f a second, %v\n", result.Goodput(""), result.OfferedRate(""), result.ReasonCounts())
	}
}

// engineRequests returns how many requests all engines received.
func engineRequests(f *fleet.Fleet) int {
	total := 0
	for _, engine := range f.Engines {
		total += engine.Stats().Requests
	}
	return total
}

// TestRecovery injects each fault 5 s after the start of a run and measures how long after the fault the last request
// was sent that failed.
func TestRecovery(t *testing.T) {
	if !*table {
		t.Skip("run with -args -table")
	}
	faults := []struct {
		name   string
		inject func(*fleet.Fleet)
	}{
		{"entry dies and restarts", func(f *fleet.Fleet) { f.KillEntry(0); f.StartEntry(0) }},
		{"agent dies and restarts", func(f *fleet.Fleet) { f.KillAgent("e00"); f.StartAgent("e00") }},
		{"engine crashes", func(f *fleet.Fleet) { f.Engines["e00"].Crash() }},
		{"entry pauses 10 s", func(f *fleet.Fleet) { pauseFor10s(f, "entry-1") }},
		{"agent pauses 10 s", func(f *fleet.Fleet) { pauseFor10s(f, "e00") }},
		{"entry cut off from half of the agents for 10 s", func(f *fleet.Fleet) { partitionFor10s(f, "entry-1") }},
		{"configuration service down for 30 s", func(f *fleet.Fleet) {
			f.ConfigService.SetDown(true)
			time.Sleep(30 * time.Second)
			f.ConfigService.SetDown(false)
		}},
		{"engine crashes and its agent dies", func(f *fleet.Fleet) {
			f.Engines["e01"].Crash()
			f.KillAgent("e01")
			f.StartAgent("e01")
		}},
		{"entry pauses 10 s while an agent dies", func(f *fleet.Fleet) {
			f.KillAgent("e02")
			pauseFor10s(f, "entry-1")
			f.StartAgent("e02")
		}},
	}
	classes := trial.MixedClasses()
	for _, fault := range faults {
		synctest.Test(t, func(*testing.T) {
			spec := trial.Candidates()[0].FleetSpec(classes, seed)
			f := fleet.Start(spec)
			defer f.Stop()
			trial.Run(f, trial.Arrivals(classes, 20, 20*time.Second, 3, seed+1), 20*time.Second)
			before := engineRequests(f)
			var injector errgroup.Group
			injector.Go(func() error {
				time.Sleep(5 * time.Second)
				fault.inject(f)
				return nil
			})
			rate := 0.5 * trial.Capacity(classes, spec.Engines)
			result := trial.Run(f, trial.Arrivals(classes, rate, runDuration, 3, seed), runDuration)
			_ = injector.Wait()
			reportRecovery(t, fault.name, result, engineRequests(f)-before)
		})
	}
}

// pauseFor10s pauses the traffic of a host for 10 s.
func pauseFor10s(f *fleet.Fleet, host string) {
	f.Network.SetPaused(host, true)
	time.Sleep(10 * time.Second)
	f.Network.SetPaused(host, false)
}

// partitionFor10s partitions a host from the agents of the first half of the targets for 10 s.
func partitionFor10s(f *fleet.Fleet, host string) {
	half := f.Targets()[:len(f.Targets())/2]
	for _, id := range half {
		f.Network.SetPartitioned(host, string(id), true)
	}
	time.Sleep(10 * time.Second)
	for _, id := range half {
		f.Network.SetPartitioned(host, string(id), false)
	}
}

// reportRecovery prints the outcomes of the run's requests and when, after the fault at 5 s, the last failed one was
// sent. It fails the test if the engines got more requests (ran) than may have run according to the replies.
func reportRecovery(t *testing.T, name string, result *trial.Result, ran int) {
	t.Helper()
	complete, notRun, unknown, connectionLost := 0, 0, 0, 0
	var lastFailure time.Duration
	for i := range result.Requests {
		request := &result.Requests[i]
		switch {
		case request.Reply.Correct(request.Request):
			complete++
			continue
		case request.Reply.Outcome == "notRun":
			notRun++
		case request.Reply.Outcome == "unknown":
			unknown++
		default:
			connectionLost++
		}
		lastFailure = max(lastFailure, request.At)
	}
	if ran > len(result.Requests)-notRun {
		t.Fatalf("%s: %d ran, but %d of %d were reported as not run", name, ran, notRun, len(result.Requests))
	}
	recoveryTime := time.Duration(0)
	if lastFailure > 5*time.Second {
		recoveryTime = lastFailure - 5*time.Second
	}
	fmt.Printf("recovery: %s: %d complete, %d not run, %d unknown, %d connection broken; last failure %.1f s after the fault; %v\n",
		name, complete, notRun, unknown, connectionLost, recoveryTime.Seconds(), result.ReasonCounts())
}
