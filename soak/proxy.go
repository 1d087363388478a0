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

// LinkState is the state of the link that a proxy simulates: how it treats the connections through it.
type LinkState int

// The states of a link.
const (
	LinkOpen LinkState = iota
	// LinkResetsNew accepts new connections and resets them at once. Connections that are already open continue.
	LinkResetsNew
	// LinkHeld holds data back in both directions until the state changes.
	LinkHeld
	// LinkHeldToServer and LinkHeldToClient hold back only data on its way to the server, or to the client, until the
	// state changes.
	LinkHeldToServer
	LinkHeldToClient
	// LinkSlow delays each block of data (at most bufferSize bytes) by slowDelay, in both directions.
	LinkSlow
)

const (
	slowDelay = 150 * time.Millisecond
	// Interval of checks whether data that is held back, by the state or by a stall, may go on.
	holdPollInterval = 5 * time.Millisecond
	bufferSize       = 16 << 10 // bytes
)

// Proxy forwards TCP connections on loopback and injects link faults.
type Proxy struct {
	listener net.Listener
	server   string

	mutex sync.Mutex
	state LinkState
	pairs map[*connectionPair]struct{}
}

// connectionPair is one forwarded connection: the connection from the client and the one to the server.
type connectionPair struct {
	client, server *net.TCPConn
	stalled        bool // forwards nothing more, whatever the state of the link
}

// NewProxy returns a proxy that listens on address and forwards to server. Both are IP:port.
func NewProxy(address, server string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Proxy{listener: listener, server: server, pairs: map[*connectionPair]struct{}{}}, nil
}

// Address returns the IP:port that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetState changes the state of the link.
func (p *Proxy) SetState(state LinkState) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.state = state
}

// Reset resets the connections that are open now.
func (p *Proxy) Reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for pair := range p.pairs {
		pair.reset()
	}
}

// StallConnections stops forwarding for good on the connections that are open now, without closing them. Connections that
// are opened later forward data.
func (p *Proxy) StallConnections() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for pair := range p.pairs {
		pair.stalled = true
	}
}

// Run forwards connections until the context ends, and then closes the listener and resets all connections.
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

// forward connects to the server and copies both directions until both have ended. If the link resets new connections or
// the server cannot be reached, it resets the client's connection.
func (p *Proxy) forward(ctx context.Context, client *net.TCPConn) {
	if p.inState(LinkResetsNew) {
		abort(client)
		return
	}
	dialer := net.Dialer{Timeout: time.Second}
	server, err := dialer.DialContext(ctx, "tcp", p.server)
	if err != nil {
		abort(client)
		return
	}
	pair := &connectionPair{client: client, server: server.(*net.TCPConn)}
	p.mutex.Lock()
	p.pairs[pair] = struct{}{}
	p.mutex.Unlock()
	defer func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		delete(p.pairs, pair)
		_ = pair.client.Close()
		_ = pair.server.Close()
	}()
	var directions errgroup.Group
	directions.Go(func() error { return p.pump(ctx, pair, pair.server, pair.client, LinkHeldToServer) })
	directions.Go(func() error { return p.pump(ctx, pair, pair.client, pair.server, LinkHeldToClient) })
	_ = directions.Wait()
}

// pump copies data in one direction; oneWayHold is the link state that holds back only this direction. It passes an end
// of data on by closing the other connection for writing. Any other read error resets both connections, because the
// proxy cannot tell a reset from other failures. A write error resets both connections too.
func (p *Proxy) pump(ctx context.Context, pair *connectionPair, to, from *net.TCPConn, oneWayHold LinkState) error {
	buffer := make([]byte, bufferSize)
	for {
		count, err := from.Read(buffer)
		if !p.waitToForward(ctx, pair, oneWayHold) {
			return nil
		}
		if count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
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

// waitToForward waits for slowDelay if the link is slow, and then until neither the state of the link nor a stall holds
// data back. It returns false if the context ended or the pair was removed from the proxy. A reset does not end the
// wait: forward removes the pair only after both directions have ended.
func (p *Proxy) waitToForward(ctx context.Context, pair *connectionPair, oneWayHold LinkState) bool {
	if p.inState(LinkSlow) {
		lovageshift.Pause(ctx, slowDelay)
	}
	for ctx.Err() == nil {
		p.mutex.Lock()
		_, registered := p.pairs[pair]
		held := pair.stalled || p.state == LinkHeld || p.state == oneWayHold
		p.mutex.Unlock()
		if !registered || !held {
			return registered
		}
		lovageshift.Pause(ctx, holdPollInterval)
	}
	return false
}

func (p *Proxy) inState(state LinkState) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.state == state
}

// reset resets both connections.
func (p *connectionPair) reset() {
	abort(p.client)
	abort(p.server)
}

// abort closes a connection with a TCP reset.
func abort(connection *net.TCPConn) {
	_ = connection.SetLinger(0)
	_ = connection.Close()
}
