package upstream_test

import (
	"bytes"
	"context"
	"net/http"
	"runtime"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift/upstream"
)

// Guards against a second copy of each body that is being sent, which the memory budget of the callers' bodies does not count.
func TestBodiesAreSentWithoutACopy(t *testing.T) {
	Convey("Sending a large body takes less memory than the body", t, func() {
		s := newScriptedTarget(header + "Content-Length: 2\r\n\r\nok")
		defer s.close()
		request := &upstream.Request{
			ID: "r1", Method: "POST", URI: "/x", Host: "h", Header: http.Header{}, Body: bytes.Repeat([]byte("x"), 16<<20), HasBody: true,
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		response, err := s.pool.Send(context.Background(), s.target, 10, request)
		runtime.ReadMemStats(&after)
		So(err, ShouldBeNil)
		response.Close()
		So(after.TotalAlloc-before.TotalAlloc, ShouldBeLessThan, len(request.Body))
	})
}
