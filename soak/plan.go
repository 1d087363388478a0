package soak

import (
	"math/rand/v2"
	"sort"

	"lovageshift"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. Those of entries, links and targets have a subject, chosen by number.
const (
	EntryKilled      Kind = "entryKilled"
	EntryStopped     Kind = "entryStopped"
	EntryPaused      Kind = "entryPaused"
	EntryReloaded    Kind = "entryReloaded"
	AllKilled        Kind = "allKilled"
	StoreLinkRefused Kind = "storeLinkRefused"
	StoreLinkHeld    Kind = "storeLinkHeld"
	StoreLinkOneWay  Kind = "storeLinkOneWay"
	StoreLinkSlow    Kind = "storeLinkSlow"
	StoreLinkSilent  Kind = "storeLinkSilent"
	CallersReset     Kind = "callersReset"
	CallersSlow      Kind = "callersSlow"
	TargetKilled     Kind = "targetKilled"
	TargetReset      Kind = "targetReset"
	TargetHeld       Kind = "targetHeld"
	TargetOneWay     Kind = "targetOneWay"
	TargetSilent     Kind = "targetSilent"
	TargetSlow       Kind = "targetSlow"
	TargetMisbehaves Kind = "targetMisbehaves"
	TargetLeaves     Kind = "targetLeaves"
	TargetLapses     Kind = "targetLapses"
	TargetCold       Kind = "targetCold"
	StoreFails       Kind = "storeFails"
	StoreSilent      Kind = "storeSilent"
	StoreForgets     Kind = "storeForgets"
	KeyWithdrawn     Kind = "keyWithdrawn"
	QuotaLowered     Kind = "quotaLowered"
	ZoneOut          Kind = "zoneOut"
	FatalRequest     Kind = "fatalRequest"
)

var allKinds = []Kind{
	EntryKilled, EntryStopped, EntryPaused, EntryReloaded, AllKilled, StoreLinkRefused, StoreLinkHeld, StoreLinkOneWay,
	StoreLinkSlow, StoreLinkSilent, CallersReset, CallersSlow, TargetKilled, TargetReset, TargetHeld, TargetOneWay,
	TargetSilent, TargetSlow, TargetMisbehaves, TargetLeaves, TargetLapses, TargetCold, StoreFails, StoreSilent,
	StoreForgets, KeyWithdrawn, QuotaLowered, ZoneOut, FatalRequest,
}

// Fault is one thing that goes wrong, or that the operator does.
type Fault struct {
	Kind Kind
	// Start is when it begins, counted from the start of traffic.
	Start lovageshift.Millis
	// Duration is how long it lasts, where it lasts.
	Duration lovageshift.Millis
	// Subject chooses the entry or the target, Variant how it happens; both are taken modulo what there is.
	Subject int
	Variant int
}

const (
	// Half of the seeds have few faults, so that spans in which all bounds hold come between them.
	fewFaults  = 8
	manyFaults = 30
	subjects   = 1 << 16
	// One fault in so many repeats the one before on another subject, so that series come too.
	repeatOneIn = 4

	faultMinMillis lovageshift.Millis = 300
	faultMaxMillis lovageshift.Millis = 5000
	warmMillis     lovageshift.Millis = 1500
)

// NewPlan returns the faults of a seed within a time, in order of their beginning.
func NewPlan(seed uint64, within lovageshift.Millis) []Fault {
	random := rand.New(rand.NewPCG(seed, seed))
	most := fewFaults
	if random.IntN(2) == 0 {
		most = manyFaults
	}
	faults := make([]Fault, 1+random.IntN(most))
	for i := range faults {
		faults[i] = Fault{
			Kind:     allKinds[random.IntN(len(allKinds))],
			Start:    warmMillis + lovageshift.Millis(random.Int64N(int64(within-warmMillis))),
			Duration: faultMinMillis + lovageshift.Millis(random.Int64N(int64(faultMaxMillis-faultMinMillis))),
			Subject:  random.IntN(subjects),
			Variant:  random.IntN(subjects),
		}
		if i > 0 && random.IntN(repeatOneIn) == 0 {
			faults[i].Kind = faults[i-1].Kind
		}
	}
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Start < faults[j].Start })
	return faults
}
