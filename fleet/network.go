package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

var errRefused = &net.OpError{Op: "dial", Net: "mem", Err: errors.New("connection refused")}

// Network connects hosts in memory; hosts can be cut off from each other.
type Network struct {
	mutex     sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	cut       map[pair]bool
	frozen    map[string]bool
	changed   chan struct{}
	traffic   map[string]Traffic
	lossOneIn int // one write in so many breaks its connection; 0 for none
	random    *rand.Rand
}

// Traffic is what a host has sent.
type Traffic struct{ Writes, Bytes int }

type pair struct{ a, b string }

func pairOf(a, b string) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a, b}
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*listener{}, conns: map[*conn]bool{},
		cut: map[pair]bool{}, frozen: map[string]bool{}, changed: make(chan struct{}),
		traffic: map[string]Traffic{}, random: rand.New(rand.NewPCG(1, 1)),
	}
}

// Host is one machine's view of the network.
type Host struct {
	network *Network
	name    string
}

// Host returns the view of the machine with the name.
func (n *Network) Host(name string) *Host { return &Host{n, name} }

// SetPartitioned stops all traffic between two hosts, or lets it go on; what was under way arrives then.
func (n *Network) SetPartitioned(a, b string, cut bool) {
	n.change(func() { n.cut[pairOf(a, b)] = cut })
}

// SetFrozen stops all traffic of a host, as a paused process would, or lets it go on.
func (n *Network) SetFrozen(host string, frozen bool) {
	n.change(func() { n.frozen[host] = frozen })
}

// SetConnectionLoss breaks the connection at one write in so many, at random; 0 loses nothing.
func (n *Network) SetConnectionLoss(oneIn int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.lossOneIn = oneIn
}

// TrafficFrom returns what a host has sent so far.
func (n *Network) TrafficFrom(host string) Traffic {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.traffic[host]
}

// count notes a write and reports whether it is lost.
func (n *Network) count(host string, size int) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	sent := n.traffic[host]
	n.traffic[host] = Traffic{sent.Writes + 1, sent.Bytes + size}
	return n.lossOneIn > 0 && n.random.IntN(n.lossOneIn) == 0
}

func (n *Network) change(apply func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	apply()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Disconnect closes every connection and listener of a host.
func (n *Network) Disconnect(host string) {
	n.mutex.Lock()
	var closing []net.Conn
	for c := range n.conns {
		if c.from == host || c.to == host {
			closing = append(closing, c)
		}
	}
	var stopping []*listener
	for _, l := range n.listeners {
		if l.host == host {
			stopping = append(stopping, l)
		}
	}
	n.mutex.Unlock()
	for _, l := range stopping {
		_ = l.Close()
	}
	for _, c := range closing {
		_ = c.Close()
	}
}

// blocked returns a channel that is closed at the next change when the two hosts cannot talk now.
func (n *Network) blocked(a, b string) <-chan struct{} {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.cut[pairOf(a, b)] || n.frozen[a] || n.frozen[b] {
		return n.changed
	}
	return nil
}

// Listen accepts connections at an address.
func (h *Host) Listen(address string) (net.Listener, error) {
	h.network.mutex.Lock()
	defer h.network.mutex.Unlock()
	if h.network.listeners[address] != nil {
		return nil, errors.New("address in use: " + address)
	}
	l := &listener{network: h.network, host: h.name, address: address, accepts: make(chan net.Conn), closed: make(chan struct{})}
	h.network.listeners[address] = l
	return l, nil
}

// Dial connects to an address.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	h.network.mutex.Lock()
	l := h.network.listeners[address]
	h.network.mutex.Unlock()
	if l == nil {
		return nil, errRefused
	}
	for {
		wait := h.network.blocked(h.name, l.host)
		if wait == nil {
			break
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	near, far := net.Pipe()
	ours := h.network.track(near, h.name, l.host)
	theirs := h.network.track(far, l.host, h.name)
	select {
	case l.accepts <- theirs:
		return ours, nil
	case <-l.closed:
		_ = ours.Close()
		_ = theirs.Close()
		return nil, errRefused
	case <-ctx.Done():
		_ = ours.Close()
		_ = theirs.Close()
		return nil, ctx.Err()
	}
}

// DialContext is Dial in the form that HTTP clients take.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	return h.Dial(ctx, address)
}

func (n *Network) track(inner net.Conn, from, to string) *conn {
	c := &conn{Conn: inner, network: n, from: from, to: to, closed: make(chan struct{})}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.conns[c] = true
	return c
}

type listener struct {
	network *Network
	host    string
	address string
	accepts chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepts:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mutex.Lock()
		defer l.network.mutex.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

func (address) Network() string  { return "mem" }
func (a address) String() string { return string(a) }

// conn holds writes back while its hosts cannot talk.
type conn struct {
	net.Conn
	network  *Network
	from, to string
	once     sync.Once
	closed   chan struct{}

	mutex    sync.Mutex
	deadline time.Time
}

func (c *conn) Write(data []byte) (int, error) {
	for {
		wait := c.network.blocked(c.from, c.to)
		if wait == nil {
			if c.network.count(c.from, len(data)) {
				_ = c.Close()
				return 0, net.ErrClosed
			}
			return c.Conn.Write(data)
		}
		if err := c.hold(wait); err != nil {
			return 0, err
		}
	}
}

func (c *conn) hold(wait <-chan struct{}) error {
	c.mutex.Lock()
	deadline := c.deadline
	c.mutex.Unlock()
	var late <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		late = timer.C
	}
	select {
	case <-wait:
		return nil
	case <-c.closed:
		return net.ErrClosed
	case <-late:
		return context.DeadlineExceeded
	}
}

// SetWriteDeadline also ends writes that are held back.
func (c *conn) SetWriteDeadline(at time.Time) error {
	c.mutex.Lock()
	c.deadline = at
	c.mutex.Unlock()
	return c.Conn.SetWriteDeadline(at)
}

// SetDeadline also ends writes that are held back.
func (c *conn) SetDeadline(at time.Time) error {
	c.mutex.Lock()
	c.deadline = at
	c.mutex.Unlock()
	return c.Conn.SetDeadline(at)
}

func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mutex.Lock()
		delete(c.network.conns, c)
		c.network.mutex.Unlock()
	})
	return c.Conn.Close()
}

func (c *conn) RemoteAddr() net.Addr { return address(c.to) }
func (c *conn) LocalAddr() net.Addr  { return address(c.from) }
