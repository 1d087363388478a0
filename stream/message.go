package stream

import (
	"net/netip"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/wire"
)

// OriginMessage returns the message that holds the origin of the attempt's stream.
func OriginMessage(now lovageshift.Millis, attempt AttemptHash, origin Origin) *wire.StreamOrigin {
	message := &wire.StreamOrigin{Attempt: uint64(attempt), Service: string(origin.Service), Version: string(origin.Version)}
	if doubt := origin.Doubt; doubt != (Doubt{}) {
		message.Target, message.Born, message.DecidedMillis = uint64(doubt.Target), doubt.Born, int32(doubt.DecidedAt-now)
	}
	return message
}

// OriginOf returns the origin that the message holds.
func OriginOf(now lovageshift.Millis, message *wire.StreamOrigin) Origin {
	origin := Origin{Service: catalog.ServiceID(message.Service), Version: lovageshift.SoftwareVersion(message.Version)}
	if message.Target != 0 {
		origin.Doubt = Doubt{
			Target: TargetHash(message.Target), Born: message.Born, DecidedAt: now + lovageshift.Millis(message.DecidedMillis),
		}
	}
	return origin
}

// handlePacket handles a message that records where streams began, or asks for it, and reports whether it is one.
func (l *Ledger) handlePacket(now lovageshift.Millis, sender Sender, from netip.Addr, packet *wire.EntryPacket) bool {
	switch body := packet.Body.(type) {
	case *wire.EntryPacket_StreamBegan:
		l.Add(now, AttemptHash(body.StreamBegan.Attempt), OriginOf(now, body.StreamBegan))
	case *wire.EntryPacket_StreamOrigins:
		for _, origin := range body.StreamOrigins.Origins {
			l.Add(now, AttemptHash(origin.Attempt), OriginOf(now, origin))
		}
	case *wire.EntryPacket_StreamAsk:
		attempt := AttemptHash(body.StreamAsk.Attempt)
		reply := &wire.StreamReply{Attempt: uint64(attempt)}
		if origin, known := l.Find(now, attempt); known {
			reply.Origin = OriginMessage(now, attempt, origin)
		}
		sender.Send(from, &wire.EntryPacket{Body: &wire.EntryPacket_StreamReply{StreamReply: reply}})
	default:
		return false
	}
	return true
}
