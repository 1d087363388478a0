package connection_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"lovageshift"
	"lovageshift/connection"
)

// Guards against a full listener that refuses new callers while others are idle, and against one that closes the connection of
// a running request.
func TestIdleConnectionsAreClosedForNewOnes(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var full atomic.Int64
	begun, end := make(chan struct{}), make(chan struct{})
	l := connection.NewListener(inner, connection.Options{Clock: lovageshift.NewClock(), Limit: 2, OnFull: func() { full.Add(1) }})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			begun <- struct{}{}
			<-end
		}
	}))
	server.Listener, server.Config.ConnState = l, l.ConnState
	server.Start()
	defer server.Close()
	caller := func() *http.Client { return &http.Client{Transport: &http.Transport{}} } // with connections of its own
	get := func(c *http.Client, path string) bool {
		response, err := c.Get("http://" + inner.Addr().String() + path)
		if err != nil {
			return false
		}
		return response.Body.Close() == nil && response.StatusCode == http.StatusOK
	}

	results := make(chan bool, 2)
	long := func() { results <- get(caller(), "/long") }
	time.AfterFunc(0, long)
	<-begun
	for range 5 { // each stays open as an idle one, until the next one needs its place
		if !get(caller(), "/short") {
			t.Fatal("no answer")
		}
		if open, _ := l.Connections(); open > 2 {
			t.Fatalf("%d connections are open", open)
		}
	}
	if _, shed := l.Connections(); shed < 4 {
		t.Fatalf("%d idle connections were closed", shed)
	}
	time.AfterFunc(0, long)
	<-begun
	// Both places have running requests: a further caller waits until one of them ends.
	waiting := make(chan bool, 1)
	time.AfterFunc(0, func() { waiting <- get(caller(), "/short") })
	for full.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	close(end)
	if !<-results || !<-results || !<-waiting {
		t.Fatal("a request was cut")
	}
}
