package entry_test

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/entry"
	"lovageshift/link"
	"lovageshift/memory"
	"lovageshift/metrics"
)

// deadlineRecorder records the read deadline.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (d *deadlineRecorder) SetReadDeadline(deadline time.Time) error {
	d.deadline = deadline
	return nil
}

// Guards against a connection that is held without end, as the server reads on from the body of a request that was answered
// without it.
func TestUnreadBodiesAreBounded(t *testing.T) {
	Convey("The server waits only for a time for a body that the handler does not read", t, func() {
		m, err := metrics.New()
		So(err, ShouldBeNil)
		handler := entry.New(entry.Options{
			ID: "e", Clock: lovageshift.NewClock(), Network: link.NewNetwork(link.Plaintext()), Metrics: m,
			Random: rand.New(rand.NewPCG(1, 1)), Budget: memory.NewBudget(memory.Megabyte),
		}).Handler()
		deadlineOf := func(method, path, body string) time.Time {
			recorder := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
			handler.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
			return recorder.deadline
		}
		So(deadlineOf(http.MethodPost, "/v1/chat/completions", "x").IsZero(), ShouldBeFalse)
		So(deadlineOf(http.MethodPost, "/elsewhere", "x").IsZero(), ShouldBeFalse)
		So(deadlineOf(http.MethodGet, "/healthz", "x").IsZero(), ShouldBeFalse)
		So(deadlineOf(http.MethodGet, "/healthz", "").IsZero(), ShouldBeTrue)
	})
}
