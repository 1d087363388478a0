package process_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"lovageshift/platform"
)

// exchangeUnread sends the text and returns the answer, and whether the entry then ends the connection.
func exchangeUnread(address, text string) (status int, header http.Header, closed bool) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, nil, false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(answerLimit))
	_, _ = io.WriteString(c, text)
	reader := bufio.NewReader(c)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, nil, false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_, err = reader.ReadByte()
	timeout, isNet := err.(net.Error)
	return response.StatusCode, response.Header, err != nil && (!isNet || !timeout.Timeout())
}

// Guards against refusals that claim too much or too little, that keep the connection of a body that was not read, and against
// one account that keeps others out.
func TestBodiesAreRefusedWithTheReason(t *testing.T) {
	program := buildProgram(t)
	Convey("Bodies are refused by size, progress and room, and other accounts are served meanwhile", t, func() {
		vm, path := newCrowdVM(t)
		cmd := exec.Command(program, "gateway")
		cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
		startProcess(t, cmd)
		waitForStatus("http://"+vm.ReadinessAddress()+"/-/ready", http.StatusOK)
		address := vm.CallerAddress()

		status, _, closed := exchangeUnread(address, crowdHeader(gatewayIdentity, fmt.Sprintf("Content-Length: %d", crowdBodyLimit+1)))
		So(status, ShouldEqual, http.StatusRequestEntityTooLarge)
		So(closed, ShouldBeTrue)
		whole := fmt.Sprintf("%x\r\n%s\r\n", crowdBodyLimit+1, strings.Repeat("x", crowdBodyLimit+1))
		status, _, closed = exchangeUnread(address, crowdHeader(gatewayIdentity, "Transfer-Encoding: chunked")+whole)
		So(status, ShouldEqual, http.StatusRequestEntityTooLarge)
		So(closed, ShouldBeTrue)
		deadline := "Lovageshift-Deadline-Milliseconds: 500\r\nContent-Length: 100"
		status, _, closed = exchangeUnread(address, crowdHeader(gatewayIdentity, deadline)+"stalls here")
		So(status, ShouldEqual, http.StatusRequestTimeout)
		So(closed, ShouldBeTrue)

		// The account's bodies declare more than it may hold of the budget, and do not arrive.
		stalled := sendCrowd(address, gatewayIdentity, 40, func(c net.Conn, identity string, _ bool) {
			_, _ = io.WriteString(c, crowdHeader(identity, fmt.Sprintf("Content-Length: %d", crowdBodyLimit)))
		})
		defer closeAll(stalled)
		var refused atomic.Int64
		var readers errgroup.Group
		for _, c := range stalled {
			readers.Go(func() error {
				_ = c.SetReadDeadline(time.Now().Add(3 * time.Second)) // also for those that are not refused
				response, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err == nil && response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "" {
					refused.Add(1)
				}
				return nil
			})
		}
		_ = readers.Wait()
		So(refused.Load(), ShouldBeBetween, 0, len(stalled))
		So(answered(vm, strings.Repeat("x", crowdBodyLimit)), ShouldBeTrue)
		metrics := waitForStatus(fmt.Sprintf("http://%s:%d/metrics", vm.Host, firstPort+11), http.StatusOK)
		So(metrics, ShouldContainSubstring, `reason="memoryExhausted"`)
		So(metrics, ShouldContainSubstring, `reason="bodyTooSlow"`)
		So(metrics, ShouldContainSubstring, "lovageshift_body_bytes")
		So(metrics, ShouldContainSubstring, "lovageshift_caller_connections")
	})
}
