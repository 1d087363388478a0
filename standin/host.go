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

// Host serves a stand-in's handler at an address. Stop cuts every connection, as a crash of its process would, and
// Start serves again.
type Host struct {
	network Network
	address string
	handler http.Handler
	tasks   errgroup.Group

	mutex  sync.Mutex
	server *http.Server
	closed bool
}

// NewHost returns a host for the handler at an IP:port address; Start makes it serve.
func NewHost(network Network, address string, handler http.Handler) *Host {
	return &Host{network: network, address: address, handler: handler}
}

// Start listens and serves in the background. It does nothing if the host serves already or is closed.
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

// Stop closes the listener and every connection immediately.
func (h *Host) Stop() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.server != nil {
		_ = h.server.Close()
		h.server = nil
	}
}

// Close stops the host for good and waits until it no longer serves.
func (h *Host) Close(context.Context) {
	h.mutex.Lock()
	h.closed = true
	h.mutex.Unlock()
	h.Stop()
	_ = h.tasks.Wait()
}

// AttachHost sets the host that the engine's crashes stop: its connections break, and it serves again after the delay,
// with an empty and cold engine.
func (e *Engine) AttachHost(host *Host, restartDelay time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.crash = func() {
		e.resetAfterCrash()
		host.Stop()
		time.AfterFunc(restartDelay, func() { _ = host.Start() })
	}
}

// Crash crashes the engine now.
func (e *Engine) Crash() { e.crashNow() }

func (e *Engine) crashNow() {
	e.mutex.Lock()
	crash := e.crash
	e.mutex.Unlock()
	crash()
}
