package soak_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"lovageshift/soak"
)

// withProxy calls body with a proxy in front of a server and with a function that fetches a response through the proxy,
// waiting at most for the given time.
func withProxy(body func(proxy *soak.Proxy, get func(wait time.Duration) (string, error))) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }))
	defer server.Close()
	proxy, err := soak.NewProxy("127.0.0.1:0", server.Listener.Addr().String())
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks errgroup.Group
	tasks.Go(func() error { return proxy.Run(ctx) })
	transport := &http.Transport{DialContext: (&net.Dialer{}).DialContext}
	body(proxy, func(wait time.Duration) (string, error) {
		client := http.Client{Transport: transport, Timeout: wait}
		response, err := client.Get("http://" + proxy.Address())
		if err != nil {
			return "", err
		}
		defer func() { _ = response.Body.Close() }()
		content, err := io.ReadAll(response.Body)
		return string(content), err
	})
	cancel()
	So(tasks.Wait(), ShouldBeNil)
}

func TestProxyLinks(t *testing.T) {
	const long, short = 10 * time.Second, 100 * time.Millisecond
	Convey("Data passes an open and a slow link", t, func() {
		withProxy(func(proxy *soak.Proxy, get func(time.Duration) (string, error)) {
			got, err := get(long)
			So(err, ShouldBeNil)
			So(got, ShouldEqual, "hello")
			proxy.SetState(soak.LinkSlow)
			got, err = get(long)
			So(err, ShouldBeNil)
			So(got, ShouldEqual, "hello")
		})
	})
	Convey("No response passes a link that resets new connections or holds data back, one way or both, until it opens", t, func() {
		for _, state := range []soak.LinkState{soak.LinkResetsNew, soak.LinkHeld, soak.LinkHeldToClient, soak.LinkHeldToServer} {
			withProxy(func(proxy *soak.Proxy, get func(time.Duration) (string, error)) {
				proxy.SetState(state)
				proxy.Reset()
				_, err := get(short)
				So(err, ShouldNotBeNil)
				proxy.SetState(soak.LinkOpen)
				got, err := get(long)
				So(err, ShouldBeNil)
				So(got, ShouldEqual, "hello")
			})
		}
	})
	Convey("A stalled connection stays stalled, and a new one works", t, func() {
		withProxy(func(proxy *soak.Proxy, get func(time.Duration) (string, error)) {
			_, err := get(long)
			So(err, ShouldBeNil)
			proxy.StallConnections()
			_, err = get(short)
			So(err, ShouldNotBeNil)
			got, err := get(long)
			So(err, ShouldBeNil)
			So(got, ShouldEqual, "hello")
		})
	})
}
