package link

import (
	"context"
	"errors"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

const (
	dialTimeout       = time.Second // for the connection and the TLS handshake together
	maxIdlePerAddress = 16          // most idle connections that a pool keeps for one address
	maxMessageBytes   = 20 << 20    // largest drpc message that is read
)

// ErrUnreachable is matched (errors.Is) by the error of a call for which no connection could be made, so that no part of the
// call was sent.
var ErrUnreachable = errors.New("unreachable")

func drpcOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		SoftCancel: true,
	}
}

// Pool keeps idle drpc connections by address for reuse. Each connection runs one call at a time. It is safe for
// concurrent use.
type Pool struct {
	network Network

	mutex sync.Mutex                  // guards the maps
	idle  map[string][]*drpcconn.Conn // by address, the most recently returned one last
	open  map[*drpcconn.Conn]bool     // all that are not yet closed, idle or in use
}

// NewPool returns an empty pool that dials on the network.
func NewPool(network Network) *Pool {
	return &Pool{network: network, idle: map[string][]*drpcconn.Conn{}, open: map[*drpcconn.Conn]bool{}}
}

// Get returns an idle connection to the address, given as IP:port, or a new one if none is idle. The connection must
// be given back by Put or Drop. An error matches ErrUnreachable.
func (p *Pool) Get(ctx context.Context, address string) (*drpcconn.Conn, error) {
	if conn := p.takeIdle(address); conn != nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	transport, err := p.network.Dial(ctx, address)
	if err != nil {
		return nil, errors.Join(ErrUnreachable, err)
	}
	conn := drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: drpcOptions()})
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open[conn] = true
	return conn, nil
}

// takeIdle returns the most recently used idle connection to the address, which is then in use, or nil if there is none. It
// discards the idle connections that it finds closed.
func (p *Pool) takeIdle(address string) *drpcconn.Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for conns := p.idle[address]; len(conns) > 0; {
		conn := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		p.idle[address] = conns
		if isOpen(conn) {
			return conn
		}
		p.discard(conn)
	}
	return nil
}

func isOpen(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return false
	default:
		return true
	}
}

// Put gives a connection back to the pool after its call has succeeded. It closes the connection instead
// if the pool already has 16 idle connections to the address (maxIdlePerAddress). A connection that was closed meanwhile is
// not kept.
func (p *Pool) Put(address string, conn *drpcconn.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !isOpen(conn) || len(p.idle[address]) >= maxIdlePerAddress {
		p.discard(conn)
		return
	}
	p.idle[address] = append(p.idle[address], conn)
}

// Drop closes a connection instead of giving it back for reuse, for example after its call has failed.
func (p *Pool) Drop(conn *drpcconn.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.discard(conn)
}

// discard closes a connection and removes it from the map open, but not from idle. The caller must hold p.mutex.
func (p *Pool) discard(conn *drpcconn.Conn) {
	delete(p.open, conn)
	_ = conn.Close()
}

// OpenConnections returns the number of connections that the pool has made and not yet closed, idle or in use.
func (p *Pool) OpenConnections() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.open)
}

// Close closes every connection, including those in use.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for conn := range p.open {
		p.discard(conn)
	}
	clear(p.idle)
}

// Call runs the function call, which makes one unary call, with a connection of the pool to the address. It closes the
// connection if the function fails, and otherwise puts it back.
func Call[T any](ctx context.Context, pool *Pool, address string, call func(context.Context, *drpcconn.Conn) (T, error)) (T, error) {
	var zero T
	conn, err := pool.Get(ctx, address)
	if err != nil {
		return zero, err
	}
	reply, err := call(ctx, conn)
	if err != nil {
		pool.Drop(conn)
		return zero, err
	}
	pool.Put(address, conn)
	return reply, nil
}
