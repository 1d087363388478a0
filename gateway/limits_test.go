package gateway_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"lovageshift/standin"
)

// In every limitWindow, later than contactTime after it named its limit, a target may get limitOvershoot times what the limit
// allows, and limitSlack more.
const (
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
)

// mostInWindow returns the highest number of requests in any limitWindow after the time.
func mostInWindow(received []standin.ReceivedRequest, after time.Time) int {
	most := 0
	for _, first := range received {
		count := 0
		for _, request := range received {
			age := request.ReceivedAt.Sub(first.ReceivedAt)
			if first.ReceivedAt.After(after) && age >= 0 && age < limitWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// TestLimitThatTargetNames guards against entries that together exceed the requests a second that a target takes.
func TestLimitThatTargetNames(t *testing.T) {
	Convey("A target gets no more than the limit that it names from all entries, and more again when it names none", t, func() {
		const limit = 2
		i := newInstallation(3, 4, nil)
		defer i.stop()
		limited := i.hosts[0].replica
		limited.SetLimit(fmt.Sprint(limit))
		namedAt := time.Now()
		var number, sent, answered atomic.Int64
		var callers errgroup.Group
		end := namedAt.Add(9 * time.Second)
		for range 6 {
			callers.Go(func() error {
				for time.Now().Before(end) {
					n := number.Add(1)
					reply := i.send(int(n), standin.CallerRequest{ID: fmt.Sprintf("r-%d", n), Path: "/chat/x", Body: fmt.Sprint(n)})
					sent.Add(1)
					if reply.Complete && reply.Status == http.StatusOK {
						answered.Add(1)
					}
					time.Sleep(30 * time.Millisecond)
				}
				return nil
			})
		}
		_ = callers.Wait()
		allowed := int(limitOvershoot*limit*limitWindow.Seconds()) + limitSlack
		So(mostInWindow(limited.Received(), namedAt.Add(contactTime)), ShouldBeLessThanOrEqualTo, allowed)
		So(mostInWindow(limited.Received(), namedAt.Add(contactTime)), ShouldBeGreaterThan, 0)
		So(answered.Load(), ShouldBeGreaterThan, sent.Load()*9/10)
		limited.SetLimit("")
		before := len(limited.Received())
		for range 200 {
			n := number.Add(1)
			i.send(int(n), standin.CallerRequest{ID: fmt.Sprintf("r-%d", n), Path: "/chat/x", Body: fmt.Sprint(n)})
		}
		So(len(limited.Received())-before, ShouldBeGreaterThan, 20)
	})
}
