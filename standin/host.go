package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
)

// Network opens listeners at IP:port addresses.
type Network interface {
	Listen(address string) (net.Listener, error)
}

// Host serves a stand-in's handler at an address. Stop closes every connection, as a crash of the stand-in's process
// would; Start serves again.
type Host struct {
	network Network
	address string
	handler http.Handler
	tasks   errgroup.Group

	mutex  sync.Mutex
	server *http.Server // nil while the host does not serve
	closed bool
}

// NewHost returns a host for the handler at an IP:port address. It does not serve before Start is called.
func NewHost(network Network, address string, handler http.Handler) *Host {
	return &Host{network: network, address: address, handler: handler}
}

// Start opens the listener and serves in the background. It does nothing if the host already serves or is closed.
func (h *Host) Start() error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.closed || h.server != nil {
		return nil
	}
	listener, err := h.network.Listen(h.address)
	if err != nil {
		return trace.Wrap(err, "listen for stand-in")
	}
	server := &http.Server{Handler: h.handler, ReadHeaderTimeout: time.Minute}
	h.server = server
	h.tasks.Go(func() error {
		_ = server.Serve(listener)
		return nil
	})
	return nil
}

// Stop closes the listener and every connection at once, without waiting for running requests.
func (h *Host) Stop() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.server != nil {
		_ = h.server.Close()
		h.server = nil
	}
}

// Close stops the host, prevents further starts and waits until it no longer accepts connections.
func (h *Host) Close(context.Context) {
	h.mutex.Lock()
	h.closed = true
	h.mutex.Unlock()
	h.Stop()
	_ = h.tasks.Wait()
}

// AttachHost makes crashes of the engine stop the host, which breaks all connections. The engine begins a new
// incarnation at once, and the host serves it again after restartDelay.
func (e *Engine) AttachHost(host *Host, restartDelay time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.crash = func() {
		e.resetAfterCrash()
		host.Stop()
		time.AfterFunc(restartDelay, func() { _ = host.Start() })
	}
}

// Crash crashes the engine at once. It does nothing before AttachHost is called.
func (e *Engine) Crash() { e.crashNow() }

func (e *Engine) crashNow() {
	e.mutex.Lock()
	crash := e.crash
	e.mutex.Unlock()
	crash()
}
