package gateway_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// An idle target restarted with another software version while the store was away. No request lost a connection to it, so the
// entries bound streams there to the version of the record that they had, and sent it streams of that version.
func TestNoStreamIsJoinedAtAnIdleTargetThatRestartedUnseen(t *testing.T) {
	const count = 40
	for name, c := range map[string]struct {
		before int           // streams that are complete before, which leave kept connections
		begun  int           // streams that callers leave before, and take up after the restart
		wait   time.Duration // from the loss of the store to the restart
	}{
		"began there, without a connection":                 {wait: time.Second},
		"began there, after it had closed idle connections": {before: count},
		"is taken up there, without a connection":           {begun: count, wait: time.Second},
	} {
		Convey("No stream is joined that "+name, t, func() {
			i := newInstallation(2, 4, targetOptions{slots: 40, events: 30, engine: true, version: func(int) string { return "v1" }})
			defer i.stop()
			i.beginStreamsAt("/resume/", c.before, 0)
			streams := i.beginStreams(c.begun)
			time.Sleep(400 * time.Millisecond)
			i.store.SetFailure(http.StatusServiceUnavailable)
			i.server.CloseClientConnections()
			time.Sleep(c.wait)
			i.hosts[0].replica.SetVersion("v2")
			i.hosts[0].crashed <- struct{}{}
			time.Sleep(400 * time.Millisecond)
			streams = append(streams, i.beginStreams(count-c.begun)...)
			i.takeUp(streams)
			wentOn, joined := 0, 0
			for _, s := range streams {
				if s.goesOn() {
					wentOn++
				}
				if len(slices.Compact(slices.Concat(s.firstReply.Versions, s.nextReply.Versions))) > 1 {
					joined++
				}
			}
			So(joined, ShouldEqual, 0)
			So(wentOn, ShouldBeGreaterThanOrEqualTo, count/2)
		})
	}
}
