package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/metrics"
	"lovageshift/standin"
	"lovageshift/upstream"
)

// closingMoment is a moment at which a target closes a connection.
type closingMoment int

const (
	onAccept closingMoment = iota
	onFirstBytes
	afterHeader
	afterRequest
	inAnswerHeader
	inAnswerBody
	afterAnswer
	whileIdle // at a random time of up to 2 ms after an answer, when the next request may be under way
	closingMoments
)

// closingTarget closes each connection at the next moment, half of them by a reset, and knows which requests have reached it.
type closingTarget struct {
	mutex   sync.Mutex
	served  int
	reached map[string]bool
}

func (t *closingTarget) serve(c net.Conn) {
	t.mutex.Lock()
	t.served++
	moment, resets := closingMoment(t.served)%closingMoments, t.served/int(closingMoments)%2 == 0
	t.mutex.Unlock()
	if resets {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	reader := bufio.NewReader(c)
	for answered := 0; ; answered++ {
		last := moment <= inAnswerBody && (answered > 0 || moment == onAccept) || moment == afterAnswer
		if last && moment == onAccept || !t.answer(c, reader, moment, last) {
			return
		}
		if moment == whileIdle {
			_ = c.SetReadDeadline(time.Now().Add(time.Duration(rand.IntN(2000)) * time.Microsecond))
		}
	}
}

// answer serves a request, and reports whether the connection stays open. If the connection is the last one, it ends at the moment.
func (t *closingTarget) answer(c net.Conn, reader *bufio.Reader, moment closingMoment, last bool) bool {
	first, err := reader.Peek(len("POST /r123456 HTTP"))
	if err != nil {
		return false
	}
	id, _, _ := strings.Cut(string(first[len("POST /"):]), " ")
	t.mutex.Lock()
	t.reached[id] = true
	t.mutex.Unlock()
	_ = c.SetReadDeadline(time.Time{})
	if last && moment == onFirstBytes {
		return false
	}
	request, err := http.ReadRequest(reader)
	if err != nil || last && moment == afterHeader {
		return false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	answer := signed + standin.HeaderRequestID + ": " + id + "\r\nContent-Length: " + strconv.Itoa(len(id)) + "\r\n\r\n" + id
	if last {
		switch moment {
		case afterRequest:
			answer = ""
		case inAnswerHeader:
			answer = answer[:len(answer)/2]
		case inAnswerBody:
			answer = answer[:len(answer)-2]
		default:
		}
	}
	_, _ = io.WriteString(c, answer)
	return !last
}

// sendMany sends requests from several goroutines while connections expire, and returns the problems that the function finds.
func sendMany(pool *upstream.Pool, target *catalog.Target, problem func(id, body string, err error) string) []string {
	var senders, expiry sync.WaitGroup
	var mutex sync.Mutex
	var problems []string
	ctx, stop := context.WithCancel(context.Background())
	expiry.Go(func() {
		for ctx.Err() == nil {
			pool.Expire(func(lovageshift.TargetID, int64) bool { return rand.IntN(2) == 0 })
			time.Sleep(time.Duration(rand.IntN(200)) * time.Microsecond)
		}
	})
	for sender := range 8 {
		senders.Go(func() {
			for i := range 400 {
				id := fmt.Sprintf("r%06d", sender*1000+i)
				body, err := sendBody(pool, target, id)
				if found := problem(id, body, err); found != "" {
					mutex.Lock()
					problems = append(problems, id+": "+found)
					mutex.Unlock()
				}
			}
		})
	}
	senders.Wait()
	stop()
	expiry.Wait()
	return problems
}

// largeBody is larger than what the kernel takes at once, so that writing it fails if the target closes the connection.
var largeBody = bytes.Repeat([]byte("b"), 8<<20)

// sendBody sends a request, one in eight with a large body, and returns the body of the response.
func sendBody(pool *upstream.Pool, target *catalog.Target, id string) (string, error) {
	sent := []byte("b")
	if rand.IntN(8) == 0 {
		sent = largeBody
	}
	response, err := pool.Send(context.Background(), target, 0, &upstream.Request{
		ID: id, Method: http.MethodPost, URI: "/" + id, Host: "h", Header: http.Header{}, Body: sent, HasBody: true, Repeatable: true,
	})
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, _, err := response.ReadBody()
	return string(body), err
}

// Guards against a request that is reported as not sent, and thus sent again, although a part of it has reached its target.
func TestRequestThatReachedAClosingTargetIsNotReportedAsNotSent(t *testing.T) {
	Convey("A target closes connections at each moment of a request", t, func() {
		closing := &closingTarget{reached: map[string]bool{}}
		target := newConnTarget(closing.serve)
		defer target.close()
		m, err := metrics.New()
		So(err, ShouldBeNil)
		pool := upstream.NewPool(lovageshift.NewClock(), m)
		defer pool.Expire(func(lovageshift.TargetID, int64) bool { return false })
		counts := map[string]int{}
		var mutex sync.Mutex
		problems := sendMany(pool, target.registered(), func(id, body string, err error) string {
			mutex.Lock()
			defer mutex.Unlock()
			closing.mutex.Lock()
			defer closing.mutex.Unlock()
			switch {
			case err == nil:
				counts["answered"]++
				if body != id {
					return "another answer: " + body
				}
			case errors.Is(err, upstream.ErrNotSent):
				counts["not sent"]++
				if closing.reached[id] {
					return "reached the target: " + err.Error()
				}
			default:
				counts["lost"]++
			}
			return ""
		})
		So(problems, ShouldBeEmpty)
		for _, outcome := range []string{"answered", "not sent", "lost"} {
			So(counts[outcome], ShouldBeGreaterThan, 0)
		}
	})
}

// Guards against a pool that closes a connection as expired that a request has just taken.
func TestConnectionInUseDoesNotExpire(t *testing.T) {
	Convey("Connections expire all the time, and the target closes none", t, func() {
		target := newConnTarget(func(c net.Conn) {
			reader := bufio.NewReader(c)
			patient := &closingTarget{reached: map[string]bool{}}
			for patient.answer(c, reader, closingMoments, false) {
				continue
			}
		})
		defer target.close()
		m, err := metrics.New()
		So(err, ShouldBeNil)
		pool := upstream.NewPool(lovageshift.NewClock(), m)
		defer pool.Expire(func(lovageshift.TargetID, int64) bool { return false })
		So(sendMany(pool, target.registered(), func(id, body string, err error) string {
			if err != nil || body != id {
				return fmt.Sprint(body, err)
			}
			return ""
		}), ShouldBeEmpty)
	})
}
