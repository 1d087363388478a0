package framing_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"lovageshift/framing"
)

const headerLimit = 1024

// sendRaw sends bytes to a server behind a Listener. It returns the statuses of the responses, and the path and body of
// each request that the handler read completely.
func sendRaw(sent string) (statuses []int, handled []string) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	listener := &framing.Listener{Listener: raw, HeaderLimit: func() int { return headerLimit }}
	requests := make(chan string, 10)
	server := &http.Server{MaxHeaderBytes: 2 * headerLimit, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		requests <- r.URL.Path + " " + string(body)
	})}
	var tasks errgroup.Group
	tasks.Go(func() error { return server.Serve(listener) })
	conn, err := net.Dial("tcp", raw.Addr().String())
	So(err, ShouldBeNil)
	_, err = io.WriteString(conn, sent)
	So(err, ShouldBeNil)
	So(conn.(*net.TCPConn).CloseWrite(), ShouldBeNil)
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		_, _ = io.Copy(io.Discard, response.Body)
		statuses = append(statuses, response.StatusCode)
	}
	_ = conn.Close()
	_ = server.Close()
	_ = tasks.Wait()
	close(requests)
	for request := range requests {
		handled = append(handled, request)
	}
	return statuses, handled
}

func TestValidRequestsPass(t *testing.T) {
	Convey("Requests with a Content-Length, with chunks and without a body pass on one connection", t, func() {
		statuses, handled := sendRaw("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" +
			"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=1\r\nabc\r\n2\r\nde\r\n0\r\n\r\n" +
			"GET /c HTTP/1.1\r\nHost: h\r\n\r\n")
		So(statuses, ShouldResemble, []int{200, 200, 200})
		So(handled, ShouldResemble, []string{"/a abc", "/b abcde", "/c "})
	})
}

func TestAmbiguousRequestsAreRefused(t *testing.T) {
	// Follows each ambiguous request on its connection. However that request is interpreted, this one must not reach the
	// handler.
	smuggled := "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
	cases := map[string]string{
		"a length and chunks":    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"two lengths":            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 34\r\n\r\n" + smuggled,
		"the same length twice":  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n" + smuggled,
		"a signed length":        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +0\r\n\r\n" + smuggled,
		"an unknown encoding":    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + smuggled,
		"a space before a colon": "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"a folded header":        "POST /a HTTP/1.1\r\nHost: h\r\nX: a\r\n Content-Length: 3\r\n\r\n" + smuggled,
		"a bare line feed":       "GET /a HTTP/1.1\nHost: h\r\n\r\n" + smuggled,
		"a bare carriage return": "GET /a HTTP/1.1\r\nHost: h\r\nX: a\rb\r\n\r\n" + smuggled,
		"two hosts":              "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n" + smuggled,
		"a space in the path":    "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n" + smuggled,
		"an unknown protocol":    "GET /a HTTP/1.2\r\nHost: h\r\n\r\n" + smuggled,
		"a chunk without size":   "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n\r\n" + smuggled,
		"a chunk size with 0x":   "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n" + smuggled,
		"a chunk over its size":  "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n" + smuggled,
	}
	for name, sent := range cases {
		Convey(name, t, func() {
			statuses, handled := sendRaw(sent)
			So(statuses, ShouldResemble, []int{400})
			So(handled, ShouldBeEmpty)
		})
	}
}

func TestOversizedHeaders(t *testing.T) {
	Convey("A header above the limit is answered 431", t, func() {
		statuses, handled := sendRaw("GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", headerLimit) + "\r\n\r\n")
		So(statuses, ShouldResemble, []int{431})
		So(handled, ShouldBeEmpty)
	})
}
