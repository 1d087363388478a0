package connection

import (
	"net"
	"net/http"

	"lovageshift"
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

// Listener accepts the connections of callers and records what has arrived on them. The server must have ConnState as its
// http.Server.ConnState.
type Listener struct {
	net.Listener
	Clock lovageshift.Clock
	// OnUnanswered is called after such a connection was closed.
	OnUnanswered func(Unanswered)
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, listener: l, openedAt: l.Clock.Now()}, nil
}

// ConnState records the state of a connection of the listener, which other connections may wrap, as a http.Server reports it.
func (l *Listener) ConnState(connection net.Conn, state http.ConnState) {
	c, buffered := unwrap(connection)
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state = state
	if state == http.StateIdle {
		c.received, c.written = buffered, 0
	}
}

// unwrap returns the listener's connection below the one that a server has, and how many bytes those in between have received and
// not passed on. It returns nil if there is none.
func unwrap(connection net.Conn) (c *conn, buffered int) {
	for {
		if c, ok := connection.(*conn); ok {
			return c, buffered
		}
		if buffer, ok := connection.(interface{ Buffered() int }); ok {
			buffered += buffer.Buffered()
		}
		wrapper, ok := connection.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, 0
		}
		connection = wrapper.NetConn()
	}
}
