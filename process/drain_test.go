package process_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"lovageshift/process"
	"lovageshift/standin"
)

// platformEntry is an entry process with a store and one target, which runs until end is called.
type platformEntry struct {
	vm    standin.VM
	stop  func() // sends the signal to stop
	group errgroup.Group
	end   func()
}

// startPlatformEntry starts the entry with a grace period of 1 s and the target.
func startPlatformEntry(t *testing.T, replica *standin.Replica) *platformEntry {
	return startPlatformEntryWithGrace(t, replica, 1)
}

// startPlatformEntryWithGrace starts the entry with a grace period of so many seconds and the target.
func startPlatformEntryWithGrace(t *testing.T, replica *standin.Replica, seconds float64) *platformEntry {
	store := standin.NewStore()
	server := httptest.NewServer(store)
	store.Put(standin.ConfigKey, standin.Catalog{
		Version: 3,
		Routes: []standin.CatalogRoute{
			{Name: "chat", Host: "h", Prefix: "/chat/", Kind: "streaming", Service: "app", Attempts: 1},
			{Name: "book", Host: "h", Prefix: "/book/", Kind: "unsafe", Service: "app", Attempts: 1},
		},
		Services: []standin.CatalogService{{Name: "app", ConnectionLimit: 100}},
	})
	target := httptest.NewServer(replica)
	store.Put(replica.Key(), replica.Record(standin.Registration{Address: target.Listener.Addr().String(), Zone: "zone-a", Sequence: 1}))
	vm, path := newVM(t, server.Listener.Addr().String())
	vm.Bounds["grace_s"] = seconds
	writeSettings(t, vm, path)
	ctx, stop := context.WithCancel(context.Background())
	e := &platformEntry{vm: vm, stop: stop}
	e.group.Go(func() error { return process.RunGateway(ctx, path, nil, process.GatewayOptions{}) })
	e.end = func() {
		stop()
		So(e.group.Wait(), ShouldBeNil)
		target.CloseClientConnections()
		target.Close()
		server.CloseClientConnections()
		server.Close()
	}
	waitForStatus("http://"+vm.ReadinessAddress()+"/-/ready", http.StatusOK)
	return e
}

// sendMany sends requests at the same time, and calls wait once all have been sent and some time has passed. It returns the
// replies.
func (e *platformEntry) sendMany(transport http.RoundTripper, path string, count int, wait func()) []standin.Reply {
	var group sync.WaitGroup
	replies := make([]standin.Reply, count)
	for number := range count {
		group.Go(func() {
			id := fmt.Sprintf("r%d", number)
			replies[number] = standin.Send(context.Background(), transport, e.vm.CallerAddress(), standin.CallerRequest{ID: id, Host: "h", Method: "POST", Path: path + id})
		})
	}
	time.Sleep(200 * time.Millisecond)
	wait()
	group.Wait()
	return replies
}

// TestStreamsCutAtTheEndOfTheGracePeriodDoNotLookComplete guards against connections that end in order within an answer.
func TestStreamsCutAtTheEndOfTheGracePeriodDoNotLookComplete(t *testing.T) {
	transports := map[string]http.RoundTripper{"HTTP/1.0": standin.HTTP10Transport{}, "HTTP/1.1": &http.Transport{}}
	for version, transport := range transports {
		for _, endsWithConnection := range []bool{false, true} {
			Convey(fmt.Sprintf("%s, target ends answers with the connection: %v", version, endsWithConnection), t, func() {
				e := startPlatformEntry(t, &standin.Replica{
					ID: "t-1", Service: "app", Slots: 8, EventCount: 300, EventInterval: 10 * time.Millisecond, EndsWithConnection: endsWithConnection,
				})
				defer e.end()
				for _, reply := range e.sendMany(transport, "/chat/", 4, e.stop) {
					So(reply.Status, ShouldEqual, http.StatusOK)
					So(len(reply.EventIDs), ShouldBeBetween, 0, 300)
					So(reply.Complete, ShouldBeFalse)
				}
			})
		}
	}
}

// TestRequestsWithoutAnAnswerAtTheEndOfTheGracePeriodGetOne guards against cutting off callers that got no answer yet.
func TestRequestsWithoutAnAnswerAtTheEndOfTheGracePeriodGetOne(t *testing.T) {
	Convey("Requests that must not be repeated and still run or wait get an answer that is true", t, func() {
		replica := &standin.Replica{ID: "t-1", Service: "app", Slots: 2, ServiceTime: 5 * time.Second}
		e := startPlatformEntry(t, replica)
		defer e.end()
		statuses := map[int]int{}
		for _, reply := range e.sendMany(&http.Transport{}, "/book/", 6, e.stop) {
			statuses[reply.Status]++
		}
		So(len(replica.Executed()), ShouldEqual, 2)
		So(statuses, ShouldResemble, map[int]int{http.StatusBadGateway: 2, http.StatusServiceUnavailable: 4})
	})
}
