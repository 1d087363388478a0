package connection

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"lovageshift"
	"lovageshift/metrics"
)

const (
	// A connection is unused once nothing has arrived on it for this long since it was accepted or the last answer ended. A caller
	// that lost a packet sends it again within this time, by the usual timeouts of TCP.
	unusedMillis lovageshift.Millis = 400
	// Interval at which a stopping listener looks for unused connections, and Wait for open ones.
	retireInterval = 20 * time.Millisecond
)

// Unanswered describes a connection that this process closed although bytes of a request had arrived on it that got no answer.
type Unanswered struct {
	// Caller is the caller's IP:port address.
	Caller string
	// State is that of the connection for the HTTP server. StateNew and StateIdle mean that it had no whole header,
	// StateActive that it had one.
	State http.ConnState
	// Received is the number of bytes since the connection was accepted or the last answer ended.
	Received int
	// Age is the time since the last of them arrived, Open since the connection was accepted.
	Age, Open lovageshift.Millis
}

// Options configures a Listener.
type Options struct {
	Clock lovageshift.Clock
	// Limit is the largest number of open connections, 0 for any number.
	Limit int
	// HeaderTimeout is how long a caller may take from the first byte of a request's header to the last, 0 for no bound.
	HeaderTimeout time.Duration
	// OnFull is called repeatedly while the limit is reached and no connection can be closed. It must be set if there is a limit.
	OnFull func()
	// OnUnanswered is called after such a connection was closed. It must be set.
	OnUnanswered func(Unanswered)
	// TooSlow and Stopping are the answers, encoded by Encode, to a request whose header is not whole after HeaderTimeout, or when
	// the connection must be closed.
	TooSlow, Stopping []byte
}

// Listener accepts the connections of callers and closes those that no caller uses: for want of room, and when the process stops.
// The server must have ConnState as its http.Server.ConnState. The connections between those that the listener returns and the
// server's must have a method NetConn, which returns the one below, and if they hold bytes back a method Buffered, which returns
// their number; one of them must not pass on a header before it is whole. The accepted connections must be TCP connections, or offer
// SyscallConn, CloseWrite and SetLinger as these do.
type Listener struct {
	net.Listener
	options Options

	mutex sync.Mutex
	open  map[*conn]struct{}
	shed  int64 // how often a connection was chosen to be closed for others

	freed     chan struct{} // has an item after a connection was closed or became unused
	stopping  chan struct{} // closed by StopAccepting
	accepted  chan struct{} // closed once no more connections are accepted after that
	aborted   chan struct{} // closed by Abort
	closed    chan struct{} // closed by Close
	stopOnce  sync.Once
	lastOnce  sync.Once
	abortOnce sync.Once
	endOnce   sync.Once
	tasks     sync.WaitGroup
	// acceptTime is how long Accept may still wait for connections after StopAccepting; only Accept uses it.
	acceptTime time.Duration
}

// NewListener returns a listener that accepts from the listener.
func NewListener(listener net.Listener, options Options) *Listener {
	return &Listener{
		Listener: listener, options: options, open: map[*conn]struct{}{},
		freed: make(chan struct{}, 1), stopping: make(chan struct{}), accepted: make(chan struct{}),
		aborted: make(chan struct{}), closed: make(chan struct{}),
		acceptTime: lastAcceptTime,
	}
}

// Close closes the listener, and not its connections.
func (l *Listener) Close() error {
	var err error
	l.endOnce.Do(func() {
		close(l.closed)
		err = l.Listener.Close()
	})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// CloseUnused closes connections as soon as they are unused, until the context ends. Meanwhile the answers to requests must ask to
// close the connection, so that it is not used again.
func (l *Listener) CloseUnused(ctx context.Context) {
	lovageshift.Every(ctx, retireInterval, func() {
		for _, c := range l.connections() {
			c.retire(false, unusedMillis)
		}
	})
}

// RefuseBegun answers each request whose header is not whole with Options.Stopping.
func (l *Listener) RefuseBegun() {
	for _, c := range l.connections() {
		c.retire(true, 0)
	}
}

// Wait waits until no connection is open and, after StopAccepting, none is left to accept. It reports whether that was before the
// context ended.
func (l *Listener) Wait(ctx context.Context) bool {
	for l.isAcceptingLast() || len(l.connections()) > 0 {
		if ctx.Err() != nil {
			return false
		}
		lovageshift.Pause(ctx, retireInterval)
	}
	return true
}

// isAcceptingLast reports whether connections are still accepted after StopAccepting.
func (l *Listener) isAcceptingLast() bool {
	return isClosed(l.stopping) && !isClosed(l.accepted) && !isClosed(l.closed)
}

// Abort closes all connections at once, and those that are accepted later.
func (l *Listener) Abort() {
	l.abortOnce.Do(func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		close(l.aborted)
	})
	for _, c := range l.connections() {
		c.abort()
	}
	l.tasks.Wait()
}

// ConnState records the state of a connection, as a http.Server reports it.
func (l *Listener) ConnState(connection net.Conn, state http.ConnState) {
	c := unwrap(connection)
	if c == nil {
		return
	}
	if state != http.StateIdle {
		c.setState(state, 0)
		return
	}
	c.setState(state, buffered(connection))
	l.notify()
}

// unwrap returns the listener's connection below the one that a server has, nil if there is none.
func unwrap(connection net.Conn) *conn {
	for {
		if c, ok := connection.(*conn); ok {
			return c
		}
		wrapper, ok := connection.(wrapper)
		if !ok {
			return nil
		}
		connection = wrapper.NetConn()
	}
}

// buffered returns how many bytes the connections between the server's and the listener's have received and not passed on. The
// server must not be reading.
func buffered(connection net.Conn) int {
	count := 0
	for {
		if buffer, ok := connection.(interface{ Buffered() int }); ok {
			count += buffer.Buffered()
		}
		wrapper, ok := connection.(wrapper)
		if !ok {
			return count
		}
		connection = wrapper.NetConn()
	}
}

// wrapper is a connection that reads from another one.
type wrapper interface{ NetConn() net.Conn }

// RegisterGauges registers gauges for the connections.
func (l *Listener) RegisterGauges(m *metrics.Metrics) error {
	open := func() float64 { count, _ := l.Connections(); return float64(count) }
	shed := func() float64 { _, count := l.Connections(); return float64(count) }
	if err := m.RegisterGauge("lovageshift_caller_connections", open); err != nil {
		return err
	}
	return m.RegisterGauge("lovageshift_caller_connections_shed", shed)
}

// Connections returns the number of open connections, and how many were closed to make room for others.
func (l *Listener) Connections() (open int, shed int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.open), l.shed
}

// connections returns the open connections, which include those that wait for the caller to close them, too.
func (l *Listener) connections() []*conn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	open := make([]*conn, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	return open
}

// remove removes a closed connection.
func (l *Listener) remove(c *conn) {
	l.mutex.Lock()
	delete(l.open, c)
	l.mutex.Unlock()
	l.notify()
}

// notify wakes up Accept.
func (l *Listener) notify() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}
