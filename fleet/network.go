package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

var errConnectionRefused = &net.OpError{Op: "dial", Net: "mem", Err: errors.New("connection refused")}

// Network is an in-memory network of hosts with injectable partitions, pauses and connection losses. Every process is a
// host of its own, also an agent and the engine beside it. Any name is a host; hosts are not declared. Addresses such
// as "127.0.0.1:2000" are shared by all hosts and contain no host name. A write returns only when the other end has
// read all of it, since connections have no buffer.
type Network struct {
	mutex           sync.Mutex
	listeners       map[string]*listener // by address
	conns           map[*conn]bool
	partitioned     map[pair]bool
	paused          map[string]bool    // by host name
	blockingChanged chan struct{}      // closed and replaced at each change of partitioned or paused
	traffic         map[string]Traffic // by name of the sending host
	lossOneIn       int                // on average, one write in lossOneIn breaks its connection; 0 breaks none
	random          *rand.Rand
}

// Traffic counts the writes and bytes that a host has sent.
type Traffic struct{ Writes, Bytes int }

// pair is a pair of host names as a map key, with a <= b so that both orders give the same key.
type pair struct{ a, b string }

func pairOf(a, b string) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a, b}
}

// NewNetwork returns a network without listeners or connections.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*listener{}, conns: map[*conn]bool{},
		partitioned: map[pair]bool{}, paused: map[string]bool{}, blockingChanged: make(chan struct{}),
		traffic: map[string]Traffic{}, random: rand.New(rand.NewPCG(1, 1)),
	}
}

// Host is one process's access to the network.
type Host struct {
	network *Network
	name    string
}

// Host returns the network access of the process with the given host name.
func (n *Network) Host(name string) *Host { return &Host{n, name} }

// SetPartitioned starts or ends a partition between two hosts. During it, dials and writes between them are held back;
// they go on when it ends. A write that was in progress before may complete, and a close is never held back.
func (n *Network) SetPartitioned(a, b string, partitioned bool) {
	n.updateBlocking(func() { n.partitioned[pairOf(a, b)] = partitioned })
}

// SetPaused starts or ends a pause of a host, which looks to other hosts like a pause of its process: dials and writes
// from and to the host are held back, as by SetPartitioned. The process itself keeps running.
func (n *Network) SetPaused(host string, paused bool) {
	n.updateBlocking(func() { n.paused[host] = paused })
}

// SetConnectionLoss makes one write in oneIn, on average, break its connection instead of being delivered; 0 breaks
// none.
func (n *Network) SetConnectionLoss(oneIn int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.lossOneIn = oneIn
}

// TrafficFrom returns the traffic that a host has sent so far, with the writes that broke their connections.
func (n *Network) TrafficFrom(host string) Traffic {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.traffic[host]
}

// recordWrite counts a write of size bytes and reports whether it must break its connection.
func (n *Network) recordWrite(host string, size int) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	before := n.traffic[host]
	n.traffic[host] = Traffic{before.Writes + 1, before.Bytes + size}
	return n.lossOneIn > 0 && n.random.IntN(n.lossOneIn) == 0
}

// updateBlocking applies a change of the partitions or pauses and wakes the dials and writes that are held back, which
// check again.
func (n *Network) updateBlocking(apply func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	apply()
	close(n.blockingChanged)
	n.blockingChanged = make(chan struct{})
}

// CloseAll closes every current connection and listener of a host, as the death of its process does. The host may
// listen and dial again at once.
func (n *Network) CloseAll(host string) {
	n.mutex.Lock()
	var conns []net.Conn
	for c := range n.conns {
		if c.local == host || c.remote == host {
			conns = append(conns, c)
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
	for _, c := range conns {
		_ = c.Close()
	}
}

// nextChangeIfBlocked returns nil if the two hosts can communicate. Otherwise it returns a channel that is closed at
// the next change of any partition or pause.
func (n *Network) nextChangeIfBlocked(a, b string) <-chan struct{} {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.partitioned[pairOf(a, b)] || n.paused[a] || n.paused[b] {
		return n.blockingChanged
	}
	return nil
}

// Listen listens at an address. It fails if any host has a listener there.
func (h *Host) Listen(address string) (net.Listener, error) {
	h.network.mutex.Lock()
	defer h.network.mutex.Unlock()
	if h.network.listeners[address] != nil {
		return nil, errors.New("address in use: " + address)
	}
	l := &listener{network: h.network, host: h.name, address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	h.network.listeners[address] = l
	return l, nil
}

// Dial connects to an address and fails if nothing listens there. It blocks while the hosts cannot communicate and
// until the listener accepts the connection, at most until ctx ends.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	h.network.mutex.Lock()
	l := h.network.listeners[address]
	h.network.mutex.Unlock()
	if l == nil {
		return nil, errConnectionRefused
	}
	for {
		nextChange := h.network.nextChangeIfBlocked(h.name, l.host)
		if nextChange == nil { // not blocked
			break
		}
		select {
		case <-nextChange:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	clientSide, serverSide := net.Pipe()
	clientConn := h.network.track(clientSide, h.name, l.host)
	serverConn := h.network.track(serverSide, l.host, h.name)
	select {
	case l.incoming <- serverConn:
		return clientConn, nil
	case <-l.closed:
		_ = clientConn.Close()
		_ = serverConn.Close()
		return nil, errConnectionRefused
	case <-ctx.Done():
		_ = clientConn.Close()
		_ = serverConn.Close()
		return nil, ctx.Err()
	}
}

// DialContext is Dial with the signature of net.Dialer.DialContext, for HTTP transports.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	return h.Dial(ctx, address)
}

// track wraps one end of a new connection and records it for CloseAll.
func (n *Network) track(inner net.Conn, local, remote string) *conn {
	c := &conn{Conn: inner, network: n, local: local, remote: remote, closed: make(chan struct{})}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.conns[c] = true
	return c
}

type listener struct {
	network  *Network
	host     string
	address  string
	incoming chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
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

func (l *listener) Addr() net.Addr { return netAddr(l.address) }

// netAddr is the net.Addr of a listener (its address) or of one end of a connection (a host name).
type netAddr string

func (netAddr) Network() string  { return "mem" }
func (a netAddr) String() string { return string(a) }

// conn is one end of a connection. It holds back its writes while its hosts cannot communicate.
type conn struct {
	net.Conn
	network       *Network
	local, remote string
	once          sync.Once
	closed        chan struct{}

	mutex         sync.Mutex // guards writeDeadline
	writeDeadline time.Time
}

func (c *conn) Write(data []byte) (int, error) {
	for {
		nextChange := c.network.nextChangeIfBlocked(c.local, c.remote)
		if nextChange == nil { // not blocked
			if c.network.recordWrite(c.local, len(data)) {
				_ = c.Close()
				return 0, net.ErrClosed
			}
			return c.Conn.Write(data)
		}
		if err := c.waitForChange(nextChange); err != nil {
			return 0, err
		}
	}
}

// waitForChange blocks until nextChange is closed. It fails at the write deadline that was set when it began, and when
// this end of the connection is closed.
func (c *conn) waitForChange(nextChange <-chan struct{}) error {
	c.mutex.Lock()
	deadline := c.writeDeadline
	c.mutex.Unlock()
	var timeout <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-nextChange:
		return nil
	case <-c.closed:
		return net.ErrClosed
	case <-timeout:
		return context.DeadlineExceeded
	}
}

// SetWriteDeadline also applies to later writes while they are held back.
func (c *conn) SetWriteDeadline(at time.Time) error {
	c.mutex.Lock()
	c.writeDeadline = at
	c.mutex.Unlock()
	return c.Conn.SetWriteDeadline(at)
}

// SetDeadline also applies to later writes while they are held back.
func (c *conn) SetDeadline(at time.Time) error {
	c.mutex.Lock()
	c.writeDeadline = at
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

// RemoteAddr returns the name of the host at the other end, not the address dialled.
func (c *conn) RemoteAddr() net.Addr { return netAddr(c.remote) }

// LocalAddr returns the name of the host at this end.
func (c *conn) LocalAddr() net.Addr { return netAddr(c.local) }
