package reservation

import (
	"cmp"
	"net/netip"
	"slices"

	"lovageshift"
	"lovageshift/membership"
	"lovageshift/placement"
	"lovageshift/wire"
)

const (
	// How long the order of the entries for a key is kept. Computing it takes a hash for each entry, too much to do for
	// each request.
	rankingTTL lovageshift.Millis = 100
	// Capacity that an entry is assumed to have if it is not known.
	unknownProcessor lovageshift.Millicores = 100
)

// Peers sends messages to the other entries and knows which of them are live.
type Peers interface {
	// Self returns this entry's address.
	Self() netip.Addr
	// Live returns the addresses of the other entries that are live, as exchange.Node.Live does.
	Live() []netip.Addr
	// Processor returns the processor capacity of the VM of this or another entry, 0 if it is not known.
	Processor(address netip.Addr) lovageshift.Millicores
	// Send sends a datagram, which may be lost.
	Send(to netip.Addr, packet *wire.EntryPacket)
}

// ranking is the order of the live entries, this one included, in which they are responsible for a key.
type ranking struct {
	at        lovageshift.Millis
	addresses []netip.Addr
}

// rank returns the live entries, this one included, in the order in which they are responsible for the key, by weighted
// rendezvous hashing. The result is up to rankingTTL old.
func (c *Client) rank(key string) []netip.Addr {
	now := c.clock.Now()
	c.mutex.Lock()
	last, found := c.rankings[key]
	c.mutex.Unlock()
	if found && now-last.at < rankingTTL {
		return last.addresses
	}
	addresses := append(c.peers.Live(), c.peers.Self())
	scores := make(map[netip.Addr]float64, len(addresses))
	for _, address := range addresses {
		scores[address] = membership.WeightedScore(key, address.String(), weightOf(c.peers.Processor(address)))
	}
	slices.SortFunc(addresses, func(a, b netip.Addr) int { return cmp.Compare(scores[b], scores[a]) })
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.rankings[key] = ranking{now, addresses}
	return addresses
}

// weightOf returns an entry's weight for shared tasks. Callers spread their requests over the entries regardless of their
// processors, so what a small one has left for other tasks is less than proportional to its capacity; hence the square.
func weightOf(processor lovageshift.Millicores) float64 {
	if processor <= 0 {
		processor = unknownProcessor
	}
	return float64(processor) * float64(processor)
}

// coordinatorOf returns the entry from which to request the group's slots: the first one in the order of rank that is not
// avoided.
func (c *Client) coordinatorOf(group placement.GroupID) netip.Addr {
	now := c.clock.Now()
	self := c.peers.Self()
	for _, address := range c.rank(string(group)) {
		if address == self || !c.isAvoided(now, address) {
			return address
		}
	}
	return self
}

// roleIn returns what this entry is to the group by the order of rank, avoided entries included. An entry that assigns the
// group's targets only because its coordinator and backup are avoided by itself or by others is neither: with it, too many
// entries would assign requests to a target that is cold or has a limit.
func (c *Client) roleIn(group placement.GroupID) placement.Role {
	first := c.First(string(group), 2)
	switch self := c.peers.Self(); {
	case first[0] == self:
		return placement.Coordinator
	case len(first) > 1 && first[1] == self:
		return placement.Backup
	default:
		return placement.Other
	}
}

// AmongFirst reports whether this entry is one of the first count entries responsible for the task, by the order of rank
// with the task as the key.
func (c *Client) AmongFirst(task string, count int) bool {
	return slices.Contains(c.First(task, count), c.peers.Self())
}

// First returns the first count live entries responsible for the task, by the order of rank with the task as the key. The
// result must not be changed.
func (c *Client) First(task string, count int) []netip.Addr {
	ranked := c.rank(task)
	return ranked[:min(count, len(ranked))]
}
