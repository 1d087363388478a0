package soak

import (
	"math/rand/v2"
	"sort"

	"lovageshift"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. Fault.Subject selects the entry, link or target that a fault affects.
const (
	// An entry gets SIGKILL; SIGTERM, and SIGKILL after the grace period; SIGSTOP and later SIGCONT; or other settings.
	EntryKilled   Kind = "entryKilled"
	EntryStopped  Kind = "entryStopped"
	EntryPaused   Kind = "entryPaused"
	EntryReloaded Kind = "entryReloaded"
	// All entries get SIGKILL at once.
	AllKilled Kind = "allKilled"
	// The link between an entry and the store refuses connections, holds data back in both directions or in one, delays
	// data, or stops forwarding on the connections that are open.
	StoreLinkRefused Kind = "storeLinkRefused"
	StoreLinkHeld    Kind = "storeLinkHeld"
	StoreLinkOneWay  Kind = "storeLinkOneWay"
	StoreLinkSlow    Kind = "storeLinkSlow"
	StoreLinkSilent  Kind = "storeLinkSilent"
	// The connections between callers and an entry are reset, or their data is delayed.
	CallersReset Kind = "callersReset"
	CallersSlow  Kind = "callersSlow"
	// A target exits without notice, or the link from the entries to it is reset, holds data back in both directions or
	// in one, stops forwarding on the connections that are open, or delays data.
	TargetKilled Kind = "targetKilled"
	TargetReset  Kind = "targetReset"
	TargetHeld   Kind = "targetHeld"
	TargetOneWay Kind = "targetOneWay"
	TargetSilent Kind = "targetSilent"
	TargetSlow   Kind = "targetSlow"
	// A target answers wrongly, drains and exits, stops writing its record until the store drops it, or becomes cold
	// while it runs.
	TargetMisbehaves Kind = "targetMisbehaves"
	TargetLeaves     Kind = "targetLeaves"
	TargetLapses     Kind = "targetLapses"
	TargetCold       Kind = "targetCold"
	// The store answers every call with an error, leaves calls unanswered, or loses its history of changes.
	StoreFails   Kind = "storeFails"
	StoreSilent  Kind = "storeSilent"
	StoreForgets Kind = "storeForgets"
	// The operator replaces a key, lowers a quota for a time, or takes a zone out of service for a time.
	KeyWithdrawn Kind = "keyWithdrawn"
	QuotaLowered Kind = "quotaLowered"
	ZoneOut      Kind = "zoneOut"
	// A caller repeats a request that crashes every target that runs it.
	FatalRequest Kind = "fatalRequest"
)

var allKinds = []Kind{
	EntryKilled, EntryStopped, EntryPaused, EntryReloaded, AllKilled, StoreLinkRefused, StoreLinkHeld, StoreLinkOneWay,
	StoreLinkSlow, StoreLinkSilent, CallersReset, CallersSlow, TargetKilled, TargetReset, TargetHeld, TargetOneWay,
	TargetSilent, TargetSlow, TargetMisbehaves, TargetLeaves, TargetLapses, TargetCold, StoreFails, StoreSilent,
	StoreForgets, KeyWithdrawn, QuotaLowered, ZoneOut, FatalRequest,
}

// Fault is one planned fault, or one action of the operator.
type Fault struct {
	Kind Kind
	// Start is counted from the start of traffic.
	Start lovageshift.Millis
	// Length is ignored by kinds that happen at one moment or take a fixed time.
	Length lovageshift.Millis
	// Subject selects the entry or the target, Variant the form of the fault; both are taken modulo the number of
	// choices.
	Subject int
	Variant int
}

const (
	// Half of the seeds have few faults, so that between the faults there are periods in which all bounds apply.
	fewFaults  = 8
	manyFaults = 30
	maxChoice  = 1 << 16
	// On average one fault in repeatOneIn has the kind of the fault drawn before it, on another subject, so that plans
	// also contain series of one kind.
	repeatOneIn = 4

	faultMinMillis lovageshift.Millis = 300
	faultMaxMillis lovageshift.Millis = 5000
	// Traffic runs for this long before the first fault.
	firstFaultMillis lovageshift.Millis = 1500
)

// NewPlan returns the faults of a seed, ordered by start. All of them start within the window, in milliseconds.
func NewPlan(seed uint64, window lovageshift.Millis) []Fault {
	random := rand.New(rand.NewPCG(seed, seed))
	maxFaults := fewFaults
	if random.IntN(2) == 0 {
		maxFaults = manyFaults
	}
	faults := make([]Fault, 1+random.IntN(maxFaults))
	for i := range faults {
		faults[i] = Fault{
			Kind:    allKinds[random.IntN(len(allKinds))],
			Start:   firstFaultMillis + lovageshift.Millis(random.Int64N(int64(window-firstFaultMillis))),
			Length:  faultMinMillis + lovageshift.Millis(random.Int64N(int64(faultMaxMillis-faultMinMillis))),
			Subject: random.IntN(maxChoice),
			Variant: random.IntN(maxChoice),
		}
		if i > 0 && random.IntN(repeatOneIn) == 0 {
			faults[i].Kind = faults[i-1].Kind
		}
	}
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Start < faults[j].Start })
	return faults
}
