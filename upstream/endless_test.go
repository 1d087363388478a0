package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/memory"
	"lovageshift/standin"
	"lovageshift/upstream"
)

const (
	// How many bytes an endless target sends at most, so that the test ends even if nothing limits what is read.
	endlessBytes = 64 << 20
	// How much may be allocated to read one endless response. The smallest entries have 184 MB in all, and several
	// targets may fail in this way at once.
	endlessAllocation = 8 << 20
	// Within this time the caller of Send must have its error. Its context ends much later.
	endlessPatience = 2 * time.Second
)

// newEndlessTarget returns a target that sends a beginning, and then a block again and again until its caller closes the
// connection.
func newEndlessTarget(beginning, repeated string) *connTarget {
	block := []byte(strings.Repeat(repeated, 1+(64<<10)/len(repeated)))
	return newConnTarget(func(c net.Conn) { answerEndlessly(c, beginning, block) })
}

func answerEndlessly(c net.Conn, beginning string, block []byte) {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	if _, err := io.WriteString(c, beginning); err != nil {
		return
	}
	for sent := 0; sent < endlessBytes; sent += len(block) {
		if _, err := c.Write(block); err != nil {
			return
		}
	}
}

// readAll sends a request and reads the body or the events of the response.
func readAll(target *connTarget, asEvents bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return readAllFrom(ctx, newPool(), target.registered(), asEvents)
}

func readAllFrom(ctx context.Context, pool *upstream.Pool, target *catalog.Target, asEvents bool) error {
	response, err := pool.Send(ctx, target, 0, &upstream.Request{ID: "r1", Method: "GET", URI: "/x", Host: "h", Header: http.Header{}})
	if err != nil {
		return err
	}
	defer response.Close()
	if !asEvents {
		if _, complete, err := response.ReadBody(); err != nil || complete {
			return err
		}
		return response.CopyRest(io.Discard)
	}
	events := response.Events()
	for {
		if _, err := events.Next(); err != nil {
			return err
		}
	}
}

// A faulty target may send bytes without end in place of a response. Without a limit on each part of a response, one
// such target takes all the memory of every entry that sends it a request.
func TestEndlessResponses(t *testing.T) {
	chunked := header + "Transfer-Encoding: chunked\r\n\r\n"
	cases := map[string]struct {
		beginning, repeated string
		asEvents            bool
	}{
		"status line":         {"HTTP/1.1 200 ", "a", false},
		"no line end":         {"", "a", false},
		"header line":         {signed + "X-Long: ", "a", false},
		"header lines":        {signed, "X-Many: 1\r\n", false},
		"interim responses":   {"", "HTTP/1.1 102 Processing\r\n\r\n", false},
		"interim header":      {"HTTP/1.1 103 Early Hints\r\n", "Link: </a>\r\n", false},
		"chunk extension":     {chunked + "2;", "a", false},
		"trailer":             {chunked + "2\r\nok\r\n0\r\n", "X-Trailer: 1\r\n", false},
		"body without length": {header + "Connection: close\r\n\r\n", "a", false},
		"chunks":              {chunked, "1000\r\n" + strings.Repeat("a", 4096) + "\r\n", false},
		"event line":          {chunked + "10000000\r\ndata: ", "a", true},
		"event lines":         {chunked + "10000000\r\n", "data: a\n", true},
		"refusal's body":      {"HTTP/1.1 503 Busy\r\nLovageshift-Request-Id: r1\r\n" + standin.HeaderNotRun + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n10000000\r\n", "a", false},
		"failure's body":      {"HTTP/1.1 500 Failed\r\nLovageshift-Request-Id: r1\r\nConnection: close\r\n\r\n", "a", false},
		"comments":            {chunked + "10000000\r\n", ":\n", true},
		"late response":       {"HTTP/1.1 200 OK\r\nLovageshift-Request-Id: r0\r\nConnection: close\r\n\r\n", "a", false},
	}
	for name, c := range cases {
		Convey("A response without end is given up with little memory: "+name, t, func() {
			target := newEndlessTarget(c.beginning, c.repeated)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			started := time.Now()
			err := readAll(target, c.asEvents)
			took := time.Since(started)
			runtime.ReadMemStats(&after)
			target.close()
			So(err, ShouldNotBeNil)
			So(errors.Is(err, upstream.ErrNotSent), ShouldBeFalse)
			So(took, ShouldBeLessThan, endlessPatience)
			So(after.TotalAlloc-before.TotalAlloc, ShouldBeLessThan, endlessAllocation)
		})
	}
}

// Guards against a limit on the lines of a header that counts those of the body, or leaves out those that came with the header
// before.
func TestLinesOfAResponseHeaderAreLimited(t *testing.T) {
	const mostLines = 256 // with the status line and the empty one
	length := "Content-Length: 20000\r\n\r\n"
	fields := func(lines int) string { return strings.Repeat("A:\n", lines-strings.Count(header+length, "\n")) }
	body := strings.Repeat("\n", 20000)
	late := signed + standin.HeaderRequestID + ": r0\r\nContent-Length: 2\r\n\r\n\n\n"
	cases := map[string]struct {
		response string
		isValid  bool
	}{
		"most lines":            {header + fields(mostLines) + length + body, true},
		"one line more":         {header + fields(mostLines+1) + length + body, false},
		"most, after another":   {late + header + fields(mostLines) + length + body, true},
		"one more, after":       {late + header + fields(mostLines+1) + length + body, false},
		"longest status line":   {"HTTP/1.1 200 " + strings.Repeat("a", 4000) + header[len("HTTP/1.1 200 OK"):] + length + body, true},
		"too long status line":  {"HTTP/1.1 200 " + strings.Repeat("a", 4096) + header[len("HTTP/1.1 200 OK"):] + length + body, false},
		"line end before":       {"\r\n" + header + length + body, false},
		"lines of a body alone": {header + length + body, true},
	}
	for name, c := range cases {
		Convey("The lines of a header are limited: "+name, t, func() {
			target := newConnTarget(func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, c.response)
				}
			})
			err := readAll(target, false)
			target.close()
			if c.isValid {
				So(err, ShouldBeNil)
				return
			}
			So(errors.Is(err, upstream.ErrInvalidResponse), ShouldBeTrue)
		})
	}
}

// Guards against an event line without end that counts as a crash of its target, for which the request would be quarantined.
func TestEventLineWithoutEndIsNoLostConnection(t *testing.T) {
	Convey("An event line without end is an invalid answer", t, func() {
		target := newEndlessTarget(header+"Transfer-Encoding: chunked\r\n\r\n10000000\r\ndata: ", "a")
		err := readAll(target, true)
		target.close()
		So(errors.Is(err, upstream.ErrConnectionLost), ShouldBeFalse)
		So(errors.Is(err, upstream.ErrInvalidResponse), ShouldBeTrue)
	})
}

// Guards against answers that each keep their limit but together take all the memory of an entry, and against memory that is not
// given back.
func TestAnswersTogetherStayWithinTheBudget(t *testing.T) {
	const size, answers, sent = 1 << 20, 50, 200 << 10
	cases := map[string]struct {
		beginning, repeated string
		asEvents            bool
	}{
		"header line": {header + "X-Long: ", "a", false},
		"body":        {header + "Connection: close\r\n\r\n", "a", false},
		"event line":  {header + "Transfer-Encoding: chunked\r\n\r\n10000000\r\ndata: ", "a", true},
		"event lines": {header + "Transfer-Encoding: chunked\r\n\r\n10000000\r\n", "data: a\n", true},
	}
	for name, c := range cases {
		Convey("The sum is limited, another answer arrives meanwhile, and nothing is held at the end: "+name, t, func() {
			target := newConnTarget(func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, c.beginning+strings.Repeat(c.repeated, sent/len(c.repeated)))
					_, _ = conn.Read(make([]byte, 1)) // until the caller closes
				}
			})
			large := strings.Repeat("a", sent)
			other := newScriptedTarget(header + "Content-Length: 204800\r\n\r\n" + large)
			budget := memory.NewBudget(size)
			pool := newPool()
			pool.LimitMemory(budget)
			var readers errgroup.Group
			ctx, cancel := context.WithCancel(context.Background())
			for range answers {
				readers.Go(func() error { return readAllFrom(ctx, pool, target.registered(), c.asEvents) })
			}
			for end := time.Now().Add(endlessPatience); budget.Usage().Held < size/8 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			var received strings.Builder
			response, err := pool.Send(ctx, other.target, 10, &upstream.Request{ID: "r1", Method: "GET", URI: "/x", Host: "h", Header: http.Header{}})
			So(err, ShouldBeNil)
			beginning, complete, err := response.ReadBody()
			So(err, ShouldBeNil)
			received.Write(beginning)
			if !complete {
				So(response.CopyRest(&received), ShouldBeNil)
			}
			response.Close()
			So(received.String() == large, ShouldBeTrue)
			So(budget.Usage().Held, ShouldBeBetween, 0, size)
			cancel()
			So(readers.Wait(), ShouldNotBeNil)
			So(budget.Usage().Held, ShouldEqual, 0)
			target.close()
			other.close()
		})
	}
}

// Guards against a report without end, which an entry reads to see whether a target still runs.
func TestReportsWithoutEndAreGivenUp(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	cases := map[string]struct{ beginning, repeated string }{
		"status line": {"HTTP/1.1 200 ", "a"},
		"header line": {head + "X-Long: ", "a"},
		"header":      {head, "X-Many: 1\r\n"},
		"body":        {head + "Connection: close\r\n\r\n{\"born\":1,\"a\":\"", "a"},
		"spaces":      {head + "Connection: close\r\n\r\n", " "},
		"chunks":      {head + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("a", 4096) + "\r\n"},
	}
	for name, c := range cases {
		Convey("A report without end is no report, and takes little memory: "+name, t, func() {
			target := newEndlessTarget(c.beginning, c.repeated)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := upstream.Born(context.Background(), target.registered())
			runtime.ReadMemStats(&after)
			target.close()
			So(err, ShouldNotBeNil)
			So(after.TotalAlloc-before.TotalAlloc, ShouldBeLessThan, endlessAllocation)
		})
	}
}

// Guards against bytes after the end of an answer that are kept, or taken for the answer to the next request.
func TestBytesAfterAnAnswerAreDropped(t *testing.T) {
	Convey("The next request is answered on another connection", t, func() {
		target := newEndlessTarget(header+"Content-Length: 2\r\n\r\nok", header+"Content-Length: 2\r\n\r\nno")
		pool := newPool()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range 20 {
			response, err := pool.Send(context.Background(), target.registered(), 1, &upstream.Request{ID: "r1", Method: "GET", URI: "/x", Host: "h", Header: http.Header{}})
			So(err, ShouldBeNil)
			body, complete, err := response.ReadBody()
			So(err, ShouldBeNil)
			So(complete, ShouldBeTrue)
			So(string(body), ShouldEqual, "ok")
			response.Close()
		}
		runtime.ReadMemStats(&after)
		pool.Expire(func(lovageshift.TargetID, int64) bool { return false })
		target.close()
		So(after.TotalAlloc-before.TotalAlloc, ShouldBeLessThan, endlessAllocation)
	})
}
