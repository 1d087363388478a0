package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

const (
	// How many bytes an EndlessServer sends at most on a connection, so that a test ends even if nothing limits what is read.
	endlessBytes = 64 << 20
	endlessBlock = 64 << 10
)

// EndlessServer answers each request with a beginning, and then the same text again and again until its caller closes the
// connection.
type EndlessServer struct {
	listener net.Listener
	tasks    errgroup.Group
	sent     atomic.Int64
}

// NewEndlessServer returns a server that listens on a free port of the loopback address.
func NewEndlessServer(beginning, repeated string) (*EndlessServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &EndlessServer{listener: listener}
	block := []byte(strings.Repeat(repeated, 1+endlessBlock/len(repeated)))
	s.tasks.Go(func() error {
		for {
			c, err := listener.Accept()
			if err != nil {
				return nil
			}
			s.tasks.Go(func() error { return s.answer(c, beginning, block) })
		}
	})
	return s, nil
}

func (s *EndlessServer) answer(c net.Conn, beginning string, block []byte) error {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return nil
	}
	_, err := io.WriteString(c, beginning)
	for sent := 0; err == nil && sent < endlessBytes; sent += len(block) {
		_, err = c.Write(block)
		s.sent.Add(int64(len(block)))
	}
	return nil
}

// Address returns the IP:port address of the server.
func (s *EndlessServer) Address() string { return s.listener.Addr().String() }

// Sent returns how many bytes the server has sent, with what the kernel holds of them, after the beginnings.
func (s *EndlessServer) Sent() int64 { return s.sent.Load() }

// Close stops the server and waits for its connections.
func (s *EndlessServer) Close() {
	_ = s.listener.Close()
	_ = s.tasks.Wait()
}
