package trial_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"lovageshift"
	"lovageshift/fleet"
	"lovageshift/process"
	"lovageshift/settings"
)

var latency = flag.Bool("latency", false, "measure added latency and saturation on real loopback connections")

const (
	instantAnswer = `{"choices":[{"index":0,"message":{"role":"assistant","content":"ok"}}],"usage":{"prompt_tokens":10,"completion_tokens":1}}`
	requestBody   = `{"model":"drafts","max_tokens":4,"messages":[{"role":"user","content":"Is this paint safe?"}]}`
	engineCount   = 4
	firstPort     = 21000 // of the ports on the loopback address, see loopback
)

// instantEngine answers at once, so that only the latency of entry, agent and network is measured.
func instantEngine() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "application/json")
		if r.URL.Path == "/load" {
			_, _ = io.WriteString(w, `{"incarnation":"1","model":"drafts","role":"mixed"}`)
			return
		}
		_, _ = io.WriteString(w, instantAnswer)
	})
}

// loopback returns the address of the port at an offset from firstPort: engines from 0, agents from 100, the agents'
// operator ports from 200, the entry at 300 and its operator port at 301.
func loopback(offset int) string { return fmt.Sprintf("127.0.0.1:%d", firstPort+offset) }

// startSystem runs an entry, agents and instant engines on the loopback address until the test ends. It returns when
// the entry answers a request.
func startSystem(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var servers errgroup.Group
	t.Cleanup(func() {
		cancel()
		_ = servers.Wait()
	})
	klog.SetOutput(io.Discard)
	folder := t.TempDir()
	var config strings.Builder
	hash, _ := lovageshift.HashSecret(fleet.KeyOf("load"))
	fmt.Fprintf(&config, "[zones.a]\n[tiers.urgent]\nrank=1\n[models.drafts]\n[accounts.load]\ntier=\"urgent\"\nrate=1000000000\nburst=1000000000\n[keys.load]\naccount=\"load\"\nhash=%q\n", hash.String())
	for i := range engineCount {
		fmt.Fprintf(&config, "[targets.e%d]\nzone=\"a\"\nmodel=\"drafts\"\naddress=%q\nagent=%q\ncoldLimit=256\nmaxRunning=256\nmaxWaiting=4096\n", i, loopback(i), loopback(100+i))
	}
	if err := os.WriteFile(filepath.Join(folder, "10.toml"), []byte(config.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	for i := range engineCount {
		listener, err := net.Listen("tcp", loopback(i))
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: instantEngine()}
		servers.Go(func() error { _ = server.Serve(listener); return nil })
		context.AfterFunc(ctx, func() { _ = server.Close() })
		options := settings.DefaultAgent()
		options.Target, options.Listen, options.Operators = lovageshift.TargetID(fmt.Sprintf("e%d", i)), loopback(100+i), loopback(200+i)
		options.Security.Plaintext, options.Source.Folder = true, folder
		servers.Go(func() error { return process.RunAgent(ctx, options) })
	}
	options := settings.DefaultEntry()
	options.Listen, options.Operators, options.DrainDelayMillis = loopback(300), loopback(301), 0
	options.Security.Plaintext, options.Source.Folder = true, folder
	servers.Go(func() error { return process.RunEntry(ctx, options) })
	client := newClient()
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if call(client, loopback(300)) == nil {
			return
		}
	}
	t.Fatal("entry did not answer within 1 minute")
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
}

// call sends a completion request to the entry or engine at an address and fails unless the status is 200.
func call(client *http.Client, address string) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(requestBody))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+fleet.KeyOf("load"))
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// measureLatency sends requests to an address at a fixed rate per second. It returns the latencies in microseconds of
// the requests that succeeded and the number of those that failed.
func measureLatency(address string, rate int, duration time.Duration) (*hdrhistogram.Histogram, int) {
	client := newClient()
	histogram := hdrhistogram.New(1, 60_000_000, 3)
	failed := 0
	var mutex sync.Mutex
	var calls errgroup.Group
	start := time.Now()
	for i := range int(float64(rate) * duration.Seconds()) {
		due := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		calls.Go(func() error {
			// Latency counts from the time at which the request was due, so that a late start is included (no
			// coordinated omission).
			err := call(client, address)
			elapsed := time.Since(due)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				failed++
				return nil
			}
			return histogram.RecordValue(elapsed.Microseconds())
		})
	}
	_ = calls.Wait()
	return histogram, failed
}

// saturate sends requests to an address from a number of concurrent callers, each without a pause between its requests.
// It returns the successful answers per second and the number of failed requests.
func saturate(address string, callers int, duration time.Duration) (float64, int) {
	client := newClient()
	done, failed := 0, 0
	var mutex sync.Mutex
	var calls errgroup.Group
	end := time.Now().Add(duration)
	for range callers {
		calls.Go(func() error {
			completed, errors := 0, 0
			for time.Now().Before(end) {
				if call(client, address) == nil {
					completed++
				} else {
					errors++
				}
			}
			mutex.Lock()
			defer mutex.Unlock()
			done, failed = done+completed, failed+errors
			return nil
		})
	}
	_ = calls.Wait()
	return float64(done) / duration.Seconds(), failed
}

// TestLatency prints the latency that entry, agent and network add to that of an engine called directly.
func TestLatency(t *testing.T) {
	if !*latency {
		t.Skip("run with -args -latency")
	}
	startSystem(t)
	measureLatency(loopback(300), 500, 3*time.Second)
	for _, rate := range []int{1, 100, 1000} {
		duration := 5 * time.Second
		if rate == 1 {
			duration = 20 * time.Second
		}
		direct, _ := measureLatency(loopback(0), rate, duration)
		viaEntry, failed := measureLatency(loopback(300), rate, duration)
		fmt.Printf("latency: %d/s: direct p50 %d us p99 %d us; path p50 %d us p99 %d us; added p50 %d us p99 %d us; failed %d\n", rate,
			direct.ValueAtQuantile(50), direct.ValueAtQuantile(99), viaEntry.ValueAtQuantile(50), viaEntry.ValueAtQuantile(99),
			viaEntry.ValueAtQuantile(50)-direct.ValueAtQuantile(50), viaEntry.ValueAtQuantile(99)-direct.ValueAtQuantile(99), failed)
	}
}

// TestSaturation prints the highest rate of requests through one entry, and of engine e0 called directly.
func TestSaturation(t *testing.T) {
	if !*latency {
		t.Skip("run with -args -latency")
	}
	startSystem(t)
	for _, callers := range []int{8, 16, 64, 256} {
		rate, failed := saturate(loopback(300), callers, 3*time.Second)
		direct, _ := saturate(loopback(0), callers, time.Second)
		fmt.Printf("saturation: %d callers: %.0f/s through one entry, failed %d; %.0f/s direct\n", callers, rate, failed, direct)
	}
}
