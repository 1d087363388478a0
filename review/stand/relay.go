package main

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"
)

const (
	// The process behind a relay has this internal port, at which the relay also listens at the addresses of all others.
	innerPort = 7700
	// The relay sends from this port, at the sender's address. Processes know each other by their addresses only.
	relayPort = 7800
	// Largest datagram.
	datagramBytes = 64 << 10
)

// relay passes datagrams between one process and all others, but none while it is cut.
type relay struct {
	isCut atomic.Bool
	conns []net.PacketConn
}

// startRelay puts a relay between the entry, which is not started yet, and the other hosts.
func (b *bed) startRelay(entry string, others []string) (*relay, error) {
	r := &relay{}
	for _, other := range others {
		if err := r.pass(b, entry, other); err != nil {
			r.close()
			return nil, fmt.Errorf("%w: %w", errNotRun, err)
		}
	}
	inbound, err := r.listen(entry, internalPort)
	if err != nil {
		r.close()
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	senders := map[string]net.PacketConn{}
	for _, other := range others {
		sender, err := r.listen(other, relayPort)
		if err != nil {
			r.close()
			return nil, fmt.Errorf("%w: %w", errNotRun, err)
		}
		senders[other] = sender
	}
	b.tasks.Go(func() error {
		return r.copy(inbound, func(from string) net.PacketConn { return senders[from] }, udpAddress(entry, innerPort))
	})
	return r, nil
}

// pass passes datagrams of the entry to another host.
func (r *relay) pass(b *bed, entry, other string) error {
	outbound, err := r.listen(other, innerPort)
	if err != nil {
		return err
	}
	if len(r.conns) == 1 { // one socket sends for all of them
		if _, err := r.listen(entry, relayPort); err != nil {
			return err
		}
	}
	sender := r.conns[1]
	b.tasks.Go(func() error {
		return r.copy(outbound, func(string) net.PacketConn { return sender }, udpAddress(other, internalPort))
	})
	return nil
}

func (r *relay) listen(host string, port int) (net.PacketConn, error) {
	conn, err := net.ListenPacket("udp4", address(host, port))
	if err == nil {
		r.conns = append(r.conns, conn)
	}
	return conn, err
}

func udpAddress(host string, port int) *net.UDPAddr {
	return &net.UDPAddr{IP: net.ParseIP(host), Port: port}
}

// copy passes the datagrams received on a connection to an address, from the connection that the sender's host has there.
func (r *relay) copy(from net.PacketConn, senderOf func(host string) net.PacketConn, to net.Addr) error {
	buffer := make([]byte, datagramBytes)
	for {
		size, source, err := from.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil || r.isCut.Load() {
			continue
		}
		if sender := senderOf(source.(*net.UDPAddr).IP.String()); sender != nil {
			_, _ = sender.WriteTo(buffer[:size], to) // a datagram may be lost
		}
	}
}

func (r *relay) close() {
	for _, conn := range r.conns {
		_ = conn.Close()
	}
}
