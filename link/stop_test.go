package link_test

import (
	"context"
	"crypto/tls"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"

	"lovageshift/link"
	"lovageshift/wire"
)

// heldPeer answers a call once its channel is closed.
type heldPeer struct {
	wire.DRPCPeerUnimplementedServer
	begun, end chan struct{}
}

func (p *heldPeer) Fetch(context.Context, *wire.FetchRequest) (*wire.FetchReply, error) {
	close(p.begun)
	<-p.end
	return &wire.FetchReply{}, nil
}

// Guards against calls that get no answer because the server stopped while they ran.
func TestCallsThatRunWhenTheServerStopsAreAnswered(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peer := &heldPeer{begun: make(chan struct{}), end: make(chan struct{})}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, peer); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var tasks, calls errgroup.Group
	tasks.Go(func() error { return link.NewServer(mux).Serve(ctx, listener) })
	transport, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	connection := drpcconn.New(transport)
	defer func() { _ = connection.Close() }()
	calls.Go(func() error {
		_, err := wire.NewDRPCPeerClient(connection).Fetch(context.Background(), &wire.FetchRequest{})
		return err
	})
	<-peer.begun
	stop()
	for err == nil { // until the server has begun to stop
		var next net.Conn
		if next, err = net.Dial("tcp", listener.Addr().String()); err == nil {
			_ = next.Close()
		}
	}
	close(peer.end)
	if err := calls.Wait(); err != nil {
		t.Fatal("no answer: ", err)
	}
	if err := tasks.Wait(); err != nil {
		t.Fatal(err)
	}
}

// Guards against a stopping server that breaks TLS connections on which calls arrive, or waits for those on which none does.
func TestCallsThatArriveOverTLSWhenTheServerStopsAreAnswered(t *testing.T) {
	certified := httptest.NewTLSServer(nil) // only for its certificate
	defer certified.Close()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{Certificates: certified.TLS.Certificates})
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	mux := drpcmux.New()
	peer := &heldPeer{begun: make(chan struct{}), end: make(chan struct{})}
	close(peer.end)
	if err := wire.DRPCRegisterPeer(mux, peer); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var tasks errgroup.Group
	tasks.Go(func() error { return link.NewServer(mux).Serve(ctx, listener) })
	withoutHandshake, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = withoutHandshake.Close() }()
	transport, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
	if err != nil {
		t.Fatal(err)
	}
	connection := drpcconn.New(transport)
	defer func() { _ = connection.Close() }()
	stop()
	stopped := time.Now()
	time.Sleep(200 * time.Millisecond)
	if _, err := wire.NewDRPCPeerClient(connection).Fetch(context.Background(), &wire.FetchRequest{}); err != nil {
		t.Fatal("no answer: ", err)
	}
	if err := tasks.Wait(); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(stopped); took > 1500*time.Millisecond {
		t.Fatalf("the server stopped after %v", took)
	}
}
