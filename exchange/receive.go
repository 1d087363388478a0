package exchange

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"lovageshift"
	"lovageshift/metrics"
	"lovageshift/wire"
)

// Size of the buffer for received datagrams, in bytes. A longer datagram is cut off at this size.
const maxDatagramBytes = 8 << 10

func (n *Node) receiveLoop(ctx context.Context) error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := n.conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			n.log.Info("datagramNotRead", "error", err.Error())
			lovageshift.Pause(ctx, 10*time.Millisecond)
			continue
		}
		sender, err := senderAddress(from)
		if err != nil {
			n.metrics.Add(metrics.PeerMessages, "foreign", 1)
			continue
		}
		packet := &wire.EntryPacket{}
		if err := proto.Unmarshal(buffer[:size], packet); err != nil {
			n.metrics.Add(metrics.PeerMessages, "unreadable", 1)
			continue
		}
		n.metrics.Add(metrics.PeerMessages, "received", 1)
		if update := packet.GetNews(); update != nil {
			n.handleUpdate(sender, update, n.validEcho(packet.EchoedAt))
			continue
		}
		n.state.HandlePacket(n.clock.Now(), sender, packet)
	}
}

// validEcho returns the time that a sender echoed, or 0 if it is before this incarnation's start or in the future, so that
// it cannot be a time that this incarnation sent. The sender may echo a time that it received from an earlier VM at this
// address, which had another clock.
func (n *Node) validEcho(echo uint64) lovageshift.Millis {
	if echo < uint64(n.startedAt) || echo > uint64(n.clock.SinceBoot()) {
		return 0
	}
	return lovageshift.Millis(echo)
}

func senderAddress(from net.Addr) (netip.Addr, error) {
	addrPort, err := netip.ParseAddrPort(from.String())
	if err != nil {
		return netip.Addr{}, trace.Wrap(err, "parse the sender's address")
	}
	return addrPort.Addr().Unmap(), nil
}

// handleUpdate applies a state update. It ignores an update that has this entry's own address as its sender, and one that
// is not newer than the last update received from the same incarnation.
func (n *Node) handleUpdate(from netip.Addr, update *wire.EntryNews, echoedAt lovageshift.Millis) {
	now := n.clock.Now()
	n.mutex.Lock()
	other := n.members.learn(now, from)
	if other == nil {
		n.mutex.Unlock()
		return
	}
	newIncarnation := other.incarnation != update.Incarnation
	if !newIncarnation && update.Sequence <= other.sequence { // a duplicate, or received after a later update
		n.mutex.Unlock()
		return
	}
	wasLive, silent := other.live(now), now-other.aliveAt // silent is now if nothing was known of it before
	previous := n.members.record(now, other, update)
	n.members.learnListed(now, update)
	counts := n.members.counts(now)
	n.mutex.Unlock()
	if newIncarnation || !wasLive {
		n.log.Info("entryHeard", "peer", from.String(), "newIncarnation", newIncarnation, "silentMillis", silent,
			"known", counts.Known, "heard", counts.Live)
	}
	if update.Leaving {
		n.log.Info("entryLeaving", "peer", from.String())
	}
	n.state.ApplyPeerUpdate(now, from, previous, echoedAt, update)
}
