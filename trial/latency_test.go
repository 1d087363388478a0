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
	instantAnswer  = `{"choices":[{"index":0,"message":{"role":"assistant","content":"ok"}}],"usage":{"prompt_tokens":10,"completion_tokens":1}}`
	latencyBody    = `{"model":"drafts","max_tokens":4,"messages":[{"role":"user","content":"Is this paint safe?"}]}`
	latencyEngines = 4
	firstPort      = 21000
)

// instant is an engine that answers at once, so that only the path is measured.
func instant() http.Handler {
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

func at(offset int) string { return fmt.Sprintf("127.0.0.1:%d", firstPort+offset) }

// startPath brings an entry and agents up on loopback until the test ends and returns when they answer.
func startPath(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var tasks errgroup.Group
	t.Cleanup(func() {
		cancel()
		_ = tasks.Wait()
	})
	klog.SetOutput(io.Discard)
	path := t.TempDir()
	var text strings.Builder
	hash, _ := lovageshift.HashSecret(fleet.KeyOf("load"))
	fmt.Fprintf(&text, "[zones.a]\n[tiers.urgent]\nrank=1\n[models.drafts]\n[accounts.load]\ntier=\"urgent\"\nrate=1000000000\nburst=1000000000\n[keys.load]\naccount=\"load\"\nhash=%q\n", hash.String())
	for i := range latencyEngines {
		fmt.Fprintf(&text, "[targets.e%d]\nzone=\"a\"\nmodel=\"drafts\"\naddress=%q\nagent=%q\ncoldLimit=256\nmaxRunning=256\nmaxWaiting=4096\n", i, at(i), at(100+i))
	}
	if err := os.WriteFile(filepath.Join(path, "10.toml"), []byte(text.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	for i := range latencyEngines {
		listener, err := net.Listen("tcp", at(i))
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: instant()}
		tasks.Go(func() error { _ = server.Serve(listener); return nil })
		context.AfterFunc(ctx, func() { _ = server.Close() })
		from := settings.DefaultAgent()
		from.Target, from.Listen, from.Operators = lovageshift.TargetID(fmt.Sprintf("e%d", i)), at(100+i), at(200+i)
		from.Security.Plaintext, from.Source.Folder = true, path
		tasks.Go(func() error { return process.RunAgent(ctx, from) })
	}
	from := settings.DefaultEntry()
	from.Listen, from.Operators, from.DrainDelayMillis = at(300), at(301), 0
	from.Security.Plaintext, from.Source.Folder = true, path
	tasks.Go(func() error { return process.RunEntry(ctx, from) })
	client := newClient()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if call(client, at(300)) == nil {
			return
		}
	}
	t.Fatal("the path did not come up")
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
}

func call(client *http.Client, address string) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(latencyBody))
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

// measureAt sends requests at a rate for a time and returns their latencies in microseconds.
func measureAt(address string, rate int, length time.Duration) (*hdrhistogram.Histogram, int) {
	client := newClient()
	histogram := hdrhistogram.New(1, 60_000_000, 3)
	failed := 0
	var mutex sync.Mutex
	var calls errgroup.Group
	began := time.Now()
	for i := range int(float64(rate) * length.Seconds()) {
		due := began.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		calls.Go(func() error {
			// A late start counts, as it would for a caller.
			err := call(client, address)
			took := time.Since(due)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				failed++
				return nil
			}
			return histogram.RecordValue(took.Microseconds())
		})
	}
	_ = calls.Wait()
	return histogram, failed
}

// saturate calls as fast as so many callers can and returns the requests a second.
func saturate(address string, callers int, length time.Duration) (float64, int) {
	client := newClient()
	done, failed := 0, 0
	var mutex sync.Mutex
	var calls errgroup.Group
	end := time.Now().Add(length)
	for range callers {
		calls.Go(func() error {
			count, wrong := 0, 0
			for time.Now().Before(end) {
				if call(client, address) == nil {
					count++
				} else {
					wrong++
				}
			}
			mutex.Lock()
			defer mutex.Unlock()
			done, failed = done+count, failed+wrong
			return nil
		})
	}
	_ = calls.Wait()
	return float64(done) / length.Seconds(), failed
}

func TestLatency(t *testing.T) {
	if !*latency {
		t.Skip("run with -args -latency")
	}
	startPath(t)
	measureAt(at(300), 500, 3*time.Second)
	for _, rate := range []int{1, 100, 1000} {
		length := 5 * time.Second
		if rate == 1 {
			length = 20 * time.Second
		}
		direct, _ := measureAt(at(0), rate, length)
		path, failed := measureAt(at(300), rate, length)
		fmt.Printf("latency: %d/s: direct p50 %d us p99 %d us; path p50 %d us p99 %d us; added p50 %d us p99 %d us; failed %d\n", rate,
			direct.ValueAtQuantile(50), direct.ValueAtQuantile(99), path.ValueAtQuantile(50), path.ValueAtQuantile(99),
			path.ValueAtQuantile(50)-direct.ValueAtQuantile(50), path.ValueAtQuantile(99)-direct.ValueAtQuantile(99), failed)
	}
}

func TestSaturation(t *testing.T) {
	if !*latency {
		t.Skip("run with -args -latency")
	}
	startPath(t)
	for _, callers := range []int{8, 16, 64, 256} {
		rate, failed := saturate(at(300), callers, 3*time.Second)
		plain, _ := saturate(at(0), callers, time.Second)
		fmt.Printf("saturation: %d callers: %.0f/s through one entry, failed %d; %.0f/s direct\n", callers, rate, failed, plain)
	}
}
