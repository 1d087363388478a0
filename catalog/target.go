package catalog

import (
	"cmp"
	"slices"

	"lovageshift"
)

// Target is one replica of a service as it registered itself.
type Target struct {
	ID       lovageshift.TargetID
	Service  ServiceID
	Address  string
	Zone     lovageshift.ZoneID
	Slots    int
	Draining bool
	// ColdRemaining is how long the target said that it stays cold.
	ColdRemaining lovageshift.Millis
	// ColdUntil is the same as a time of the entry's clock, set when the entry heard it.
	ColdUntil lovageshift.Millis
	// Born is the wall time of the target's start; the same id with another one is a new target.
	Born int64
	// Sequence rises with each registration in one incarnation of the target.
	Sequence int64
}

// Usable returns the targets of the service that are neither leaving nor in a zone taken out, by id.
func (v *View) Usable(service ServiceID) []*Target { return v.usable[service] }

// View is all that an entry knows of the platform at one moment; it is immutable.
type View struct {
	Catalog *Catalog
	Targets map[lovageshift.TargetID]*Target
	// ZonesOut are the availability zones whose targets get nothing.
	ZonesOut map[lovageshift.ZoneID]bool
	usable   map[ServiceID][]*Target
}

// NewView returns a view of the parts given.
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

// MaySend reports whether the incarnation of the target may get a new request.
func (v *View) MaySend(id lovageshift.TargetID, born int64) bool {
	target := v.Targets[id]
	return target != nil && target.Born == born && !target.Draining && !v.ZonesOut[target.Zone]
}
