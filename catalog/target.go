package catalog

import (
	"cmp"
	"slices"

	"lovageshift"
)

// Target is one target of a service, with what its record in the store says of it and what the entry derived from that.
type Target struct {
	ID      lovageshift.TargetID
	Service ServiceID
	Address string // IP:port
	Zone    lovageshift.ZoneID
	// Version is the version of the target's software, "" if its record does not say.
	Version lovageshift.SoftwareVersion
	// Slots is the number of requests that the target runs at once, 0 if its record does not say.
	Slots int
	// Draining is set once the target has announced its shutdown. It then gets no new requests.
	Draining bool
	// ColdRemaining is how long the target stays cold (see Service), in milliseconds from when it wrote the record.
	ColdRemaining lovageshift.Millis
	// ColdUntil is the end of the cold period by the entry's Clock.Now. The entry counts ColdRemaining from when it
	// applied the record. The end is later if an earlier record of the incarnation or the return of the zone gave a later
	// one.
	ColdUntil lovageshift.Millis
	// Born is the wall time of the target's start, in milliseconds since the Unix epoch. A record with the same ID and a
	// later Born is of a new incarnation.
	Born int64
	// Sequence rises with each registration of the same incarnation.
	Sequence int64
}

// Usable returns the targets of the service, sorted by id, that are neither draining nor in a zone out of service.
func (v *View) Usable(service ServiceID) []*Target { return v.usable[service] }

// View is a snapshot of an entry's local copy of the store's records. It is immutable.
type View struct {
	Catalog *Catalog // nil if the entry has read no valid catalog yet
	Targets map[lovageshift.TargetID]*Target
	// ZonesOut holds the availability zones out of service, whose targets get no new requests.
	ZonesOut map[lovageshift.ZoneID]bool
	usable   map[ServiceID][]*Target // the results of Usable
}

// NewView returns a view of the catalog, the targets and the zones out of service. It keeps the maps, which must not be
// changed afterwards.
func NewView(catalog *Catalog, targets map[lovageshift.TargetID]*Target, zonesOut map[lovageshift.ZoneID]bool) *View {
	v := &View{Catalog: catalog, Targets: targets, ZonesOut: zonesOut, usable: map[ServiceID][]*Target{}}
	for _, target := range targets {
		if v.MaySend(target.ID, target.Born) {
			v.usable[target.Service] = append(v.usable[target.Service], target)
		}
	}
	for _, list := range v.usable {
		slices.SortFunc(list, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v
}

// MaySend reports whether the incarnation of the target that started at born (see Target.Born) may get a new request:
// it is the one in the view, and neither draining nor in a zone out of service.
func (v *View) MaySend(id lovageshift.TargetID, born int64) bool {
	target := v.Targets[id]
	return target != nil && target.Born == born && !target.Draining && !v.ZonesOut[target.Zone]
}
