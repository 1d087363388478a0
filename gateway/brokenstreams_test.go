package gateway_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift/standin"
)

func TestBrokenStreams(t *testing.T) {
	Convey("A truncated stream never looks complete", t, func() {
		s := newSetup(streamingReplica("i-1"))
		defer s.stop()
		s.replicas[0].SetFault(standin.ReplicaFaultTruncate)
		got := s.send("r1", "POST", "/chat/x", "")
		So(got.status, ShouldEqual, 200)
		So(got.complete, ShouldBeFalse)
		So(got.body, ShouldNotEndWith, "da")
	})
	Convey("The events that arrived together with the end of a connection reach the caller", t, func() {
		replica := streamingReplica("i-1")
		replica.EventInterval = 0
		s := newSetup(replica)
		defer s.stop()
		replica.SetFault(standin.ReplicaFaultTruncate)
		for i := range 30 {
			got := s.send(fmt.Sprintf("r%d", i), "POST", fmt.Sprintf("/chat/%d", i), "")
			So(got.status, ShouldEqual, 200)
			So(got.complete, ShouldBeFalse)
			So(got.body, ShouldContainSubstring, "piece 2\n")
		}
	})
	Convey("A resumable stream continues at another target without missing or repeated events", t, func() {
		s := newSetup(streamingReplica("i-1"), streamingReplica("i-2"))
		defer s.stop()
		s.replicas[0].SetFault(standin.ReplicaFaultTruncate)
		for i := range 4 {
			got := s.send(fmt.Sprintf("r%d", i), "POST", "/resume/x", "")
			So(got.complete, ShouldBeTrue)
			for piece := 1; piece <= 6; piece++ {
				So(strings.Count(got.body, fmt.Sprintf("piece %d\n", piece)), ShouldEqual, 1)
			}
		}
	})
}
