package gateway_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/exchange"
	"lovageshift/membership"
	"lovageshift/quota"
	"lovageshift/wire"
)

// somePeers is the peer list of an entry that has the given number of others.
type somePeers struct {
	noPeers
	others int
}

func peerAddress(number int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(number + 1)}) }

func (p somePeers) Live() (addresses []netip.Addr) {
	for number := range p.others {
		addresses = append(addresses, peerAddress(number))
	}
	return addresses
}

// collectors returns how many of the others are responsible for collecting before the entry itself, and the first of
// them.
func (p somePeers) collectors() (ahead int, first netip.Addr) {
	const task = "collect"
	for _, address := range p.Live() {
		if membership.Score(task, address.String()) > membership.Score(task, p.Self().String()) {
			ahead++
		}
		if !first.IsValid() || membership.Score(task, address.String()) > membership.Score(task, first.String()) {
			first = address
		}
	}
	return ahead, first
}

// sendLevels sends the entry the levels of an account that is used up, as from the first collector among the others, and
// returns the status of a request of that account.
func sendLevels(others int) (ahead, status int) {
	peers := somePeers{others: others}
	s := newSetupWithPeers(peers, plainReplica("i-1"))
	defer s.stop()
	So(s.send("r1", "GET", "/read/x", "").status, ShouldEqual, http.StatusOK)
	ahead, first := peers.collectors()
	s.gateway.SetMemberCounts(1, exchange.MemberCounts{Known: others + 1, Live: others + 1, Reporting: others + 1, RoundIntervals: 6})
	s.gateway.HandlePacket(lovageshift.Millis(60_000), first, &wire.EntryPacket{Body: &wire.EntryPacket_Levels{Levels: &wire.AccountLevels{
		ReceiverIncarnation: uint32(peers.Incarnation()),
		Levels:              []*wire.AccountLevel{{Account: uint32(quota.HashOf("acme")), UsedLeft: -1e9, DeclaredLeft: -1e9}},
	}}})
	return ahead, s.send("r2", "GET", "/read/x", "").status
}

// Two collectors that took over each other's levels would know no use of other entries: accounts would have no limit.
func TestLevelsOfCollectors(t *testing.T) {
	others := map[bool]int{}
	for count := 1; count < 60; count++ {
		ahead, _ := somePeers{others: count}.collectors()
		others[ahead < 2] = count
	}
	for isCollector, count := range others {
		Convey(fmt.Sprintf("Levels are applied unless the entry is a collector itself: %v", isCollector), t, func() {
			_, status := sendLevels(count)
			So(status, ShouldEqual, map[bool]int{true: http.StatusOK, false: http.StatusTooManyRequests}[isCollector])
		})
	}
	Convey("Both cases occur", t, func() { So(others, ShouldHaveLength, 2) })
}
