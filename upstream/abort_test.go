package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/metrics"
	"lovageshift/upstream"
)

// TestRequestThatWasGivenUpDoesNotReachItsTargetLater guards against a connection that delivers, after a cut of the network, a
// request whose caller has long had its answer.
func TestRequestThatWasGivenUpDoesNotReachItsTargetLater(t *testing.T) {
	Convey("The connection of a request that is given up is reset, not only closed", t, func() {
		ctx, giveUp := context.WithCancel(context.Background())
		ends := make(chan error, 1)
		target := newConnTarget(func(c net.Conn) {
			reader := bufio.NewReader(c)
			_, _ = http.ReadRequest(reader)
			giveUp()
			_, err := reader.ReadByte()
			ends <- err
		})
		defer target.close()
		m, err := metrics.New()
		So(err, ShouldBeNil)
		pool := upstream.NewPool(lovageshift.NewClock(), m)
		_, err = pool.Send(ctx, target.registered(), 1, &upstream.Request{ID: "r1", Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
		So(err, ShouldNotBeNil)
		So(errors.Is(<-ends, syscall.ECONNRESET), ShouldBeTrue)
	})
}
