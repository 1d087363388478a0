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
	platformKey     = "sample-key"
	platformHost    = "fair.example"
	platformEntries = 2
	platformTargets = 4
	storeAddress    = "127.0.10.1:18225"
	entryPort       = 18221
	operatorsOffset = 11
	headerTimeout   = 5 * time.Second
	recordInterval  = time.Second
	streamEvents    = 12
	eventTime       = 100 * time.Millisecond
)

// RunPlatform serves two entries of the users' platform, with a stand-in store and targets, until the context ends,
// and prints how to use them. The entries' log lines go to standard output.
func RunPlatform(ctx context.Context, out io.Writer) error {
	folder, err := os.MkdirTemp("", "lovageshift")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	store := standin.NewStore()
	store.Put(standin.ConfigKey, platformCatalog())
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return serveUntil(ctx, storeAddress, store) })
	for number := range platformTargets {
		replica := &standin.Replica{
			ID: fmt.Sprintf("target-%d", number), Service: "drafts", Slots: 4, EventCount: streamEvents, EventInterval: eventTime,
		}
		address := fmt.Sprintf("127.0.11.%d:18300", number+1)
		tasks.Go(func() error { return serveUntil(ctx, address, replica) })
		tasks.Go(func() error { return register(ctx, store, replica, address) })
	}
	var machines []standin.VM
	for number := range platformEntries {
		machine := standin.VM{
			Name: fmt.Sprintf("entry-%d", number), Zone: "zone-a", Host: fmt.Sprintf("127.0.10.%d", number+2),
			Seeds: []string{"127.0.10.2"}, Store: storeAddress, FirstPort: entryPort,
		}
		path := filepath.Join(folder, machine.Name+".json")
		if err := machine.WriteSettings(path); err != nil {
			return err
		}
		machines = append(machines, machine)
		tasks.Go(func() error { return process.RunGateway(ctx, path, nil) })
	}
	tasks.Go(func() error { return announcePlatform(ctx, machines, out) })
	return tasks.Wait()
}

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

// register renews the target's record, as targets of the platform do.
func register(ctx context.Context, store *standin.Store, replica *standin.Replica, address string) error {
	var sequence int64
	for ctx.Err() == nil {
		sequence++
		store.Put(replica.Key(), replica.Record(standin.Registration{Address: address, Zone: "zone-a", Born: 1, Sequence: sequence}))
		lovageshift.Pause(ctx, recordInterval)
	}
	return nil
}

func serveUntil(ctx context.Context, address string, handler http.Handler) error {
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

// announcePlatform waits until an entry is ready and prints what to do next.
func announcePlatform(ctx context.Context, machines []standin.VM, out io.Writer) error {
	for ctx.Err() == nil && !answers("http://"+machines[0].ReadinessAddress()+"/") {
		lovageshift.Pause(ctx, readyPoll)
	}
	if ctx.Err() != nil {
		return nil
	}
	ask := standin.ClientRequest{ID: "first", Host: platformHost, Method: http.MethodPost, Path: "/draft/proposal", Key: platformKey}
	_, err := fmt.Fprintf(out, `
Ready. Ask for a streamed answer, with another id each time:

  %s

Configuration and targets as entries read them: lovageshift check %s
An entry's view: lovageshift show %s:%d
Interrupt with Ctrl-C.
`, ask.Curl(machines[1].CallerAddress()), storeAddress, machines[0].Host, entryPort+operatorsOffset)
	return err
}
