package standin_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift/standin"
)

// connection is a kept connection to a replica.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

// connect returns a connection to a replica that is served until the end of the test.
func connect(t *testing.T, replica *standin.Replica) *connection {
	server := httptest.NewServer(replica)
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &connection{conn, bufio.NewReader(conn)}
}

// send sends a request that is meant for the replica with the id target.
func (c *connection) send(id, target string) {
	_, _ = fmt.Fprintf(c, "GET /read/%s HTTP/1.1\r\nHost: x\r\n%s: %s\r\nLovageshift-Expected-Instance: %s\r\n\r\n",
		id, standin.HeaderRequestID, id, target)
}

// receive returns the next answer on the connection, and its body.
func (c *connection) receive(t *testing.T) (*http.Response, string) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(response.Body)
	return response, string(body)
}

func TestReplicaSaysThatItLeavesInAllAnswers(t *testing.T) {
	Convey("Answers, refusals and answers to requests that are meant for others say so", t, func() {
		replica := &standin.Replica{ID: "r", Slots: 1}
		c := connect(t, replica)
		for _, leaving := range []string{"", "1"} {
			for _, target := range []string{"r", "other"} {
				c.send("1", target)
				response, _ := c.receive(t)
				So(response.Header.Get("Server-Leaving"), ShouldEqual, leaving)
			}
			replica.SetLeaving()
		}
		replica.SetFault(standin.ReplicaFaultRefuse)
		c.send("2", "r")
		response, _ := c.receive(t)
		So(response.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
		So(response.Header.Get("Server-Leaving"), ShouldEqual, "1")
	})
}

func TestReplicaRefusesUntil(t *testing.T) {
	Convey("Requests are refused with the time that is left, and run after it", t, func() {
		replica := &standin.Replica{ID: "r", Slots: 1}
		c := connect(t, replica)
		replica.RefuseUntil(time.Now().Add(59500 * time.Millisecond))
		c.send("1", "r")
		response, _ := c.receive(t)
		So(response.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
		So(response.Header.Get("Lovageshift-Not-Executed"), ShouldEqual, "1")
		So(response.Header.Get("Retry-After"), ShouldStartWith, "59.")
		replica.RefuseUntil(time.Now())
		c.send("2", "r")
		response, body := c.receive(t)
		So(response.StatusCode, ShouldEqual, http.StatusOK)
		So(body, ShouldEqual, "done by r")
		So(replica.Received()[0].RetryAfter, ShouldBeGreaterThan, 59*time.Second)
		So(replica.Executed(), ShouldHaveLength, 1)
	})
}

func TestReplicaRepeatsRefusal(t *testing.T) {
	Convey("The refusal of a connection's first request precedes the answer to the second", t, func() {
		replica := &standin.Replica{ID: "r", Slots: 1}
		replica.SetFault(standin.ReplicaFaultRepeatRefusal)
		c := connect(t, replica)
		c.send("1", "r")
		_, _ = c.receive(t)
		c.send("2", "r")
		refusal, _ := c.receive(t)
		So(refusal.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
		So(refusal.Header.Get(standin.HeaderRequestID), ShouldEqual, "1")
		response, body := c.receive(t)
		So(response.Header.Get(standin.HeaderRequestID), ShouldEqual, "2")
		So(body, ShouldEqual, "done by r")
		So(replica.Executed(), ShouldHaveLength, 1)
	})
}
