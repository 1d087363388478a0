package stream

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"lovageshift"
	"lovageshift/eventlog"
	"lovageshift/exchange"
	"lovageshift/wire"
)

const (
	// Interval of the hellos of a recorder that entries use, which an entry that has just started waits for.
	chosenHelloMillis lovageshift.Millis = 500
	// Interval of the hellos of another recorder, which only have to keep it known as a replacement.
	helloMillis lovageshift.Millis = 3000
	// Interval of the checks whether hellos are due.
	helloCheckInterval = 250 * time.Millisecond
	// An entry that has not sent anything for this long is forgotten. The address of an entry that was lost is often used
	// again.
	entryTimeoutMillis lovageshift.Millis = 60_000
	// A recorder counts as in use for this long after an entry last said so.
	chosenMillis lovageshift.Millis = 5000
	// A recorder that stops tells the entries so this often, at this interval, and goes on answering meanwhile. It hands over
	// after some of these rounds: first as soon as the answers name no recorder that stops together with it, and again for
	// the case that all entries have started anew since then.
	leaveRounds   = 13
	leaveInterval = 300 * time.Millisecond
	// Most origins in a datagram in which they are handed over. Each takes some 30 bytes.
	originsPerDatagram = 40
)

var handoverRounds = []int{1, 4, leaveRounds - 1}

// Recorder keeps where streams began for the entries. It is safe for concurrent use.
type Recorder struct {
	clock  lovageshift.Clock
	log    *eventlog.Log
	sender Sender
	ledger *Ledger

	mutex sync.Mutex
	seeds []netip.Addr
	// seenAt holds when each entry last sent something, or was named by another one.
	seenAt   map[netip.Addr]lovageshift.Millis
	chosenAt lovageshift.Millis // when an entry last said that it uses this recorder, 0 for never
	helloAt  lovageshift.Millis // when the next hellos are due
	// inUse are the recorders that entries use, by the last answer of one.
	inUse []netip.Addr
}

// NewRecorder returns a recorder that knows no streams and no entries but the seeds.
func NewRecorder(seeds []netip.Addr, clock lovageshift.Clock, log *eventlog.Log, sender Sender) *Recorder {
	return &Recorder{
		clock: clock, log: log, sender: sender, ledger: NewLedger(), seeds: seeds, seenAt: map[netip.Addr]lovageshift.Millis{},
	}
}

// Run makes the recorder known to entries until the context ends. It then tells them that it stops, and hands over what it
// keeps; HandlePacket has to be called meanwhile.
func (r *Recorder) Run(ctx context.Context) {
	lovageshift.Every(ctx, helloCheckInterval, func() {
		if r.helloDue(r.clock.Now()) {
			r.sendHellos(false)
		}
	})
	r.log.Info("stopping")
	handedOver := 0
	for round := range leaveRounds {
		r.sendHellos(true)
		lovageshift.Pause(context.Background(), leaveInterval)
		if slices.Contains(handoverRounds, round) {
			handedOver = r.handOver()
		}
	}
	r.log.Info("stop", "handedOver", handedOver)
}

// HandlePacket handles a message of an entry or of another recorder.
func (r *Recorder) HandlePacket(from netip.Addr, packet *wire.EntryPacket) {
	now := r.clock.Now()
	if reply := packet.GetRecorderReply(); reply != nil {
		r.answered(now, from, reply)
		return
	}
	if packet.GetStreamOrigins() == nil { // which another recorder sends
		r.seen(now, from)
	}
	r.ledger.handlePacket(now, r.sender, from, packet)
}

func (r *Recorder) seen(now lovageshift.Millis, entry netip.Addr) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.seenAt[entry] = now
}

// answered takes over an entry's answer to a hello.
func (r *Recorder) answered(now lovageshift.Millis, entry netip.Addr, reply *wire.RecorderReply) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.seenAt[entry] = now
	if reply.Chosen {
		r.chosenAt = now
	}
	if len(reply.Recorders) > 0 { // an entry that has just started knows none
		r.inUse = nil
	}
	for _, number := range reply.Recorders {
		r.inUse = append(r.inUse, exchange.IPv4Address(number))
	}
	for _, number := range reply.Entries {
		if other := exchange.IPv4Address(number); r.seenAt[other] == 0 {
			r.seenAt[other] = now
		}
	}
}

// helloDue reports whether hellos are due, and sets when the next ones are.
func (r *Recorder) helloDue(now lovageshift.Millis) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now < r.helloAt {
		return false
	}
	r.helloAt = now + helloMillis
	if r.isChosen(now) {
		r.helloAt = now + chosenHelloMillis
	}
	maps.DeleteFunc(r.seenAt, func(_ netip.Addr, at lovageshift.Millis) bool { return now-at > entryTimeoutMillis })
	return true
}

// isChosen reports whether entries use this recorder. The caller holds the mutex.
func (r *Recorder) isChosen(now lovageshift.Millis) bool {
	return r.chosenAt > 0 && now-r.chosenAt <= chosenMillis
}

// sendHellos sends hellos to all known entries if they use this recorder or it stops, or else to the seeds.
func (r *Recorder) sendHellos(leaving bool) {
	hello := &wire.EntryPacket{Body: &wire.EntryPacket_RecorderHello{RecorderHello: &wire.RecorderHello{Leaving: leaving}}}
	for _, entry := range r.helloTargets(leaving) {
		r.sender.Send(entry, hello)
	}
}

func (r *Recorder) helloTargets(leaving bool) []netip.Addr {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	entries := slices.Clone(r.seeds)
	if !leaving && !r.isChosen(r.clock.Now()) {
		return entries
	}
	for entry := range r.seenAt {
		if !slices.Contains(r.seeds, entry) {
			entries = append(entries, entry)
		}
	}
	return entries
}

// handOver sends what this recorder keeps to the recorders that have to keep it now. It returns the number of origins sent.
func (r *Recorder) handOver() int {
	r.mutex.Lock()
	inUse := r.inUse
	r.mutex.Unlock()
	now := r.clock.Now()
	shares := map[netip.Addr][]*wire.StreamOrigin{}
	for attempt, origin := range r.ledger.All(now) {
		replicas, _ := ReplicasOf(attempt, inUse)
		for _, replica := range replicas {
			shares[replica] = append(shares[replica], OriginMessage(now, attempt, origin))
		}
	}
	count := 0
	for replica, origins := range shares {
		count += len(origins)
		for part := range slices.Chunk(origins, originsPerDatagram) {
			message := &wire.StreamOrigins{Origins: part}
			r.sender.Send(replica, &wire.EntryPacket{Body: &wire.EntryPacket_StreamOrigins{StreamOrigins: message}})
		}
	}
	return count
}
