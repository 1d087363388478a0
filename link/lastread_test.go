package link_test

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"

	"lovageshift/link"
	"lovageshift/wire"
)

// lateListener accepts connections that call onLate before they begin the read after the first one that timed out.
type lateListener struct {
	net.Listener
	onLate func()
}

func (l lateListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{TCPConn: accepted.(*net.TCPConn), onLate: l.onLate}, nil
}

func (l lateListener) SetDeadline(deadline time.Time) error {
	return l.Listener.(*net.TCPListener).SetDeadline(deadline)
}

type lateConn struct {
	*net.TCPConn
	onLate   func()
	timeouts atomic.Int64
}

func (c *lateConn) Read(into []byte) (int, error) {
	if c.timeouts.Load() == 1 {
		c.onLate()
	}
	count, err := c.TCPConn.Read(into)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.timeouts.Add(1)
	}
	return count, err
}

// Guards against a call that arrives as its connection ends and gets no answer because the reader was late to look for it.
func TestCallsThatArriveBeforeALateLastReadAreAnswered(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peer := &heldPeer{begun: make(chan struct{}), end: make(chan struct{})}
	close(peer.end)
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, peer); err != nil {
		t.Fatal(err)
	}
	late := make(chan struct{}, 10)
	listener := lateListener{inner, func() {
		late <- struct{}{}
		time.Sleep(50 * time.Millisecond) // longer than the server's last read may take
	}}
	ctx, stop := context.WithCancel(context.Background())
	var tasks errgroup.Group
	tasks.Go(func() error { return link.NewServer(mux).Serve(ctx, listener) })
	transport, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	connection := drpcconn.New(transport)
	defer func() { _ = connection.Close() }()
	time.Sleep(50 * time.Millisecond)
	stop()
	<-late
	if _, err := wire.NewDRPCPeerClient(connection).Fetch(context.Background(), &wire.FetchRequest{}); err != nil {
		t.Error("no answer: ", err)
	}
	if err := tasks.Wait(); err != nil {
		t.Error(err)
	}
}
