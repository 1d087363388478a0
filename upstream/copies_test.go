package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/standin"
	"lovageshift/upstream"
)

// newRepeatingTarget returns a target that answers each request on a connection, and sends a second copy of the answer.
// The function body returns the part of a response after the headers that name the request. The delay is the time from an
// answer to its second copy; if it is negative, the copy follows the next request, just before the answer to that one.
func newRepeatingTarget(delay time.Duration, body func(id string) string) *connTarget {
	return newConnTarget(func(c net.Conn) {
		reader := bufio.NewReader(c)
		previous := ""
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := request.Header.Get(standin.HeaderRequestID)
			answer := signed + standin.HeaderRequestID + ": " + id + "\r\n" + body(id)
			if delay < 0 {
				_, _ = io.WriteString(c, previous+answer)
				previous = answer
				continue
			}
			_, _ = io.WriteString(c, answer)
			time.Sleep(delay)
			_, _ = io.WriteString(c, answer)
		}
	})
}

// A target may send an answer a second time, late, on a connection that is in use again. The caller whose request is
// then sent on it must get the answer to its own request or none.
func TestSecondCopiesOfAnswers(t *testing.T) {
	bodies := map[string]func(id string) string{
		"with a length": func(id string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(id), id) },
		"in chunks": func(id string) string {
			return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(id), id)
		},
		"without a body": func(string) string { return "Content-Length: 0\r\n\r\n" },
	}
	delays := map[string]time.Duration{"at once": 0, "after 1 ms": time.Millisecond, "after 20 ms": 20 * time.Millisecond, "before the next answer": -1}
	for name, body := range bodies {
		for when, delay := range delays {
			Convey("An answer "+name+" is repeated "+when, t, func() {
				target := newRepeatingTarget(delay, body)
				pool := newPool()
				for i := range 30 {
					id := fmt.Sprintf("r%d", i)
					got, ok := sendOnce(pool, target.registered(), id)
					if ok && got != "" {
						So(got, ShouldEqual, id)
					}
					time.Sleep(time.Duration(i%3) * 700 * time.Microsecond)
				}
				pool.Expire(func(lovageshift.TargetID, int64) bool { return false })
				target.close()
			})
		}
	}
}

// sendOnce sends a request and returns the body of the answer that is its own by the headers.
func sendOnce(pool *upstream.Pool, target *catalog.Target, id string) (string, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	header := http.Header{standin.HeaderRequestID: {id}}
	response, err := pool.Send(ctx, target, 10, &upstream.Request{ID: id, Method: "POST", URI: "/x", Host: "h", Header: header, HasBody: true, Repeatable: true})
	if err != nil {
		return "", false
	}
	defer response.Close()
	So(response.Decoded.RequestID, ShouldEqual, id)
	body, _, err := response.ReadBody()
	return string(body), err == nil
}
