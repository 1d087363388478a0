package process_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/link"
	"lovageshift/process"
	"lovageshift/settings"
	"lovageshift/standin"
)

const serveFolder = `[zones.a]
[routes.read]
prefix = "/read/"
methods = ["POST"]
repeatable = true
open = true
[targets.t]
kind = "service"
route = "read"
zone = "a"
address = "%[1]s:9001"
agent = "%[1]s:9002"
[limits]
bodyBytes = %[2]d
`

const serveSettings = `id = "entry-1"
zone = "a"
listen = "%[1]s:9004"
operators = "%[1]s:9005"
memoryMegabytes = %[3]d
fileDescriptors = %[4]d
[security]
plain = true
[source]
folder = "%[2]s"
`

// startServe starts the service, its agent and an entry on the VM that reaches it through the agent, and returns the entry.
func startServe(
	t *testing.T, program string, service http.Handler, limits standin.VM, environment ...string,
) (entry *entryProcess, address string) {
	vm, _ := newVM(t, "")
	folder := t.TempDir()
	files := map[string]string{
		filepath.Join(folder, "fleet.toml"): fmt.Sprintf(serveFolder, vm.Host, crowdBodyLimit),
		filepath.Join(folder, "serve"):      fmt.Sprintf(serveSettings, vm.Host, folder, limits.MemoryMegabytes, limits.FileDescriptors),
	}
	for path, content := range files {
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	host := standin.NewHost(link.NewNetwork(link.Plaintext()), vm.Host+":9001", service)
	if err := host.Start(); err != nil {
		t.Fatal(err)
	}
	agent := settings.DefaultAgent()
	agent.Target, agent.Listen, agent.Operators = "t", vm.Host+":9002", vm.Host+":9003"
	agent.Security.Plaintext, agent.Source.Folder = true, folder
	var tasks errgroup.Group
	tasks.Go(func() error { return process.RunAgent(ctx, agent) })
	t.Cleanup(func() {
		stop()
		_ = tasks.Wait()
		host.Close(context.Background())
	})
	cmd := exec.Command(program, "serve", filepath.Join(folder, "serve"))
	cmd.Env = append(os.Environ(), environment...)
	entry = startProcess(t, cmd)
	address = vm.Host + ":9004"
	waitForStatus("http://"+address+"/readyz", http.StatusOK)
	return entry, address
}

// answeredAt reports whether an ordinary request from another address than that of the crowds gets its answer, with the repeats
// of a caller that is refused.
func answeredAt(address, body string) bool {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	client := http.Client{Timeout: answerLimit, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	for end := time.Now().Add(answerLimit); time.Now().Before(end); {
		response, err := client.Post("http://"+address+"/read/x", "text/plain", strings.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
		lovageshift.Pause(context.Background(), 100*time.Millisecond)
	}
	return false
}

// Guards against the same crowds at an entry that reaches its targets through agents.
func TestServeStaysWithinItsVMUnderCrowds(t *testing.T) {
	program := buildProgram(t)
	for _, crowd := range crowds {
		if !slices.Contains([]string{"whole", "largeChunks", "declaredOver", "withoutRequest"}, crowd.name) {
			continue
		}
		t.Run(crowd.name, func(t *testing.T) {
			Convey("An entry stays within its VM's limits and still answers", t, func() {
				entry, address := startServe(t, program, standin.NewService(), crowdLimits)
				So(answeredAt(address, "small"), ShouldBeTrue)

				connections := sendCrowd(address, "", crowd.size, crowd.caller)
				assertWithinLimits(entry, connections, func(body string) bool { return answeredAt(address, body) })
			})
		})
	}
}

// Guards against a crowd at an entry that reaches its targets through agents and of which the settings do not tell the VM's limits.
func TestServeWithoutLimitsInItsSettingsStaysWithinItsShareOfTheMachineUnderCrowds(t *testing.T) {
	program := buildProgram(t)
	Convey("An entry stays within its share of the machine and still answers", t, func() {
		entry, address := startServe(t, program, standin.NewService(), standin.VM{}, crowdMemoryVariable)
		So(answeredAt(address, "small"), ShouldBeTrue)

		connections := sendCrowd(address, "", crowdSize, declared(crowdBodyLimit, crowdBodyLimit-heldBackBytes, len(crowdFiller)))
		assertWithinLimits(entry, connections, func(body string) bool { return answeredAt(address, body) })
	})
}
