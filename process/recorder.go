package process

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"lovageshift"
	"lovageshift/eventlog"
	"lovageshift/platform"
	"lovageshift/stream"
	"lovageshift/wire"
)

// Size of the buffer for received datagrams, in bytes. Messages to recorders are smaller.
const recorderDatagramBytes = 8 << 10

// RunRecorder runs a recorder of streams, with the settings file of the users' platform at the path, until the context ends,
// and then for a moment in which it hands over what it keeps. The settings are not read again.
func RunRecorder(ctx context.Context, path string) error {
	settings, err := platform.ReadRecorderSettings(path)
	if err != nil {
		return err
	}
	var seeds []netip.Addr
	for _, host := range settings.Seeds {
		seed, err := netip.ParseAddr(host)
		if err != nil {
			return trace.Wrap(err, "parse the address of a seed")
		}
		seeds = append(seeds, seed)
	}
	conn, err := net.ListenPacket("udp4", internalAddress(settings.Host, settings.PeerPort, 0))
	if err != nil {
		return trace.Wrap(err, "listen for entries")
	}
	log := eventlog.New(os.Stdout, settings.Name)
	log.Info("start", "version", lovageshift.Version, "seeds", len(seeds))
	socket := &recorderSocket{conn: conn, port: settings.PeerPort, log: log}
	recorder := stream.NewRecorder(seeds, lovageshift.NewClock(), log, socket)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tasks, background := errgroup.WithContext(background)
	tasks.Go(func() error { return log.Run(background) })
	tasks.Go(func() error { return socket.receive(background, recorder.HandlePacket) })
	tasks.Go(func() error {
		recorder.Run(ctx)
		stop()
		return conn.Close()
	})
	return tasks.Wait()
}

// recorderSocket is the socket at which a recorder exchanges datagrams with entries.
type recorderSocket struct {
	conn net.PacketConn
	port uint16 // the UDP port of entries and recorders
	log  *eventlog.Log
}

// Send sends a datagram, which may be lost.
func (s *recorderSocket) Send(to netip.Addr, packet *wire.EntryPacket) {
	content, err := proto.Marshal(packet)
	if err == nil {
		_, err = s.conn.WriteTo(content, net.UDPAddrFromAddrPort(netip.AddrPortFrom(to, s.port)))
	}
	if err != nil {
		s.log.Info("datagramNotSent", "peer", to.String(), "error", err.Error())
	}
}

// receive passes the datagrams that arrive to the function until the context ends.
func (s *recorderSocket) receive(ctx context.Context, handle func(netip.Addr, *wire.EntryPacket)) error {
	buffer := make([]byte, recorderDatagramBytes)
	for {
		size, from, err := s.conn.ReadFrom(buffer)
		switch {
		case err == nil:
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return nil
		default:
			s.log.Info("datagramNotRead", "error", err.Error())
			lovageshift.Pause(ctx, 10*time.Millisecond)
			continue
		}
		packet := &wire.EntryPacket{}
		sender, err := netip.ParseAddrPort(from.String())
		if err == nil {
			err = proto.Unmarshal(buffer[:size], packet)
		}
		if err != nil {
			s.log.Info("datagramUnreadable", "peer", from.String(), "error", err.Error())
			continue
		}
		handle(sender.Addr().Unmap(), packet)
	}
}
