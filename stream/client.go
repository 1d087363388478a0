package stream

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"lovageshift"
	"lovageshift/exchange"
	"lovageshift/wire"
)

const (
	// How long to wait for answers before the same are asked again, and how often they are asked. While the version is undecided,
	// or this entry has just started, they are asked for as long as there is time, at intervals that grow to maxAskInterval.
	askInterval    = 40 * time.Millisecond
	askRounds      = 3
	maxAskInterval = 320 * time.Millisecond
	// An entry that has just started knows the recorders in use and the other entries after this time.
	settleMillis lovageshift.Millis = 1500
	// Most other entries that are named to a recorder.
	namedEntries = 8
)

var (
	// ErrUnknown is returned by Client.Find if no recorder and no entry knows where the stream began.
	ErrUnknown = errors.New("no recorder knows which software version began the stream")
	// ErrNoAnswer is returned by Client.Find if some of them did not answer and the others do not know.
	ErrNoAnswer = errors.New("not all recorders answered which software version began the stream")
	// ErrUndecided is returned by Client.Find if the version is not known yet, as the target may have started again.
	ErrUndecided = errors.New("it is not known yet which software version began the stream")
)

// Sender sends datagrams, which may be lost.
type Sender interface {
	Send(to netip.Addr, packet *wire.EntryPacket)
}

// Peers sends messages and knows the other entries.
type Peers interface {
	Sender
	// Live returns the addresses of the other entries that are live, in a slice of its own.
	Live() []netip.Addr
}

// Client records for an entry where streams began, and finds it. It is safe for concurrent use once SetPeers was called.
type Client struct {
	clock        lovageshift.Clock
	startedAt    lovageshift.Millis
	peers        Peers
	ledger       *Ledger
	recorders    *Recorders
	incarnations *Incarnations

	mutex sync.Mutex
	// asking holds the channels for the answers to the questions that are open, by attempt.
	asking map[AttemptHash][]chan answer
}

// answer is a recorder's answer to the question where a stream began.
type answer struct {
	from   netip.Addr
	origin Origin
	known  bool
}

// NewClient returns a client that knows no streams and no recorders.
func NewClient(clock lovageshift.Clock) *Client {
	return &Client{
		clock: clock, startedAt: clock.Now(), ledger: NewLedger(), recorders: NewRecorders(), incarnations: NewIncarnations(),
		asking: map[AttemptHash][]chan answer{},
	}
}

// Incarnations returns the record of the targets' incarnations, by which Find decides origins. The entry has to keep it.
func (c *Client) Incarnations() *Incarnations { return c.incarnations }

// SetPeers sets the connection to recorders and to the other entries.
func (c *Client) SetPeers(peers Peers) { c.peers = peers }

// Report adds the recorders in use to a state update.
func (c *Client) Report(now lovageshift.Millis, update *wire.EntryNews) {
	for _, chosen := range c.recorders.Chosen(now) {
		update.Recorders = append(update.Recorders, exchange.IPv4Number(chosen.Address))
		update.RecorderMillis = append(update.RecorderMillis, uint32(chosen.Age))
	}
}

// Merge takes over the recorders that another entry uses.
func (c *Client) Merge(now lovageshift.Millis, update *wire.EntryNews) {
	for i, number := range update.Recorders {
		if i < len(update.RecorderMillis) {
			c.recorders.Reported(now-lovageshift.Millis(update.RecorderMillis[i]), exchange.IPv4Address(number))
		}
	}
}

// Record records where the attempt's stream began, here and at recorders.
func (c *Client) Record(attempt string, origin Origin) {
	now := c.clock.Now()
	hash := HashOf(attempt)
	c.ledger.Add(now, hash, origin)
	packet := &wire.EntryPacket{Body: &wire.EntryPacket_StreamBegan{StreamBegan: OriginMessage(now, hash, origin)}}
	replicas, _ := ReplicasOf(hash, c.addresses(now))
	for _, replica := range replicas {
		c.peers.Send(replica, packet)
	}
}

// addresses returns the recorders in use or, where there are none, the other entries.
func (c *Client) addresses(now lovageshift.Millis) []netip.Addr {
	chosen := c.recorders.Chosen(now)
	if len(chosen) == 0 {
		return c.peers.Live()
	}
	addresses := make([]netip.Addr, 0, len(chosen))
	for _, recorder := range chosen {
		addresses = append(addresses, recorder.Address)
	}
	return addresses
}

// Find returns where the attempt's stream began. It asks the recorders that keep it if this entry does not know, and then all
// recorders and entries: the entry that forwarded the first event remembers it too. It does so until the context ends at most.
func (c *Client) Find(ctx context.Context, attempt string) (Origin, error) {
	hash := HashOf(attempt)
	own, known := c.ledger.Find(c.clock.Now(), hash)
	if known {
		if decided, ok := c.incarnations.Decide(own); ok {
			return decided, nil
		}
	}
	answers, stop := c.ask(hash)
	defer stop()
	s := &search{client: c, attempt: hash, answers: answers, answered: map[netip.Addr]bool{}, undecided: known, doubtful: own}
	replicas, _ := ReplicasOf(hash, c.addresses(c.clock.Now()))
	origin, found := s.askOnce(ctx, replicas, askInterval)
	interval := askInterval
	for round := 1; !found && (round < askRounds || c.mayLearn(s)) && ctx.Err() == nil; round++ {
		all := c.allAddresses(hash) // which may have changed since the stream began
		origin, found = s.askOnce(ctx, all, interval)
		if !found && !c.mayLearn(s) && s.haveAnswered(all) {
			return Origin{}, ErrUnknown
		}
		if round >= askRounds {
			interval = min(2*interval, maxAskInterval)
		}
	}
	switch {
	case found:
		return origin, nil
	case s.undecided:
		return Origin{}, ErrUndecided
	default:
		return Origin{}, ErrNoAnswer
	}
}

// mayLearn reports whether it helps to go on asking although nobody knows the origin now.
func (c *Client) mayLearn(s *search) bool {
	return s.undecided || c.clock.Now()-c.startedAt < settleMillis
}

// allAddresses returns the recorders that may keep the origin of the attempt's stream, and the other entries.
func (c *Client) allAddresses(attempt AttemptHash) []netip.Addr {
	now := c.clock.Now()
	replicas, others := ReplicasOf(attempt, c.addresses(now))
	all := slices.Concat(replicas, others, c.recorders.Next(now), c.recorders.Leaving(now), c.peers.Live())
	slices.SortFunc(all, netip.Addr.Compare)
	return slices.Compact(all)
}

// ask registers a channel for the answers where the attempt's stream began. The returned function ends that.
func (c *Client) ask(attempt AttemptHash) (chan answer, func()) {
	answers := make(chan answer, len(c.peers.Live())+3*chosenCount)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.asking[attempt] = append(c.asking[attempt], answers)
	return answers, func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.asking[attempt] = slices.DeleteFunc(c.asking[attempt], func(other chan answer) bool { return other == answers })
		if len(c.asking[attempt]) == 0 {
			delete(c.asking, attempt)
		}
	}
}

// deliver passes a recorder's answer to all who asked.
func (c *Client) deliver(from netip.Addr, reply *wire.StreamReply) {
	a := answer{from: from, known: reply.Origin != nil}
	if a.known {
		a.origin = OriginOf(c.clock.Now(), reply.Origin)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, answers := range c.asking[AttemptHash(reply.Attempt)] {
		select {
		case answers <- a:
		default: // full of answers that have not been read yet; recorders are asked again
		}
	}
}

// HandlePacket handles a message of a recorder, or of another entry about a stream, and reports whether it is one. Entries
// are recorders where there are no others.
func (c *Client) HandlePacket(now lovageshift.Millis, from netip.Addr, packet *wire.EntryPacket) bool {
	switch body := packet.Body.(type) {
	case *wire.EntryPacket_StreamReply:
		c.deliver(from, body.StreamReply)
	case *wire.EntryPacket_RecorderHello:
		if body.RecorderHello.Leaving {
			c.recorders.Left(now, from)
		} else {
			c.recorders.Seen(now, from)
		}
		c.peers.Send(from, &wire.EntryPacket{Body: &wire.EntryPacket_RecorderReply{RecorderReply: c.recorderReply(now, from)}})
	default:
		return c.ledger.handlePacket(now, c.peers, from, packet)
	}
	return true
}

// recorderReply returns the answer to a recorder's hello.
func (c *Client) recorderReply(now lovageshift.Millis, recorder netip.Addr) *wire.RecorderReply {
	reply := &wire.RecorderReply{}
	live := c.peers.Live()
	first := rand.IntN(len(live) + 1)
	for i := range min(len(live), namedEntries) {
		reply.Entries = append(reply.Entries, exchange.IPv4Number(live[(first+i)%len(live)]))
	}
	for _, chosen := range c.recorders.Chosen(now) {
		reply.Recorders = append(reply.Recorders, exchange.IPv4Number(chosen.Address))
		reply.Chosen = reply.Chosen || chosen.Address == recorder
	}
	return reply
}
