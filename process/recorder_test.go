package process_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"lovageshift/process"
	"lovageshift/wire"
)

// entrySocket is the UDP port of an entry that a recorder has as its seed.
type entrySocket struct {
	net.PacketConn
	recorder net.Addr
}

// receive returns the next packet that matches, or nil if none arrives within 5 s.
func (s *entrySocket) receive(matches func(*wire.EntryPacket) bool) *wire.EntryPacket {
	_ = s.SetReadDeadline(time.Now().Add(5 * time.Second))
	buffer := make([]byte, 8<<10)
	for {
		size, from, err := s.ReadFrom(buffer)
		if err != nil {
			return nil
		}
		packet := &wire.EntryPacket{}
		So(proto.Unmarshal(buffer[:size], packet), ShouldBeNil)
		if matches(packet) {
			s.recorder = from
			return packet
		}
	}
}

func (s *entrySocket) send(packet *wire.EntryPacket) {
	content, err := proto.Marshal(packet)
	So(err, ShouldBeNil)
	_, err = s.WriteTo(content, s.recorder)
	So(err, ShouldBeNil)
}

func isHello(leaving bool) func(*wire.EntryPacket) bool {
	return func(packet *wire.EntryPacket) bool {
		hello := packet.GetRecorderHello()
		return hello != nil && hello.Leaving == leaving
	}
}

// startRecorder starts a recorder whose seed is the returned socket, and returns the function that stops it.
func startRecorder(t *testing.T) (*entrySocket, func() error) {
	vm, _ := newVM(t, "")
	seed := vm.Host[:len(vm.Host)-1] + "2"
	port := firstPort + 10
	conn, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", seed, port))
	So(err, ShouldBeNil)
	settings := fmt.Sprintf(`{"node_name": "side-1", "ip_address": %q, "internal_ports": [%d], "seeds": ["%s:1"], "listen": {}}`, vm.Host, port, seed)
	path := filepath.Join(t.TempDir(), "recorder.json")
	So(os.WriteFile(path, []byte(settings), 0o600), ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return process.RunRecorder(ctx, path) })
	return &entrySocket{PacketConn: conn}, func() error {
		cancel()
		return group.Wait()
	}
}

func TestRecorder(t *testing.T) {
	Convey("A recorder makes itself known to a seed, keeps where a stream began, and hands it over when it stops", t, func() {
		entry, stop := startRecorder(t)
		defer func() { _ = entry.Close() }()
		So(entry.receive(isHello(false)), ShouldNotBeNil)
		origin := &wire.StreamOrigin{Attempt: 7, Service: "pool", Version: "v1"}
		entry.send(&wire.EntryPacket{Body: &wire.EntryPacket_StreamBegan{StreamBegan: origin}})
		for attempt, expected := range map[uint64]*wire.StreamOrigin{7: origin, 8: nil} {
			entry.send(&wire.EntryPacket{Body: &wire.EntryPacket_StreamAsk{StreamAsk: &wire.StreamAsk{Attempt: attempt}}})
			reply := entry.receive(func(p *wire.EntryPacket) bool { return p.GetStreamReply().GetAttempt() == attempt })
			So(proto.Equal(reply.GetStreamReply().GetOrigin(), expected), ShouldBeTrue)
		}
		var stopped errgroup.Group
		stopped.Go(stop)
		So(entry.receive(isHello(true)), ShouldNotBeNil)
		self := uint32(0)
		for _, part := range entry.LocalAddr().(*net.UDPAddr).IP.To4() {
			self = self<<8 | uint32(part)
		}
		entry.send(&wire.EntryPacket{Body: &wire.EntryPacket_RecorderReply{RecorderReply: &wire.RecorderReply{Recorders: []uint32{self}}}})
		handedOver := entry.receive(func(p *wire.EntryPacket) bool { return p.GetStreamOrigins() != nil })
		So(handedOver, ShouldNotBeNil)
		So(proto.Equal(handedOver.GetStreamOrigins().Origins[0], origin), ShouldBeTrue)
		So(stopped.Wait(), ShouldBeNil)
	})
	Convey("A wrong setting ends the recorder with the file and the field", t, func() {
		path := filepath.Join(t.TempDir(), "recorder.json")
		So(os.WriteFile(path, []byte(`{"node_name": "side-1", "ip_address": "127.0.0.1"}`), 0o600), ShouldBeNil)
		err := process.RunRecorder(context.Background(), path)
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, path)
		So(err.Error(), ShouldContainSubstring, "internal_ports")
	})
}
