package connection

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	// How long a listener that stops waits for further connections, which callers have already opened.
	lastAcceptTime = 50 * time.Millisecond
	// Shortest time for which it waits for one.
	minAcceptTime = time.Millisecond
)

// Accept returns the next connection once there is room for it. After StopAccepting, it returns only when the listener is closed or
// after a temporary error.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.acceptNext()
		if err != nil {
			return nil, l.endAccepting(err)
		}
		c := newConn(accepted, l)
		if l.waitForRoom(c) {
			return c, nil
		}
		err = accepted.Close()
		if isClosed(l.closed) {
			return nil, errors.Join(net.ErrClosed, err)
		}
	}
}

// acceptNext accepts the next connection. After StopAccepting, it waits lastAcceptTime for them, in all calls together: those that
// callers have opened while there was no room do not count.
func (l *Listener) acceptNext() (net.Conn, error) {
	for {
		deadline := l.acceptDeadline()
		begun := time.Now()
		accepted, err := l.Listener.Accept()
		if !deadline.IsZero() {
			l.acceptTime -= time.Since(begun)
		}
		// A call that began after its deadline did not look for connections.
		if !errors.Is(err, os.ErrDeadlineExceeded) || !isClosed(l.stopping) || begun.Before(deadline) {
			return accepted, err
		}
	}
}

// acceptDeadline sets and returns the time until which to wait for the next connection, the zero time before StopAccepting.
func (l *Listener) acceptDeadline() time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	timed, ok := l.Listener.(deadliner)
	if !ok || !isClosed(l.stopping) {
		return time.Time{}
	}
	deadline := time.Now().Add(max(l.acceptTime, minAcceptTime))
	_ = timed.SetDeadline(deadline)
	return deadline
}

// endAccepting returns the error with which accepting failed. After StopAccepting it waits until the listener is closed, as a server
// whose listener fails cannot be stopped without cutting requests, unless the server accepts again after the error.
func (l *Listener) endAccepting(err error) error {
	if !isClosed(l.stopping) || isTemporary(err) {
		return err
	}
	err = l.Listener.Close()
	l.lastOnce.Do(func() { close(l.accepted) })
	<-l.closed
	return errors.Join(net.ErrClosed, err)
}

// isTemporary reports whether http.Server accepts again after the error.
func isTemporary(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Temporary() && !failure.Timeout()
}

// deadliner is a listener whose Accept fails from a set time on.
type deadliner interface{ SetDeadline(time.Time) error }

// StopAccepting accepts the connections that callers have already opened, and then no more.
func (l *Listener) StopAccepting() {
	l.stopOnce.Do(func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		close(l.stopping)
		timed, ok := l.Listener.(deadliner)
		if !ok || timed.SetDeadline(aLongTimeAgo) != nil { // wakes up Accept
			_ = l.Listener.Close()
		}
	})
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
