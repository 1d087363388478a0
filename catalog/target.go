package catalog

import (
	"cmp"
	"slices"

	"lovageshift"
)

// Target is one replica of a service, as it registered itself in the store.
type Target struct {
	ID      lovageshift.TargetID
	Service ServiceID
	Address string // IP:port
	Zone    lovageshift.ZoneID
	// Slots is the number of requests that the target runs at once, 0 if it did not register one.
	Slots int
	// Draining is set once the target announced its shutdown; it gets no new requests.
	Draining bool
	// ColdRemaining is how long the target is to stay cold, in milliseconds from when it wrote the record.
	ColdRemaining lovageshift.Millis
	// ColdUntil is the end of the cold period on the entry's Clock.Now. The entry counts ColdRemaining from when it
	// applied the record, and may set a later end.
	ColdUntil lovageshift.Millis
	// Born is the wall time of the target's start, in milliseconds since the Unix epoch. The same id with a later one is a
	// new incarnation.
	Born int64
	// Sequence rises with each registration of one incarnation.
	Sequence int64
}

// Usable returns the targets of the service, sorted by id, that are neither draining nor in a zone out of service.
func (v *View) Usable(service ServiceID) []*Target { return v.usable[service] }

// View is an entry's snapshot of the store's records at one moment. It is immutable.
type View struct {
	Catalog *Catalog // nil before the first valid one
	Targets map[lovageshift.TargetID]*Target
	// ZonesOut are the availability zones out of service; their targets get no new requests.
	ZonesOut map[lovageshift.ZoneID]bool
	usable   map[ServiceID][]*Target // the result of Usable
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

// MaySend reports whether the target may get a new request: born is that of its registered incarnation, and the target
// is neither draining nor in a zone out of service.
func (v *View) MaySend(id lovageshift.TargetID, born int64) bool {
	target := v.Targets[id]
	return target != nil && target.Born == born && !target.Draining && !v.ZonesOut[target.Zone]
}
