package process_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"lovageshift/platform"
	"lovageshift/standin"
)

const (
	endlessTargets = 8
	endlessSlots   = 30
	endlessCallers = 160 // requests at once to targets whose answers do not end
	endlessRounds  = 3
	endlessTimeout = 15 * time.Second
	// The pause of a target that has sent what an entry may hold of its answer, before it goes on byte by byte. All answers of a
	// round are then held at the same time, however fast the machine is.
	trickleInterval = 100 * time.Millisecond
	trickleBytes    = 30
)

// endlessAnswer is an answer that has no end: the beginning, and then a block again and again. If burst is not 0, the target sends
// this many bytes of the blocks as fast as it can and then one at a time, and gives up after trickleBytes.
type endlessAnswer struct {
	name, path string
	beginning  string // with %s for the request's id
	block      string
	burst      int
}

const (
	answerHead = "HTTP/1.1 200 OK\r\n" + standin.HeaderSignature + ": s\r\n" + standin.HeaderRequestID + ": %s\r\n"
	chunkHead  = answerHead + "Transfer-Encoding: chunked\r\n\r\n"
)

var endlessAnswers = []endlessAnswer{
	{"malformed head", "/bad/x", "", strings.Repeat("\xff", 60<<10) + "\n", 0},
	{"field", "/bad/x", answerHead + "X-Long: ", "a", 60 << 10},
	{"fields", "/bad/x", answerHead, distinctFields(60 << 10), 60 << 10},
	{"body", "/bad/x", answerHead + "Content-Length: 1000000\r\n\r\n", "a", 250 << 10},
	{"chunks", "/bad/x", chunkHead, "400\r\n" + strings.Repeat("a", 1<<10) + "\r\n", 250 << 10},
	{"body at full speed", "/bad/x", answerHead + "Connection: close\r\n\r\n", "a", 0},
	{"event line", "/badStream/x", chunkHead + "10000000\r\ndata: ", "a", 250 << 10},
	{"event lines", "/badStream/x", chunkHead + "10000000\r\n", "data: a\n", 250 << 10},
	{"event identity", "/badStream/x", chunkHead + "10000000\r\nid: ", "1", 250 << 10},
	{"event line at full speed", "/badStream/x", chunkHead + "10000000\r\ndata: ", "a", 0},
}

// distinctFields returns header fields of the size, as short as they can be.
func distinctFields(size int) string {
	var fields strings.Builder
	for i := 0; fields.Len() < size; i++ {
		fmt.Fprintf(&fields, "%x:\n", i)
	}
	return fields.String()
}

// serve answers each request on the connection.
func (a endlessAnswer) serve(c net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	beginning := a.beginning
	if strings.Contains(beginning, "%s") {
		beginning = fmt.Sprintf(beginning, request.Header.Get(standin.HeaderRequestID))
	}
	if _, err := io.WriteString(c, beginning); err != nil {
		return
	}
	block := []byte(strings.Repeat(a.block, 1+(64<<10)/len(a.block)))
	for sent := 0; a.burst == 0 || sent < a.burst; sent += len(block) {
		if a.burst > 0 {
			block = block[:min(len(block), a.burst-sent)]
		}
		if _, err := c.Write(block); err != nil {
			return
		}
	}
	for range trickleBytes {
		time.Sleep(trickleInterval)
		if _, err := c.Write(block[:1]); err != nil {
			return
		}
	}
}

// startEndlessTargets starts targets of the service bad and returns their addresses.
func startEndlessTargets(t *testing.T, answer endlessAnswer) []string {
	var tasks errgroup.Group
	var addresses []string
	for range endlessTargets {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		addresses = append(addresses, listener.Addr().String())
		tasks.Go(func() error {
			for {
				c, err := listener.Accept()
				if err != nil {
					return nil
				}
				tasks.Go(func() error {
					defer c.Close()
					answer.serve(c)
					return nil
				})
			}
		})
	}
	return addresses
}

// newEndlessVM starts a store, an ordinary target of the service app and endless ones of the service bad, and returns the VM of an
// entry.
func newEndlessVM(t *testing.T, answer endlessAnswer) (standin.VM, string) {
	store := standin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	store.Put(standin.ConfigKey, standin.Catalog{
		Version: 1,
		Routes: []standin.CatalogRoute{
			{Name: "read", Host: "h", Prefix: "/read/", Kind: "safe", Service: "app", Attempts: 1},
			{Name: "bad", Host: "h", Prefix: "/bad/", Kind: "safe", Service: "bad", Attempts: 1, TargetLatencyMillis: 10000},
			{Name: "badStream", Host: "h", Prefix: "/badStream/", Kind: "streaming", Service: "bad", Attempts: 1, TargetLatencyMillis: 10000},
		},
		Services: []standin.CatalogService{{Name: "app", ConnectionLimit: 100}, {Name: "bad", ConnectionLimit: 1000}},
		Accounts: []standin.CatalogAccount{{Name: "acme", Keys: []string{"key"}}, {Name: "other", Keys: []string{"other-key"}}},
	})
	put := func(id, service, address string, slots int) {
		replica := &standin.Replica{ID: id, Service: service, Slots: slots}
		store.Put(replica.Key(), replica.Record(standin.Registration{Address: address, Zone: "zone-a", Sequence: 1}))
	}
	ordinary := httptest.NewServer(&standin.Replica{ID: "t-1", Service: "app", Slots: 4})
	t.Cleanup(ordinary.Close)
	put("t-1", "app", ordinary.Listener.Addr().String(), 4)
	for i, address := range startEndlessTargets(t, answer) {
		put("bad-"+strconv.Itoa(i), "bad", address, endlessSlots)
	}
	vm, path := newVM(t, server.Listener.Addr().String())
	vm.MemoryMegabytes, vm.FileDescriptors = crowdMemoryMB, crowdDescriptors
	writeSettings(t, vm, path)
	return vm, path
}

// sendToEndless sends requests at once and returns how many got an answer that looked complete, and how many of the answers came
// from a target or said that the outcome is not known.
func sendToEndless(vm standin.VM, path string, round int) (complete, sent int64) {
	ctx, cancel := context.WithTimeout(context.Background(), endlessTimeout)
	defer cancel()
	var completeCount, sentCount atomic.Int64
	var callers errgroup.Group
	for i := range endlessCallers {
		callers.Go(func() error {
			id := fmt.Sprintf("r-%d-%d", round, i)
			request := standin.CallerRequest{ID: id, Host: "h", Method: http.MethodGet, Path: path, Key: "key", Discards: true}
			reply := standin.Send(ctx, &http.Transport{DisableKeepAlives: true}, vm.CallerAddress(), request)
			if reply.Status == http.StatusOK && reply.Complete {
				completeCount.Add(1)
			}
			if reply.Status == http.StatusOK || reply.Status == http.StatusBadGateway {
				sentCount.Add(1)
			}
			return nil
		})
	}
	_ = callers.Wait()
	return completeCount.Load(), sentCount.Load()
}

// Guards against targets that make an entry hold so much of answers without end that its VM kills it, with the requests of others.
func TestEntryStaysWithinItsVMUnderAnswersWithoutEnd(t *testing.T) {
	program := buildProgram(t)
	for _, answer := range endlessAnswers {
		t.Run(strings.ReplaceAll(answer.name, " ", "-"), func(t *testing.T) {
			Convey("An entry stays within its VM's memory and still answers", t, func() {
				vm, path := newEndlessVM(t, answer)
				cmd := exec.Command(program, "gateway")
				cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
				entry := startProcess(t, cmd)
				waitForStatus("http://"+vm.ReadinessAddress()+"/-/ready", http.StatusOK)
				So(answered(vm, "small"), ShouldBeTrue)

				sent := int64(0)
				for round := range endlessRounds {
					var ordinary errgroup.Group
					ordinaryAnswered := false
					ordinary.Go(func() error { ordinaryAnswered = answered(vm, "small"); return nil })
					complete, reached := sendToEndless(vm, answer.path, round)
					_ = ordinary.Wait()
					So(complete, ShouldEqual, 0)
					So(ordinaryAnswered, ShouldBeTrue)
					sent += reached
				}
				t.Logf("%d requests reached a target, the entry held at most %d MB", sent, entry.peakMegabytes())
				So(sent, ShouldBeGreaterThanOrEqualTo, endlessTargets)
				So(entry.alive(), ShouldBeTrue)
				So(entry.peakMegabytes(), ShouldBeLessThan, crowdMemoryMB)
				So(answered(vm, "small"), ShouldBeTrue)
			})
		})
	}
}

const (
	largeAnswer  = 7 << 20 // below limits.answerBytes
	largeCallers = 24
	// How long callers that do not read keep their connections.
	unreadTime = 3 * time.Second
)

// newEndlessService returns a service with answers without end, and with large ones.
func newEndlessService() http.Handler {
	handler := http.NewServeMux()
	block := make([]byte, 64<<10)
	handler.HandleFunc("/read/endless", func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	})
	handler.HandleFunc("/read/large", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, largeAnswer)) })
	handler.Handle("/", standin.NewService())
	return handler
}

// Guards against answers that make an entry hold so much that its VM kills it: those without end, and large ones for callers of
// HTTP/1.0 that do not read them, whose size the entry has to know first.
func TestServeStaysWithinItsVMUnderAnswersWithoutEnd(t *testing.T) {
	program := buildProgram(t)
	Convey("An entry stays within its VM's memory and still answers", t, func() {
		entry, address := startServe(t, program, newEndlessService(), crowdLimits)
		So(answeredAt(address, "small"), ShouldBeTrue)

		var callers errgroup.Group
		var ended atomic.Int64
		client := http.Client{Timeout: endlessTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		for range endlessCallers {
			callers.Go(func() error {
				response, err := client.Post("http://"+address+"/read/endless", "text/plain", nil)
				if err != nil {
					return nil
				}
				defer response.Body.Close()
				_, err = io.Copy(io.Discard, response.Body)
				if response.StatusCode != http.StatusOK || err != nil {
					ended.Add(1)
				}
				return nil
			})
		}
		So(answeredAt(address, "small"), ShouldBeTrue)
		_ = callers.Wait()
		So(ended.Load(), ShouldEqual, endlessCallers)

		var connections []net.Conn
		for range largeCallers {
			c, err := net.Dial("tcp", address)
			So(err, ShouldBeNil)
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			_, err = io.WriteString(c, "POST /read/large HTTP/1.0\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
			So(err, ShouldBeNil)
			connections = append(connections, c)
		}
		time.Sleep(unreadTime)
		So(answeredAt(address, "small"), ShouldBeTrue)
		closeAll(connections)
		t.Logf("the entry held at most %d MB", entry.peakMegabytes())
		So(entry.alive(), ShouldBeTrue)
		So(entry.peakMegabytes(), ShouldBeLessThan, crowdMemoryMB)
		So(answeredAt(address, "small"), ShouldBeTrue)
	})
}
