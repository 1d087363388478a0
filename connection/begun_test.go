package connection_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"lovageshift"
	"lovageshift/connection"
)

// Guards against a full listener that closes the connection on which a request's header is being received.
func TestBegunRequestsAreNotClosedForNewCallers(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := connection.NewListener(inner, connection.Options{Clock: lovageshift.NewVirtualClock(), Limit: 1, OnFull: func() {}})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	read := make(chan struct{}, 10)
	server.Listener, server.Config.ConnState = readListener{l, read}, func(c net.Conn, state http.ConnState) {
		l.ConnState(c.(readConn).Conn, state)
	}
	server.Start()
	defer server.Close()
	caller, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	answers := bufio.NewReader(caller)
	for _, part := range []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\n"} {
		_, _ = io.WriteString(caller, part)
		<-read
		if part[len(part)-4:] == "\r\n\r\n" {
			if _, err := http.ReadResponse(answers, nil); err != nil {
				t.Fatal(err)
			}
		}
	}
	// Accept is called by the server: it looks for a connection to close when the next caller comes.
	next, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = next.Close() }()
	_, _ = io.WriteString(caller, "\r\n")
	if _, err := http.ReadResponse(answers, nil); err != nil {
		t.Fatal("a begun request was cut: ", err)
	}
}

// readListener reports each read with bytes of its connections.
type readListener struct {
	net.Listener
	read chan struct{}
}

func (l readListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return readConn{c, l.read}, err
}

type readConn struct {
	net.Conn
	read chan struct{}
}

func (c readConn) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	if count > 0 {
		c.read <- struct{}{}
	}
	return count, err
}
