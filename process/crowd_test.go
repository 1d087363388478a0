package process_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/platform"
	"lovageshift/standin"
)

// The VM of the tests. The bounds are what the platform enforces: a process that exceeds the VM's memory is killed, and the
// 200 descriptors reserved for files are not for connections.
const (
	crowdMemoryMB    = 64
	crowdDescriptors = 700
	fileDescriptors  = 200
	crowdBodyLimit   = 512 << 10
	crowdSize        = 300 // connections that send bodies
	smallChunksSize  = 200 // connections that send chunks of one byte, six bytes each on the wire
	idleCrowdSize    = 800 // connections that send none
	heldBackBytes    = 5   // what most callers of a crowd never send
	overBodyBytes    = 64 << 20
	crowdWriteLimit  = 20 * time.Second // for one connection of a crowd
	settleLimit      = 20 * time.Second
	settleInterval   = 200 * time.Millisecond
	idleTicks        = 3                // an idle entry uses less in a settleInterval
	answerLimit      = 60 * time.Second // for the ordinary request, which a caller repeats after a refusal
)

// crowdCaller writes what one connection of a crowd sends. Identity is the header fields that name the caller. Complete is set for
// every tenth one, which holds nothing back.
type crowdCaller func(c net.Conn, identity string, complete bool)

const gatewayIdentity = standin.HeaderRequestID + ": crowd\r\nAuthorization: Token key\r\n"

// crowdLimits are the limits of the VMs in their settings.
var crowdLimits = standin.VM{MemoryMegabytes: crowdMemoryMB, FileDescriptors: crowdDescriptors}

// crowdMemoryVariable gives a process as much memory of the machine as a VM of the tests has.
var crowdMemoryVariable = fmt.Sprintf("GOMEMLIMIT=%dMiB", crowdMemoryMB)

var crowdFiller = strings.Repeat("x", 64<<10)

func crowdHeader(identity, framing string) string {
	return "POST /read/crowd HTTP/1.1\r\nHost: h\r\n" + identity + framing + "\r\n\r\n"
}

// sendBytes writes the number of body bytes in pieces, each with the prefix and the suffix.
func sendBytes(c net.Conn, count, piece int, prefix, suffix string) {
	text := strings.Repeat(prefix+crowdFiller[:piece]+suffix, max(1, len(crowdFiller)/(piece+len(prefix)+len(suffix))))
	for unit := len(prefix) + piece + len(suffix); count >= piece; {
		part := text[:min(len(text)/unit, count/piece)*unit]
		if _, err := c.Write([]byte(part)); err != nil {
			return
		}
		count -= len(part) / unit * piece
	}
	if prefix == "" && count > 0 {
		_, _ = c.Write([]byte(crowdFiller[:count]))
	}
}

// declared sends a body of the declared length in pieces, of which most callers hold back the end.
func declared(length, sent, piece int) crowdCaller {
	return func(c net.Conn, identity string, complete bool) {
		_, _ = c.Write([]byte(crowdHeader(identity, "Content-Length: "+strconv.Itoa(length))))
		count := sent
		if complete {
			count += heldBackBytes
		}
		sendBytes(c, count, piece, "", "")
	}
}

// chunked sends a body in chunks, of which most callers hold back the last, empty one.
func chunked(sent, chunk int) crowdCaller {
	return func(c net.Conn, identity string, complete bool) {
		_, _ = c.Write([]byte(crowdHeader(identity, "Transfer-Encoding: chunked")))
		sendBytes(c, sent, chunk, strconv.FormatInt(int64(chunk), 16)+"\r\n", "\r\n")
		if complete {
			_, _ = c.Write([]byte("0\r\n\r\n"))
		}
	}
}

// endlessChunk sends the part of a chunk that is far over the limit.
func endlessChunk(sent int) crowdCaller {
	return func(c net.Conn, identity string, _ bool) {
		_, _ = c.Write([]byte(crowdHeader(identity, "Transfer-Encoding: chunked") + strconv.FormatInt(overBodyBytes, 16) + "\r\n"))
		sendBytes(c, sent, len(crowdFiller), "", "")
	}
}

var crowds = []struct {
	name   string
	size   int
	caller crowdCaller
}{
	{"whole", crowdSize, declared(crowdBodyLimit, crowdBodyLimit-heldBackBytes, len(crowdFiller))},
	{"piecewise", crowdSize, declared(crowdBodyLimit, crowdBodyLimit-heldBackBytes, 1<<10)},
	{"largeChunks", crowdSize, chunked(crowdBodyLimit, 32<<10)},
	{"smallChunks", smallChunksSize, chunked(crowdBodyLimit, 1)},
	{"declaredOver", crowdSize, declared(overBodyBytes, crowdBodyLimit-heldBackBytes, len(crowdFiller))},
	{"sentOver", crowdSize, endlessChunk(crowdBodyLimit - heldBackBytes)},
	{"withoutRequest", idleCrowdSize, func(net.Conn, string, bool) {}},
	{"withinHeader", idleCrowdSize, func(c net.Conn, identity string, _ bool) { _, _ = c.Write([]byte(crowdHeader(identity, "A: b")[:20])) }},
}

// sendCrowd opens the connections and returns them once each has sent its part or was refused.
func sendCrowd(address, identity string, size int, caller crowdCaller) []net.Conn {
	connections := make([]net.Conn, size)
	var senders errgroup.Group
	for i := range connections {
		senders.Go(func() error {
			c, err := net.DialTimeout("tcp", address, crowdWriteLimit)
			if err != nil {
				return nil // the entry may refuse connections
			}
			connections[i] = c
			_ = c.SetWriteDeadline(time.Now().Add(crowdWriteLimit))
			caller(c, identity, i%10 == 0)
			return nil
		})
	}
	_ = senders.Wait()
	return connections
}

func closeAll(connections []net.Conn) {
	for _, c := range connections {
		if c != nil {
			_ = c.Close()
		}
	}
}

// entryProcess is an entry that runs as a process of its own.
type entryProcess struct {
	cmd    *exec.Cmd
	exited chan error
}

func buildProgram(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "lovageshift")
	// Built without the race detector, whose memory would be counted.
	if output, err := exec.Command("go", "build", "-o", program, "lovageshift/cmd/lovageshift").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return program
}

func startProcess(t *testing.T, cmd *exec.Cmd) *entryProcess {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &entryProcess{cmd: cmd, exited: make(chan error, 1)}
	var wait errgroup.Group
	wait.Go(func() error { p.exited <- cmd.Wait(); return nil })
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = wait.Wait()
	})
	return p
}

// alive reports whether the process still runs.
func (p *entryProcess) alive() bool { return len(p.exited) == 0 }

// peakMegabytes returns the highest resident memory of the process so far.
func (p *entryProcess) peakMegabytes() int {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	_, after, _ := strings.Cut(string(content), "VmHWM:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 1 << 30
	}
	kilobytes, _ := strconv.Atoi(fields[0])
	return kilobytes >> 10
}

// processorTicks returns the processor time that the process has used, in the kernel's ticks of 10 ms.
func (p *entryProcess) processorTicks() int {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	_, after, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(after)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return user + system
}

// settle waits until the process has read what the kernel holds for it, so that the test fails on an entry without limits also
// where that is slow. It waits for at most settleLimit.
func (p *entryProcess) settle() {
	for end := time.Now().Add(settleLimit); time.Now().Before(end); {
		before := p.processorTicks()
		time.Sleep(settleInterval)
		if p.processorTicks()-before <= idleTicks {
			return
		}
	}
}

func (p *entryProcess) descriptors() int {
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(files)
}

// newCrowdVM starts a store and a target of the service app, and returns the VM of an entry with the limits.
func newCrowdVM(t *testing.T) (standin.VM, string) {
	store := standin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	store.Put(standin.ConfigKey, standin.Catalog{
		Version:  1,
		Routes:   []standin.CatalogRoute{{Name: "read", Host: "h", Prefix: "/read/", Kind: "safe", Service: "app", Attempts: 1}},
		Services: []standin.CatalogService{{Name: "app", ConnectionLimit: 100}},
		Accounts: []standin.CatalogAccount{{Name: "acme", Keys: []string{"key"}}, {Name: "other", Keys: []string{"other-key"}}},
		Limits:   standin.CatalogLimits{BodyBytes: crowdBodyLimit},
	})
	replica := &standin.Replica{ID: "t-1", Service: "app", Slots: 4}
	target := httptest.NewServer(replica)
	t.Cleanup(target.Close)
	store.Put(replica.Key(), replica.Record(standin.Registration{Address: target.Listener.Addr().String(), Zone: "zone-a", Sequence: 1}))
	vm, path := newVM(t, server.Listener.Addr().String())
	vm.MemoryMegabytes, vm.FileDescriptors = crowdMemoryMB, crowdDescriptors
	writeSettings(t, vm, path)
	return vm, path
}

// answered reports whether an ordinary request gets its answer, with the repeats of a caller that is refused.
func answered(vm standin.VM, body string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
	defer cancel()
	for number := 0; ctx.Err() == nil; number++ {
		transport := &http.Transport{DisableKeepAlives: true}
		request := standin.CallerRequest{ID: fmt.Sprintf("ordinary-%d", number), Host: "h", Method: http.MethodPost, Path: "/read/x", Key: "other-key", Body: body}
		if reply := standin.Send(ctx, transport, vm.CallerAddress(), request); reply.Status == http.StatusOK && reply.Complete {
			return true
		}
		lovageshift.Pause(ctx, 100*time.Millisecond)
	}
	return false
}

// assertWithinLimits asserts that the entry stays within its VM's limits and answers an ordinary request while the connections are
// open, and answers one after they are closed. It closes them.
func assertWithinLimits(entry *entryProcess, connections []net.Conn, answered func(body string) bool) {
	defer closeAll(connections)
	entry.settle()
	So(answered("small"), ShouldBeTrue)
	So(entry.alive(), ShouldBeTrue)
	So(entry.descriptors(), ShouldBeLessThan, crowdDescriptors-fileDescriptors)
	So(entry.peakMegabytes(), ShouldBeLessThan, crowdMemoryMB)
	closeAll(connections)
	So(answered(crowdFiller), ShouldBeTrue)
}

// Guards against callers that make an entry hold so much memory, or so many connections, that its VM kills it or that it can no
// longer serve others.
func TestEntryStaysWithinItsVMUnderCrowds(t *testing.T) {
	program := buildProgram(t)
	for _, crowd := range crowds {
		t.Run(crowd.name, func(t *testing.T) {
			Convey("An entry stays within its VM's limits and still answers", t, func() {
				vm, path := newCrowdVM(t)
				cmd := exec.Command(program, "gateway")
				cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
				entry := startProcess(t, cmd)
				waitForStatus("http://"+vm.ReadinessAddress()+"/-/ready", http.StatusOK)
				So(answered(vm, "small"), ShouldBeTrue)

				connections := sendCrowd(vm.CallerAddress(), gatewayIdentity, crowd.size, crowd.caller)
				assertWithinLimits(entry, connections, func(body string) bool { return answered(vm, body) })
			})
		})
	}
}

// Guards against the same crowds at an entry of which the settings do not tell the VM's limits.
func TestEntryWithoutLimitsInItsSettingsStaysWithinItsShareOfTheMachineUnderCrowds(t *testing.T) {
	program := buildProgram(t)
	for _, crowd := range crowds {
		if !slices.Contains([]string{"whole", "largeChunks", "withoutRequest"}, crowd.name) {
			continue
		}
		t.Run(crowd.name, func(t *testing.T) {
			Convey("An entry stays within its share of the machine and still answers", t, func() {
				vm, path := newCrowdVM(t)
				vm.MemoryMegabytes, vm.FileDescriptors = 0, 0
				writeSettings(t, vm, path)
				cmd := exec.Command(program, "gateway")
				cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path, crowdMemoryVariable)
				entry := startProcess(t, cmd)
				waitForStatus("http://"+vm.ReadinessAddress()+"/-/ready", http.StatusOK)
				So(answered(vm, "small"), ShouldBeTrue)

				connections := sendCrowd(vm.CallerAddress(), gatewayIdentity, crowd.size, crowd.caller)
				assertWithinLimits(entry, connections, func(body string) bool { return answered(vm, body) })
			})
		})
	}
}
