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
		i := newInstallation(3, 4, targetOptions{})
		defer i.stop()
		limited := i.hosts[0].replica
		limited.SetLimit(fmt.Sprint(limit))
		namedAt := time.Now()
		sent, answered := i.load(6, 9*time.Second)
		allowed := int(limitOvershoot*limit*limitWindow.Seconds()) + limitSlack
		So(mostInWindow(limited.Received(), namedAt.Add(contactTime)), ShouldBeBetweenOrEqual, 1, allowed)
		So(answered, ShouldBeGreaterThan, sent*9/10)
		limited.SetLimit("")
		i.load(12, 2*time.Second)
		before := len(limited.Received())
		i.load(12, 4*time.Second)
		So(len(limited.Received())-before, ShouldBeGreaterThan, allowed)
	})
}

// load sends requests through all entries, each caller one after the other, and returns how many were sent and answered.
func (i *installation) load(count int, duration time.Duration) (sent, answered int64) {
	var sentCount, answeredCount atomic.Int64
	var callers errgroup.Group
	end := time.Now().Add(duration)
	repeat(&callers, count, end, 30*time.Millisecond, func() {
		n := sentCount.Add(1)
		id := fmt.Sprintf("r-%d-%d", end.UnixNano(), n)
		reply := i.send(int(n), standin.CallerRequest{ID: id, Path: "/chat/x", Body: id})
		if reply.Complete && reply.Status == http.StatusOK {
			answeredCount.Add(1)
		}
	})
	_ = callers.Wait()
	return sentCount.Load(), answeredCount.Load()
}
