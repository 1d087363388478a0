package connection_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"testing"
	"time"

	"lovageshift/connection"
)

// Guards against goroutines, descriptors and counted connections that are left over by connections which end in any state.
func TestNothingIsLeftOfConnections(t *testing.T) {
	for seed := range uint64(4) {
		goroutines, descriptors := runtime.NumGoroutine(), openDescriptors(t)
		random := rand.New(rand.NewPCG(seed, 0))
		options := connection.Options{HeaderTimeout: 200 * time.Millisecond, Limit: []int{0, 20}[seed%2]}
		s := startServer(t, options, func(h *http.Server) {
			h.IdleTimeout, h.ReadHeaderTimeout = 150*time.Millisecond, 200*time.Millisecond
		}, nil)
		var callers sync.WaitGroup
		for range 100 {
			p, end, begins := progresses[random.IntN(len(progresses))], random.IntN(4), random.IntN(200)
			callers.Go(func() { s.callAtRandom(p, end, time.Duration(begins)*time.Millisecond) })
		}
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		s.finish()
		s.closes.Store(true)
		s.listener.StopAccepting()
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		s.listener.CloseUnused(ctx)
		cancel()
		s.listener.RefuseBegun()
		if seed >= 2 {
			s.listener.Abort()
		}
		callers.Wait()
		s.checkNothingLeft()
		s.stop()
		if open, _ := s.listener.Connections(); open != 0 {
			t.Errorf("seed %d: %d connections are counted", seed, open)
		}
		waitFor(t, func() bool { return runtime.NumGoroutine() <= goroutines && openDescriptors(t) <= descriptors })
	}
}

// callAtRandom opens a connection, sends requests as far as the progress says, and ends it in one of four ways: it goes on,
// it closes or resets the connection at once, or it waits a second for the server to close it.
func (s *server) callAtRandom(p progress, end int, begins time.Duration) {
	time.Sleep(begins)
	raw, err := net.Dial("tcp", s.address)
	if err != nil {
		return // no longer accepted
	}
	defer func() { _ = raw.Close() }()
	c := newCaller(s, raw)
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	_, sent, rest := requestOf(p)
	if p.answered || p.running {
		_, first := request(map[bool]string{false: "/first", true: runPath}[p.running], "")
		c.send(first)
	}
	c.send(sent)
	switch end {
	case 0:
		c.send(rest)
	case 1:
		return
	case 2:
		_ = raw.(*net.TCPConn).SetLinger(0)
		return
	default:
	}
	for err == nil {
		_, _, err = c.answer()
	}
}

// openDescriptors returns the number of open descriptors of the process.
func openDescriptors(t *testing.T) int {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("the descriptors of the process are not known: ", err)
	}
	return len(entries)
}
