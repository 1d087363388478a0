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

// Network makes a listener at an address.
type Network interface {
	Listen(address string) (net.Listener, error)
}

// Host runs a stand-in at an address; a crash closes every connection and the listener.
type Host struct {
	network Network
	address string
	handler http.Handler
	tasks   errgroup.Group

	mutex  sync.Mutex
	server *http.Server
	closed bool
}

// NewHost returns a host that serves the handler at the address.
func NewHost(network Network, address string, handler http.Handler) *Host {
	return &Host{network: network, address: address, handler: handler}
}

// Start listens and serves.
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

// Stop closes the listener and every connection at once.
func (h *Host) Stop() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.server != nil {
		_ = h.server.Close()
		h.server = nil
	}
}

// Close stops for good and waits.
func (h *Host) Close(context.Context) {
	h.mutex.Lock()
	h.closed = true
	h.mutex.Unlock()
	h.Stop()
	_ = h.tasks.Wait()
}

// AttachHost lets the engine crash its host: connections break, and it is back, empty and cold, after the delay.
func (e *Engine) AttachHost(host *Host, back time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.crash = func() {
		e.die()
		host.Stop()
		time.AfterFunc(back, func() { _ = host.Start() })
	}
}

// Crash makes the engine fall over now.
func (e *Engine) Crash() { e.crashNow() }

func (e *Engine) crashNow() {
	e.mutex.Lock()
	crash := e.crash
	e.mutex.Unlock()
	crash()
}
