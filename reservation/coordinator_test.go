package reservation_test

import (
	"fmt"
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/placement"
	"lovageshift/reservation"
	"lovageshift/wire"
)

// fixedPeers is the peer list of the first of some entries with processors of the given capacities.
type fixedPeers []lovageshift.Millicores

func entryAddress(number int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(number + 1)}) }

func (p fixedPeers) Self() netip.Addr { return entryAddress(0) }

func (p fixedPeers) Live() (others []netip.Addr) {
	for number := range p[1:] {
		others = append(others, entryAddress(number+1))
	}
	return others
}

func (p fixedPeers) Processor(address netip.Addr) lovageshift.Millicores {
	return p[address.As4()[3]-1]
}

func (p fixedPeers) Send(netip.Addr, *wire.EntryPacket) {}

// tasksOfFirst returns how many of the tasks the first entry is responsible for.
func tasksOfFirst(tasks int, processors ...lovageshift.Millicores) int {
	client := reservation.NewClient(placement.NewScheduler(placement.ColdBounds{}), lovageshift.NewClock(), nil)
	client.SetPeers(fixedPeers(processors))
	owned := 0
	for task := range tasks {
		if client.AmongFirst(fmt.Sprint(task), 1) {
			owned++
		}
	}
	return owned
}

// A small entry that coordinates a large group has no processor left to answer reservation requests in time.
func TestSharedTasksFollowTheProcessor(t *testing.T) {
	Convey("An entry with a processor five times as large gets 25 times the tasks of each of the others", t, func() {
		So(tasksOfFirst(10_000, 800, 160, 160, 160, 160, 160), ShouldAlmostEqual, 10_000*25/30, 300)
	})
	Convey("Entries of equal or unknown capacity get about the same number", t, func() {
		So(tasksOfFirst(10_000, 144, 144, 144, 144), ShouldAlmostEqual, 2500, 300)
		So(tasksOfFirst(10_000, 0, 0, 0, 0), ShouldAlmostEqual, 2500, 300)
	})
}
