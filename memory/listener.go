package memory

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"lovageshift"
	"lovageshift/metrics"
)

const (
	// A new connection is closed to make room for others only if it has sent no request header for this long, as most newer
	// ones have had no time to send one.
	newConnMillis lovageshift.Millis = 2000
	// Interval at which a full listener looks for connections to close.
	fullInterval = 50 * time.Millisecond
)

// Listener limits the number of open connections of callers. When they are full, it closes those that have been idle for the
// longest time, and then those that have sent no request yet. If there are none, it accepts no more until one is closed.
type Listener struct {
	net.Listener
	limit int
	clock lovageshift.Clock
	// onFull is called repeatedly while no connection can be closed.
	onFull func()

	mutex sync.Mutex
	open  map[*conn]struct{}
	shed  int64 // connections closed to make room for others

	freed  chan struct{} // has an item after a connection was closed or became idle
	closed chan struct{}
	close  sync.Once
}

// NewListener returns a listener that keeps at most limit connections open, any number if that is 0. The server must have
// ConnState as its http.Server.ConnState. While the listener is full and no connection can be closed, onFull is called.
func NewListener(listener net.Listener, limit int, clock lovageshift.Clock, onFull func()) *Listener {
	return &Listener{
		Listener: listener, limit: limit, clock: clock, onFull: onFull,
		open: map[*conn]struct{}{}, freed: make(chan struct{}, 1), closed: make(chan struct{}),
	}
}

// conn is one connection.
type conn struct {
	net.Conn
	listener *Listener
	// Guarded by the listener's mutex.
	state http.ConnState
	since lovageshift.Millis // when it came into the state
}

// Accept returns the next connection once there is room for it.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, listener: l, state: http.StateNew}
	for !l.add(c) {
		if l.closeOne() {
			continue
		}
		l.onFull()
		select {
		case <-l.closed:
			return nil, errors.Join(net.ErrClosed, accepted.Close())
		case <-l.freed:
		case <-time.After(fullInterval):
		}
	}
	return c, nil
}

// Close closes the listener, and not its connections.
func (l *Listener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// ConnState records the state of a connection, as a http.Server reports it.
func (l *Listener) ConnState(connection net.Conn, state http.ConnState) {
	c, ok := connection.(*conn)
	if !ok {
		return
	}
	l.mutex.Lock()
	c.state, c.since = state, l.clock.Now()
	l.mutex.Unlock()
	if state == http.StateIdle {
		l.notify()
	}
}

// Connections returns the number of open connections, and how many were closed to make room for others.
func (l *Listener) Connections() (open int, shed int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.open), l.shed
}

// RegisterGauges registers gauges for the connections.
func (l *Listener) RegisterGauges(m *metrics.Metrics) error {
	open := func() float64 { count, _ := l.Connections(); return float64(count) }
	shed := func() float64 { _, count := l.Connections(); return float64(count) }
	if err := m.RegisterGauge("lovageshift_caller_connections", open); err != nil {
		return err
	}
	return m.RegisterGauge("lovageshift_caller_connections_shed", shed)
}

// add adds the connection if there is room for it.
func (l *Listener) add(c *conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.limit > 0 && len(l.open) >= l.limit {
		return false
	}
	c.since = l.clock.Now()
	l.open[c] = struct{}{}
	return true
}

// closeOne closes one connection that has no request, and reports whether there was one.
func (l *Listener) closeOne() bool {
	victim := l.victim()
	if victim == nil {
		return false
	}
	_ = victim.Close()
	return true
}

// victim returns the connection that is closed first, nil if there is none.
func (l *Listener) victim() *conn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.clock.Now()
	var victim *conn
	for c := range l.open {
		switch {
		case c.state != http.StateIdle && (c.state != http.StateNew || now-c.since < newConnMillis):
		case victim == nil, c.state > victim.state, c.state == victim.state && c.since < victim.since:
			victim = c // StateIdle is above StateNew
		}
	}
	if victim != nil {
		l.shed++
	}
	return victim
}

// notify wakes up Accept.
func (l *Listener) notify() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// Read reads from the connection. An idle one on which a request begins counts as a new one until the request's header is whole.
func (c *conn) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	if count > 0 {
		c.listener.mutex.Lock()
		if c.state == http.StateIdle {
			c.state, c.since = http.StateNew, c.listener.clock.Now()
		}
		c.listener.mutex.Unlock()
	}
	return count, err
}

// Close closes the connection.
func (c *conn) Close() error {
	l := c.listener
	l.mutex.Lock()
	delete(l.open, c)
	l.mutex.Unlock()
	err := c.Conn.Close()
	l.notify()
	return err
}

// NetConn returns the connection that was accepted.
func (c *conn) NetConn() net.Conn { return c.Conn }

// SetLinger sets what happens when the connection is closed, as net.TCPConn.SetLinger does. It returns an error if the underlying
// connection cannot do that.
func (c *conn) SetLinger(seconds int) error {
	inner, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return inner.SetLinger(seconds)
}
