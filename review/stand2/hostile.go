package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lovageshift/standin"
)

const (
	// Hostile channels to each entry at once. A machine has 4,200 descriptors.
	hostileChannels = 3500
	hostileFrom     = 5 * time.Second
	hostileUntil    = 45 * time.Second
	hostilePlayed   = 60 * time.Second
	// Time between two chunks of a body, and the number of chunks before the last one, which is never sent.
	pieceInterval = 1200 * time.Millisecond
	pieces        = 12
	// Sound requests that are sent so soon after the first hostile ones are not judged.
	hostileLead = 5 * time.Second
)

// tally counts the sound requests that were sent while the hostile callers were there, or at another time.
type tally struct{ sent, answered, served atomic.Int64 }

// playHostile lets callers send many chunked bodies at once to each entry, piece by piece, and stop short of their ends.
func playHostile(p *play) (bool, error) {
	b := p.bed
	for number := range 3 {
		b.addHost(number, func(id string) *standin.Replica {
			return &standin.Replica{ID: id, Service: "app", Slots: 6, ServiceTime: 30 * time.Millisecond}
		})
	}
	b.store.Put(standin.ConfigKey, catalogOf(
		route("read", "safe", "app", 2500*time.Millisecond, 150*time.Millisecond, 2),
		route("draft", "streaming", "pool", 15*time.Second, 500*time.Millisecond, 1),
	))
	if err := b.run(3, 3, 284); err != nil {
		return false, err
	}
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), hostilePlayed)
	defer cancel()
	var attack sync.WaitGroup
	var channels atomic.Int64
	if p.trouble {
		p.startHostile(ctx, begun, &attack, &channels)
	}
	var quiet, during tally
	every(ctx, 100*time.Millisecond, func(number int) {
		at := time.Since(begun)
		counts := &quiet
		if at >= hostileFrom+hostileLead && at < hostileUntil {
			counts = &during
		}
		p.sendSound(number, counts)
		if number%50 == 0 {
			for _, n := range b.fronts {
				p.record.note("%s has held %d kB at most, ready: %v", n.name, mostResident(n), n.ready())
			}
		}
	})
	attack.Wait()
	p.record.note("channels of the hostile callers: %d", channels.Load())
	p.record.note("sound requests outside: %d sent, %d answered, %d with 200", quiet.sent.Load(), quiet.answered.Load(), quiet.served.Load())
	p.record.note("sound requests beside the hostile callers: %d sent, %d answered, %d with 200", during.sent.Load(), during.answered.Load(), during.served.Load())
	ended := 0
	for _, n := range b.fronts {
		ended += n.endsOfItsOwn()
	}
	p.record.note("processes that ended by themselves: %d", ended)
	if ended > 0 {
		return false, nil
	}
	return during.answered.Load()*4 >= during.sent.Load(), nil
}

// startHostile starts the hostile callers. Each opens a new channel once its last one has ended.
func (p *play) startHostile(ctx context.Context, begun time.Time, attack *sync.WaitGroup, channels *atomic.Int64) {
	attacked, end := context.WithDeadline(ctx, begun.Add(hostileUntil))
	context.AfterFunc(attacked, end)
	for number := range hostileChannels * len(p.bed.fronts) {
		n := p.bed.fronts[number%len(p.bed.fronts)]
		from := fmt.Sprintf("%s.66.%d", p.bed.network, 1+number%50)
		attack.Go(func() {
			time.Sleep(time.Until(begun.Add(hostileFrom + time.Duration(number)*time.Millisecond/4)))
			for attacked.Err() == nil {
				if sendPieces(attacked, from, n.caller()) {
					channels.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}

// sendSound sends a sound request, and once more to another entry if it gets no answer, as callers do.
func (p *play) sendSound(number int, counts *tally) {
	counts.sent.Add(1)
	deadline := time.Now().Add(2500 * time.Millisecond)
	for try := range 2 {
		left := time.Until(deadline)
		if left <= 0 {
			return
		}
		n := p.bed.fronts[(number+try)%len(p.bed.fronts)]
		request := standin.CallerRequest{
			ID: newID(), Host: routeHost, Method: "GET", Path: "/read/1", Key: callerKey, TimeoutMillis: int(left.Milliseconds()),
		}
		began := time.Now()
		reply := call(context.Background(), fmt.Sprintf("%s.77.%d", p.bed.network, 1+number%50), n.caller(), request)
		p.record.note("sound request %s at %s: status %d after %d ms", request.ID, n.name, reply.Status, time.Since(began).Milliseconds())
		switch reply.Status {
		case 0:
			continue
		case 200:
			counts.served.Add(1)
		}
		counts.answered.Add(1)
		return
	}
}

// sendPieces sends a request whose body comes in small chunks and stops short of its end, and waits for the end of the channel. It
// reports whether the channel could be opened.
func sendPieces(ctx context.Context, from, to string) bool {
	dialer := net.Dialer{Timeout: 5 * time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	conn, err := dialer.DialContext(ctx, "tcp", to)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	head := "POST /draft/1 HTTP/1.1\r\nHost: " + routeHost + "\r\nAuthorization: Token " + fatalKey +
		"\r\nLovageshift-Request-Id: " + newID() + "\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := conn.Write([]byte(head)); err != nil {
		return true
	}
	ended := make(chan struct{})
	go func() {
		_, _ = conn.Read(make([]byte, 1))
		close(ended)
	}()
	for range pieces {
		select {
		case <-ended:
			return true
		case <-time.After(pieceInterval):
		}
		if _, err := conn.Write([]byte("10\r\n0123456789abcdef\r\n")); err != nil {
			return true
		}
	}
	<-ended
	return true
}

// mostResident returns the most memory that the node's process has held, in kB.
func mostResident(n *node) int {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	size := 0
	for line := range strings.Lines(string(content)) {
		if text, found := strings.CutPrefix(line, "VmHWM:"); found {
			_, _ = fmt.Sscan(text, &size)
		}
	}
	return size
}
