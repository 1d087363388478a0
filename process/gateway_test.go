package process_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"lovageshift/process"
	"lovageshift/standin"
)

// firstPort is the first of the VM's ports (see standin.VM). The port for operators is firstPort+11, one above the port
// for messages between entries.
const firstPort = 8421

// newVM returns a VM on a loopback address that no other test uses, and the path of its settings file. To reserve the
// address, it listens until the test ends on the address's port 7999, which entries don't use.
func newVM(t *testing.T, store string) (standin.VM, string) {
	for number := 1; number < 250; number++ {
		host := fmt.Sprintf("127.9.%d.1", number)
		reservation, err := net.Listen("tcp", net.JoinHostPort(host, "7999"))
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = reservation.Close() })
		vm := standin.VM{
			Name: "entry-1", Zone: "zone-a", Host: host, Seeds: []string{host}, Store: store, FirstPort: firstPort,
			Bounds: map[string]any{"grace_s": 1},
		}
		path := filepath.Join(t.TempDir(), "settings.json")
		writeSettings(t, vm, path)
		return vm, path
	}
	t.Fatal("no loopback address is free")
	return standin.VM{}, ""
}

func writeSettings(t *testing.T, vm standin.VM, path string) {
	if err := vm.WriteSettings(path); err != nil {
		t.Fatal(err)
	}
}

func get(url string) (int, string) {
	response, err := http.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(content)
}

// post posts the content and returns the body of the response, whatever its status.
func post(url, content string) string {
	response, err := http.Post(url, "application/json", strings.NewReader(content))
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return string(body)
}

// requestCounters returns the lines of the metrics that count requests, refusals and retries.
func requestCounters(metrics string) string {
	var counters []string
	for line := range strings.Lines(metrics) {
		for _, name := range []string{"lovageshift_refusals", "lovageshift_retries", "lovageshift_answers", "lovageshift_wait_seconds"} {
			if strings.HasPrefix(line, name) {
				counters = append(counters, line)
			}
		}
	}
	return strings.Join(counters, "")
}

// waitForStatus repeats the request for about 10 s until the response has the status and returns its body, or "" if no
// response has it, so that the caller's next assertion fails.
func waitForStatus(url string, status int) string {
	for range 1000 {
		if got, body := get(url); got == status {
			return body
		}
		time.Sleep(10 * time.Millisecond)
	}
	return ""
}

func TestGatewayProcess(t *testing.T) {
	Convey("An entry serves callers, the load balancer and operators, and stops without an error", t, func() {
		store := standin.NewStore()
		server := httptest.NewServer(store)
		defer server.Close()
		defer server.CloseClientConnections()
		store.Put(standin.ConfigKey, standin.Catalog{
			Version:  3,
			Routes:   []standin.CatalogRoute{{Name: "read", Host: "h", Prefix: "/read/", Kind: "safe", Service: "app", Attempts: 1}},
			Services: []standin.CatalogService{{Name: "app", ConnectionLimit: 10}},
			Accounts: []standin.CatalogAccount{{Name: "acme", Keys: []string{"very-secret"}}},
		})
		replica := &standin.Replica{ID: "t-1", Service: "app", Slots: 4}
		target := httptest.NewServer(replica)
		defer target.Close()
		store.Put(replica.Key(), replica.Record(standin.Registration{Address: target.Listener.Addr().String(), Zone: "zone-a", Sequence: 1}))
		vm, path := newVM(t, server.Listener.Addr().String())
		ctx, stop := context.WithCancel(context.Background())
		hangups := make(chan os.Signal, 1)
		var run errgroup.Group
		run.Go(func() error { return process.RunGateway(ctx, path, hangups, process.GatewayOptions{}) })
		waitForStatus("http://"+vm.ReadinessAddress()+"/-/ready", http.StatusOK)

		operators := fmt.Sprintf("http://%s:%d", vm.Host, firstPort+11)
		status := waitForStatus(operators+"/status", http.StatusOK)
		So(status, ShouldContainSubstring, `"version":3`)
		So(status, ShouldContainSubstring, `"id":"t-1"`)
		So(status, ShouldNotContainSubstring, "very-secret")

		request := standin.CallerRequest{ID: "r-1", Host: "h", Method: http.MethodGet, Path: "/read/x", Key: "very-secret"}
		So(standin.Send(ctx, http.DefaultTransport, vm.CallerAddress(), request).Body, ShouldEqual, "done by t-1")
		request.ID, request.Key = "r-2", "withdrawn-key"
		So(standin.Send(ctx, http.DefaultTransport, vm.CallerAddress(), request).Status, ShouldEqual, http.StatusUnauthorized)
		lines := waitForStatus(operators+"/requests/r-2", http.StatusOK)
		So(lines, ShouldContainSubstring, "keyUnknown")
		So(lines, ShouldNotContainSubstring, "withdrawn-key")
		So(waitForStatus(operators+"/requests/r-1", http.StatusNotFound), ShouldNotBeEmpty)

		_, before := get(operators + "/metrics")
		where := post(operators+"/where", `{"host": "h", "path": "/read/x", "account": "acme"}`)
		So(where, ShouldContainSubstring, `"route":"read"`)
		So(where, ShouldContainSubstring, `"target":"t-1"`)
		So(where, ShouldNotContainSubstring, "very-secret")
		So(post(operators+"/where", `{"host": "h", "path": "/none"}`), ShouldContainSubstring, `"refused":"notFound"`)
		So(post(operators+"/where", `{"host": "h", "path": "/read/x", "promptTokens": -1}`), ShouldContainSubstring, "promptTokens: -1 is negative")
		So(post(operators+"/where", `{"hots": "h"}`), ShouldContainSubstring, "hots")
		So(post(operators+"/where", `{"host": "h", "path": "/read/x", "account": "acem"}`), ShouldContainSubstring, `account: no client account "acem"`)
		_, after := get(operators + "/metrics")
		So(requestCounters(before), ShouldContainSubstring, "lovageshift_answers")
		So(requestCounters(after), ShouldEqual, requestCounters(before))

		stop()
		So(run.Wait(), ShouldBeNil)
	})
	Convey("An error about invalid settings names the file and the field", t, func() {
		vm, path := newVM(t, "nowhere")
		err := process.RunGateway(context.Background(), path, nil, process.GatewayOptions{})
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, path)
		So(err.Error(), ShouldContainSubstring, "platform.address")
		vm.Store, vm.Name = "127.0.0.1:1", ""
		writeSettings(t, vm, path)
		So(process.RunGateway(context.Background(), path, nil, process.GatewayOptions{}).Error(), ShouldContainSubstring, "node_name")
		So(os.WriteFile(path, []byte("{"), 0o600), ShouldBeNil)
		So(process.RunGateway(context.Background(), path, nil, process.GatewayOptions{}).Error(), ShouldContainSubstring, path)
		So(process.RunGateway(context.Background(), filepath.Join(path, "none"), nil, process.GatewayOptions{}), ShouldNotBeNil)
	})
}
