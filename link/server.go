package link

import (
	"context"
	"net"
	"sync"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"
)

// Server serves drpc calls on the connections that it accepts.
type Server struct {
	server *drpcserver.Server

	mutex sync.Mutex        // guards conns
	conns map[net.Conn]bool // accepted and not yet closed
}

// NewServer returns a server that passes calls to the handler. Errors that concern a single connection are neither
// logged nor returned.
func NewServer(handler drpc.Handler) *Server {
	options := drpcserver.Options{Manager: drpcOptions(), Log: func(error) {}}
	return &Server{server: drpcserver.NewWithOptions(handler, options), conns: map[net.Conn]bool{}}
}

// Serve accepts connections and serves calls on them until the context ends or the listener fails to accept. It then closes
// the listener and the connections. It returns nil if the context ended, and otherwise the listener's error.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		_ = listener.Close()
		s.closeAll()
		return nil
	})
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return nil
				}
				return err
			}
			group.Go(func() error {
				s.serveConn(ctx, conn)
				return nil
			})
		}
	})
	return group.Wait()
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	s.mutex.Lock()
	s.conns[conn] = true
	s.mutex.Unlock()
	_ = s.server.ServeOne(ctx, conn)
	s.mutex.Lock()
	delete(s.conns, conn)
	s.mutex.Unlock()
	_ = conn.Close()
}

func (s *Server) closeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}
