package try

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/process"
	"lovageshift/standin"
)

const (
	platformKey        = "sample-key"
	platformHost       = "fair.example"
	entryCount         = 2
	targetCount        = 4
	storeAddress       = "127.0.10.1:18225"
	entryPort          = 18221
	operatorPortOffset = 11
	headerTimeout      = 5 * time.Second
	recordInterval     = time.Second
	streamEvents       = 12
	eventInterval      = 100 * time.Millisecond
)

// RunPlatform runs 2 entries of the platform with a stand-in store and 4 stand-in targets until the context is
// cancelled, and prints to out how to use them. The entries write their log lines to standard output.
func RunPlatform(ctx context.Context, out io.Writer) error {
	settingsDir, err := os.MkdirTemp("", "lovageshift")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(settingsDir) }()
	store := standin.NewStore()
	store.Put(standin.ConfigKey, platformCatalog())
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return serve(ctx, storeAddress, store) })
	for i := range targetCount {
		replica := &standin.Replica{
			ID: fmt.Sprintf("target-%d", i), Service: "drafts", Slots: 4, EventCount: streamEvents, EventInterval: eventInterval,
		}
		address := fmt.Sprintf("127.0.11.%d:18300", i+1)
		tasks.Go(func() error { return serve(ctx, address, replica) })
		tasks.Go(func() error { return register(ctx, store, replica, address) })
	}
	var vms []standin.VM
	for i := range entryCount {
		vm := standin.VM{
			Name: fmt.Sprintf("entry-%d", i), Zone: "zone-a", Host: fmt.Sprintf("127.0.10.%d", i+2),
			Seeds: []string{"127.0.10.2"}, Store: storeAddress, FirstPort: entryPort,
		}
		path := filepath.Join(settingsDir, vm.Name+".json")
		if err := vm.WriteSettings(path); err != nil {
			return err
		}
		vms = append(vms, vm)
		tasks.Go(func() error { return process.RunGateway(ctx, path, nil, process.GatewayOptions{Entries: entryCount}) })
	}
	tasks.Go(func() error { return announcePlatform(ctx, vms, out) })
	return tasks.Wait()
}

// platformCatalog returns the operator's configuration: one streaming route, one service and one client account.
func platformCatalog() standin.Catalog {
	return standin.Catalog{
		Version: 1,
		Routes: []standin.CatalogRoute{{
			Name: "draft", Host: platformHost, Prefix: "/draft/", Kind: "streaming", Service: "drafts",
			TimeoutMillis: 10_000, TargetLatencyMillis: 500, Attempts: 2, Resumable: true,
		}},
		Services: []standin.CatalogService{{Name: "drafts", ConnectionLimit: 100}},
		Accounts: []standin.CatalogAccount{{Name: "painters", Keys: []string{platformKey}}},
	}
}

// register writes the target's record to the store every second until the context is cancelled, as targets of the
// platform do.
func register(ctx context.Context, store *standin.Store, replica *standin.Replica, address string) error {
	var sequence int64
	for ctx.Err() == nil {
		sequence++
		store.Put(replica.Key(), replica.Record(standin.Registration{
			Address: address, Zone: "zone-a", Born: 1, Sequence: sequence,
		}))
		lovageshift.Pause(ctx, recordInterval)
	}
	return nil
}

// serve serves HTTP at an IP:port address until the context is cancelled.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// announcePlatform waits until the first entry is ready and prints to out how to use the entries.
func announcePlatform(ctx context.Context, vms []standin.VM, out io.Writer) error {
	for ctx.Err() == nil && !isOK("http://"+vms[0].ReadinessAddress()+"/") {
		lovageshift.Pause(ctx, readyPoll)
	}
	if ctx.Err() != nil {
		return nil
	}
	request := standin.CallerRequest{
		ID: "first", Host: platformHost, Method: http.MethodPost, Path: "/draft/proposal", Key: platformKey,
	}
	_, err := fmt.Fprintf(out, `
Ready. Ask for a streamed answer, with another id each time:

  %s

Configuration and targets as entries read them: lovageshift check %s
An entry's view: lovageshift show %s:%d
Interrupt with Ctrl-C.
`, request.Curl(vms[1].CallerAddress()), storeAddress, vms[0].Host, entryPort+operatorPortOffset)
	return err
}
