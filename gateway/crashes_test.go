package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"lovageshift/standin"
)

const (
	// The part under which targets crash, and the time after the fifth crash from which at most maxLateRequests requests with
	// it may reach targets.
	crashingPart    = "bad0"
	contactTime     = 3 * time.Second
	maxLateRequests = 3
)

// partsWith returns the parts of one request's prompt. The first one is the same for all.
func partsWith(middle string, own int64) string {
	return fmt.Sprintf("f1:60,%s:400,%x:200", middle, own)
}

// TestPromptPartThatCrashesTargets guards against a prompt part that keeps crashing targets, in requests that differ otherwise.
func TestPromptPartThatCrashesTargets(t *testing.T) {
	Convey("Requests with a part that crashed five targets no longer reach targets, and the other ones do", t, func() {
		i := newInstallation(3, 8, func(r *http.Request) bool {
			return strings.Contains(r.Header.Get(standin.HeaderPromptParts), crashingPart)
		})
		defer i.stop()
		var number, sound, answered atomic.Int64
		var callers errgroup.Group
		end := time.Now().Add(7 * time.Second)
		for range 2 {
			callers.Go(func() error {
				for time.Now().Before(end) {
					n := number.Add(1)
					i.send(int(n), standin.CallerRequest{ID: fmt.Sprintf("bad-%d", n), Path: "/chat/x", Body: fmt.Sprint(n), PromptParts: partsWith(crashingPart, n)})
					time.Sleep(150 * time.Millisecond)
				}
				return nil
			})
		}
		for range 4 {
			callers.Go(func() error {
				for time.Now().Before(end) {
					n := number.Add(1)
					reply := i.send(int(n), standin.CallerRequest{ID: fmt.Sprintf("sound-%d", n), Path: "/chat/x", Body: fmt.Sprint(n), PromptParts: partsWith(fmt.Sprintf("%x", 100+n%20), n)})
					if time.Now().After(end.Add(-time.Second)) {
						sound.Add(1)
						if reply.Complete && reply.Status == http.StatusOK {
							answered.Add(1)
						}
					}
					time.Sleep(20 * time.Millisecond)
				}
				return nil
			})
		}
		_ = callers.Wait()
		crashes := i.crashes()
		slices.SortFunc(crashes, time.Time.Compare)
		late := 0
		if len(crashes) >= 5 {
			for _, request := range i.received() {
				if strings.Contains(request.PromptParts, crashingPart) && request.ReceivedAt.After(crashes[4].Add(contactTime)) {
					late++
				}
			}
		}
		So(late, ShouldBeLessThanOrEqualTo, maxLateRequests)
		So(answered.Load(), ShouldBeGreaterThan, sound.Load()*9/10)
	})
}
