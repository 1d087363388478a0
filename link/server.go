package link

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"
)

const (
	// How long a stopping server still accepts connections that peers have already opened.
	lastAcceptTime = 50 * time.Millisecond
	// How long after its stop a server closes the connections on which calls still run.
	stopTime = 2 * time.Second
)

// Server serves drpc calls on the connections that it accepts.
type Server struct {
	handler drpc.Handler

	mutex    sync.Mutex           // guards the fields below
	conns    map[*servedConn]bool // accepted and not yet closed
	stopping bool
}

// NewServer returns a server that passes calls to the handler. Errors that concern a single connection are neither
// logged nor returned.
func NewServer(handler drpc.Handler) *Server {
	return &Server{handler: handler, conns: map[*servedConn]bool{}}
}

// Serve accepts connections and serves calls on them until the context ends or the listener fails to accept. It then closes
// the listener, and each connection once no peer uses it, at the latest after stopTime. Calls that arrive meanwhile are still
// passed to the handler, whose task it is to end them soon. Serve returns nil if the context ended, and otherwise the
// listener's error.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	var closing *time.Timer
	group.Go(func() error {
		<-ctx.Done()
		stopAccepting(listener)
		s.endUnused()
		closing = time.AfterFunc(stopTime, s.closeAll)
		return nil
	})
	group.Go(func() error {
		defer func() { _ = listener.Close() }()
		for {
			conn, err := listener.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return nil
				}
				return err
			}
			group.Go(func() error {
				s.serveConn(context.WithoutCancel(ctx), conn)
				return nil
			})
		}
	})
	err := group.Wait()
	closing.Stop()
	return err
}

// stopAccepting makes the listener accept the connections that peers have already opened, and then no more.
func stopAccepting(listener net.Listener) {
	timed, ok := listener.(interface{ SetDeadline(time.Time) error })
	if !ok || timed.SetDeadline(time.Now().Add(lastAcceptTime)) != nil {
		_ = listener.Close()
	}
}

func (s *Server) serveConn(ctx context.Context, accepted net.Conn) {
	conn := &servedConn{Conn: accepted, handler: s.handler, usedAt: time.Now()}
	s.mutex.Lock()
	s.conns[conn] = true
	if s.stopping {
		conn.endOnceUnused()
	}
	s.mutex.Unlock()
	server := drpcserver.NewWithOptions(conn, drpcserver.Options{Manager: drpcOptions(), Log: func(error) {}})
	_ = server.ServeOne(ctx, conn)
	s.mutex.Lock()
	delete(s.conns, conn)
	s.mutex.Unlock()
	_ = conn.Close()
}

// endUnused ends each connection once no peer uses it.
func (s *Server) endUnused() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopping = true
	for conn := range s.conns {
		conn.endOnceUnused()
	}
}

func (s *Server) closeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}
