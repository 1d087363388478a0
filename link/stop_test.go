package link_test

import (
	"context"
	"net"
	"testing"

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
