package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lovageshift"
)

// LinkState is the state of the connections through a proxy.
type LinkState int

// The states of a link.
const (
	LinkOpen LinkState = iota
	// LinkRefused resets new connections.
	LinkRefused
	// LinkHeld holds bytes back both ways until the link opens again.
	LinkHeld
	// LinkHeldToServer and LinkHeldToClient hold bytes back one way.
	LinkHeldToServer
	LinkHeldToClient
	// LinkSlow delays every piece of data.
	LinkSlow
)

const (
	slowLink   = 150 * time.Millisecond
	linkPoll   = 5 * time.Millisecond
	proxyBlock = 16 << 10
)

// Proxy forwards TCP connections on loopback and can harm them.
type Proxy struct {
	listener net.Listener
	server   string

	mutex sync.Mutex
	state LinkState
	pairs map[*pair]struct{}
}

// pair is one forwarded connection: a client's and the one to the server.
type pair struct {
	client, server *net.TCPConn
	silent         bool
}

// NewProxy returns a proxy at the address that forwards to the server's address.
func NewProxy(address, server string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Proxy{listener: listener, server: server, pairs: map[*pair]struct{}{}}, nil
}

// Address returns the IP:port that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetState changes the state of the link.
func (p *Proxy) SetState(state LinkState) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.state = state
}

// Reset breaks off all connections.
func (p *Proxy) Reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for pair := range p.pairs {
		pair.reset()
	}
}

// StallConnections makes the connections that are open now pass nothing any more; new ones work.
func (p *Proxy) StallConnections() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for pair := range p.pairs {
		pair.silent = true
	}
}

// Run forwards until the context ends.
func (p *Proxy) Run(ctx context.Context) error {
	defer p.Reset()
	tasks, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = p.listener.Close() })
	defer stop()
	for {
		client, err := p.listener.Accept()
		if err != nil {
			p.Reset()
			return tasks.Wait()
		}
		tasks.Go(func() error {
			p.forward(ctx, client.(*net.TCPConn))
			return nil
		})
	}
}

func (p *Proxy) forward(ctx context.Context, client *net.TCPConn) {
	if p.is(LinkRefused) {
		abort(client)
		return
	}
	dialer := net.Dialer{Timeout: time.Second}
	server, err := dialer.DialContext(ctx, "tcp", p.server)
	if err != nil {
		abort(client)
		return
	}
	made := &pair{client: client, server: server.(*net.TCPConn)}
	p.mutex.Lock()
	p.pairs[made] = struct{}{}
	p.mutex.Unlock()
	defer func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		delete(p.pairs, made)
		_ = made.client.Close()
		_ = made.server.Close()
	}()
	var both errgroup.Group
	both.Go(func() error { return p.pump(ctx, made, made.server, made.client, LinkHeldToServer) })
	both.Go(func() error { return p.pump(ctx, made, made.client, made.server, LinkHeldToClient) })
	_ = both.Wait()
}

// pump copies one direction; a read error resets both ends, as a proxy cannot tell a reset from another end.
func (p *Proxy) pump(ctx context.Context, pair *pair, to, from *net.TCPConn, held LinkState) error {
	buffer := make([]byte, proxyBlock)
	for {
		count, err := from.Read(buffer)
		if !p.pass(ctx, pair, held) {
			return nil
		}
		if count > 0 {
			if _, failed := to.Write(buffer[:count]); failed != nil {
				pair.reset()
				return nil
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite()
			return nil
		}
		if err != nil {
			pair.reset()
			return nil
		}
	}
}

// pass waits until data may go on, and tells whether it still may.
func (p *Proxy) pass(ctx context.Context, pair *pair, held LinkState) bool {
	if p.is(LinkSlow) {
		lovageshift.Pause(ctx, slowLink)
	}
	for ctx.Err() == nil {
		p.mutex.Lock()
		_, open := p.pairs[pair]
		waits := pair.silent || p.state == LinkHeld || p.state == held
		p.mutex.Unlock()
		if !open || !waits {
			return open
		}
		lovageshift.Pause(ctx, linkPoll)
	}
	return false
}

func (p *Proxy) is(state LinkState) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.state == state
}

func (p *pair) reset() {
	abort(p.client)
	abort(p.server)
}

// abort closes a connection with a reset.
func abort(connection *net.TCPConn) {
	_ = connection.SetLinger(0)
	_ = connection.Close()
}
