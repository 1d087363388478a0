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
	dialTimeout     = time.Second
	maxIdlePerPeer  = 16
	maxMessageBytes = 20 << 20
)

// ErrUnreachable is returned when no connection could be made, so that nothing was sent.
var ErrUnreachable = errors.New("unreachable")

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		SoftCancel: true,
	}
}

// Pool keeps idle drpc connections by address; each runs one call at a time.
type Pool struct {
	network Network

	mutex sync.Mutex
	idle  map[string][]*drpcconn.Conn
	open  map[*drpcconn.Conn]bool
}

// NewPool returns an empty pool that dials through the network.
func NewPool(network Network) *Pool {
	return &Pool{network: network, idle: map[string][]*drpcconn.Conn{}, open: map[*drpcconn.Conn]bool{}}
}

// Get returns an idle or a new connection to the address; the error matches ErrUnreachable.
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
	conn := drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: managerOptions()})
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open[conn] = true
	return conn, nil
}

func (p *Pool) takeIdle(address string) *drpcconn.Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for list := p.idle[address]; len(list) > 0; {
		conn := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[address] = list
		if usable(conn) {
			return conn
		}
		p.discard(conn)
	}
	return nil
}

func usable(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return false
	default:
		return true
	}
}

// Put takes a connection back after its call has ended; a broken one is closed.
func (p *Pool) Put(address string, conn *drpcconn.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !usable(conn) || len(p.idle[address]) >= maxIdlePerPeer {
		p.discard(conn)
		return
	}
	p.idle[address] = append(p.idle[address], conn)
}

// Drop closes a connection whose call has failed.
func (p *Pool) Drop(conn *drpcconn.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.discard(conn)
}

func (p *Pool) discard(conn *drpcconn.Conn) {
	delete(p.open, conn)
	_ = conn.Close()
}

// OpenConnections returns how many connections are open.
func (p *Pool) OpenConnections() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.open)
}

// Close closes every connection.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for conn := range p.open {
		p.discard(conn)
	}
	clear(p.idle)
}

// Call runs one unary call on a pooled connection to the address.
func Call[T any](ctx context.Context, pool *Pool, address string, call func(context.Context, *drpcconn.Conn) (T, error)) (T, error) {
	var none T
	conn, err := pool.Get(ctx, address)
	if err != nil {
		return none, err
	}
	reply, err := call(ctx, conn)
	if err != nil {
		pool.Drop(conn)
		return none, err
	}
	pool.Put(address, conn)
	return reply, nil
}
