package soak

import (
	"math/rand/v2"
	"sort"

	"lovageshift"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	// EntryKilled sends SIGKILL to an entry.
	EntryKilled Kind = "entryKilled"
	// EntryStopped sends SIGTERM to an entry, and SIGKILL if it still runs after stopGraceMillis.
	EntryStopped Kind = "entryStopped"
	// EntryPaused sends SIGSTOP to an entry, and SIGCONT after the length of the fault.
	EntryPaused Kind = "entryPaused"
	// EntryReloaded changes an entry's settings file; the variant decides whether the entry also gets SIGHUP.
	EntryReloaded Kind = "entryReloaded"
	// AllKilled sends SIGKILL to all entries.
	AllKilled Kind = "allKilled"

	// The link between an entry and the store resets open and new connections, holds data back in both directions or in
	// one, delays data, or stops forwarding on the connections that are open when the fault starts.
	StoreLinkRefused Kind = "storeLinkRefused"
	StoreLinkHeld    Kind = "storeLinkHeld"
	StoreLinkOneWay  Kind = "storeLinkOneWay"
	StoreLinkSlow    Kind = "storeLinkSlow"
	StoreLinkSilent  Kind = "storeLinkSilent"

	// The connections between callers and an entry are reset, or their data is delayed.
	CallersReset Kind = "callersReset"
	CallersSlow  Kind = "callersSlow"

	// TargetKilled ends a target without notice. The variant decides whether the next target at its address has
	// the same id.
	TargetKilled Kind = "targetKilled"
	// The link from the entries to a target is reset, holds data back in both directions or in one, stops forwarding on
	// the connections that are open when the fault starts, or delays data.
	TargetReset  Kind = "targetReset"
	TargetHeld   Kind = "targetHeld"
	TargetOneWay Kind = "targetOneWay"
	TargetSilent Kind = "targetSilent"
	TargetSlow   Kind = "targetSlow"
	// TargetMisbehaves makes a target refuse requests or answer them wrongly, in the form that the variant selects.
	TargetMisbehaves Kind = "targetMisbehaves"
	// TargetLeaves makes a target drain and exit.
	TargetLeaves Kind = "targetLeaves"
	// TargetLapses stops a target's writes of its record until the store has dropped the record.
	TargetLapses Kind = "targetLapses"
	// TargetCold resets a running target to cold, for coldMillis.
	TargetCold Kind = "targetCold"

	// StoreFails makes the store answer every call with an error status, which the variant selects.
	StoreFails Kind = "storeFails"
	// StoreSilent makes the store leave calls unanswered.
	StoreSilent Kind = "storeSilent"
	// StoreForgets drops the store's history of changes, so that watches must start anew.
	StoreForgets Kind = "storeForgets"

	// KeyWithdrawn revokes a key of the stable account and publishes a new one.
	KeyWithdrawn Kind = "keyWithdrawn"
	// QuotaLowered lowers the quota of the small account for the length of the fault.
	QuotaLowered Kind = "quotaLowered"
	// ZoneOut takes a zone, which the variant selects, out of service for evacuationMillis plus the length of the fault.
	ZoneOut Kind = "zoneOut"

	// FatalRequest makes a caller repeat a request that crashes every target that runs it.
	FatalRequest Kind = "fatalRequest"
	// FatalPart makes a caller send requests that share a part of their prompts, which crashes every target that runs them.
	FatalPart Kind = "fatalPart"
	// TargetLimited makes a target name a limit in its answers, for the length of the fault and limitedMillis.
	TargetLimited Kind = "targetLimited"
	// StoreRestored makes the store fail for a moment and come back from a copy made at the start of the fault. What targets
	// and the operator wrote since then is lost, and is written again.
	StoreRestored Kind = "storeRestored"
	// TargetRepeatsRefusal makes a target refuse requests, and send each refusal once more before the next answer on the same
	// connection.
	TargetRepeatsRefusal Kind = "targetRepeatsRefusal"
	// StoreRecordOdd puts a record of a target into the store that no target writes, in the form that the variant selects.
	StoreRecordOdd Kind = "storeRecordOdd"

	// TargetSaysLeaving makes a target say in its answers that it leaves, drain and exit. The variant decides whether the
	// store knows it before, after or never.
	TargetSaysLeaving Kind = "targetSaysLeaving"
	// TargetRefuses makes a target refuse requests for the length of the fault, and say for how long.
	TargetRefuses Kind = "targetRefuses"
	// TargetsReleased makes half of the targets of each service say that they leave, lose their connections and exit; the
	// next ones have the other version. Meanwhile an entry is paused or cut off from the store, as the variant selects.
	TargetsReleased Kind = "targetsReleased"

	// BodiesStall opens more connections to an entry than it may have, each with a request that holds back the end of its body,
	// for the length of the fault.
	BodiesStall Kind = "bodiesStall"
)

var allKinds = []Kind{
	EntryKilled, EntryStopped, EntryPaused, EntryReloaded, AllKilled, StoreLinkRefused, StoreLinkHeld, StoreLinkOneWay,
	StoreLinkSlow, StoreLinkSilent, CallersReset, CallersSlow, TargetKilled, TargetReset, TargetHeld, TargetOneWay,
	TargetSilent, TargetSlow, TargetMisbehaves, TargetLeaves, TargetLapses, TargetCold, StoreFails, StoreSilent,
	StoreForgets, KeyWithdrawn, QuotaLowered, ZoneOut, FatalRequest,
}

// laterKinds are drawn apart from allKinds, so that the other faults of seeds from before stay the same. New ones are added at
// the end.
var laterKinds = []Kind{FatalPart, TargetLimited, StoreRestored, TargetRepeatsRefusal, StoreRecordOdd}

// noticeKinds are those of Options.Notices.
var noticeKinds = []Kind{TargetSaysLeaving, TargetRefuses, TargetsReleased}

// endKinds are those of Options.Ends.
var endKinds = []Kind{EntryKilled, EntryStopped, AllKilled, TargetKilled, TargetMisbehaves, CallersReset, EntryStopped}

// stallKinds are those of Options.Stalls.
var stallKinds = []Kind{BodiesStall}

// stopKinds are those of Options.Stops, of which each entry gets all.
var stopKinds = []Kind{EntryStopped, EntryStopped, EntryReloaded, EntryReloaded}

// awayKinds stop or restart entries. targetLinkKinds hold back or end what passes between entries and targets.
var (
	awayKinds       = []Kind{EntryKilled, EntryStopped, EntryPaused, AllKilled}
	targetLinkKinds = []Kind{TargetReset, TargetHeld, TargetOneWay, TargetSilent, TargetSlow, TargetsReleased}
)

// Fault is one planned fault. Actions of the operator and fatal requests count as faults.
type Fault struct {
	Kind Kind
	// Start is in milliseconds from the start of traffic.
	Start lovageshift.Millis
	// Length is how long the fault lasts, in milliseconds. ZoneOut and FatalRequest last longer by a fixed time. Kinds
	// that happen at one moment, take a fixed time or end on a condition of their own ignore Length.
	Length lovageshift.Millis
	// Subject selects the entry or target that the fault or its link belongs to, Variant a form of the fault. Both are
	// taken modulo the number of choices, and ignored by kinds without that choice.
	Subject int
	Variant int
}

const (
	// About half of the seeds have at most fewFaults faults, so that between the faults there are periods in which all
	// bounds apply. The others have at most manyFaults.
	fewFaults  = 8
	manyFaults = 30
	// Subject and Variant are drawn below choiceCount.
	choiceCount = 1 << 16
	// On average one fault in repeatOneIn has the kind of the fault drawn before it, but its own other fields, so that
	// plans also contain series of one kind.
	repeatOneIn = 4

	// Length is drawn from faultMinMillis to below faultMaxMillis.
	faultMinMillis lovageshift.Millis = 300
	faultMaxMillis lovageshift.Millis = 5000
	// Traffic runs for this long before the first fault.
	firstFaultMillis lovageshift.Millis = 1500
)

// NewPlan returns the faults of a seed, ordered by start. All of them start before the end of the window, which is in
// milliseconds from the start of traffic.
func NewPlan(seed uint64, window lovageshift.Millis) []Fault {
	faults := append(drawFaults(rand.New(rand.NewPCG(seed, seed)), window), drawEach(laterKinds, rand.New(rand.NewPCG(seed, ^seed)), window)...)
	return sorted(faults)
}

// plan returns the faults of the run: those of NewPlan and, with Notices, Ends or Stalls, those of two draws of the noticeKinds,
// endKinds or stallKinds, and with Stops the stopKinds for each entry.
func (o Options) plan() []Fault {
	faults := NewPlan(o.Seed, o.FaultWindow)
	stalls := rand.New(rand.NewPCG(o.Seed, o.Seed+1))
	notices, ends := rand.New(rand.NewPCG(^o.Seed, o.Seed)), rand.New(rand.NewPCG(^o.Seed, ^o.Seed))
	for range 2 {
		if o.Notices {
			faults = append(faults, drawEach(noticeKinds, notices, o.FaultWindow)...)
		}
		if o.Ends {
			faults = append(faults, drawEach(endKinds, ends, o.FaultWindow)...)
		}
		if o.Stalls {
			faults = append(faults, drawEach(stallKinds, stalls, o.FaultWindow)...)
		}
	}
	if o.Stops {
		faults = append(faults, drawStops(rand.New(rand.NewPCG(o.Seed+1, o.Seed)), o.Entries, o.FaultWindow)...)
	}
	return sorted(faults)
}

// drawStops returns the stopKinds for each entry.
func drawStops(random *rand.Rand, entries int, window lovageshift.Millis) []Fault {
	var faults []Fault
	for number := range entries {
		for _, kind := range stopKinds {
			fault := drawFault(random, kind, window)
			fault.Subject = number
			faults = append(faults, fault)
		}
	}
	return faults
}

// sorted sorts faults in place by their start and returns them.
func sorted(faults []Fault) []Fault {
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Start < faults[j].Start })
	return faults
}

// drawEach returns a fault of each of the kinds for about half of the seeds.
func drawEach(kinds []Kind, random *rand.Rand, window lovageshift.Millis) []Fault {
	var faults []Fault
	for _, kind := range kinds {
		if random.IntN(2) == 0 {
			faults = append(faults, drawFault(random, kind, window))
		}
	}
	return faults
}

func drawFault(random *rand.Rand, kind Kind, window lovageshift.Millis) Fault {
	return Fault{
		Kind:    kind,
		Start:   firstFaultMillis + lovageshift.Millis(random.Int64N(int64(window-firstFaultMillis))),
		Length:  faultMinMillis + lovageshift.Millis(random.Int64N(int64(faultMaxMillis-faultMinMillis))),
		Subject: random.IntN(choiceCount),
		Variant: random.IntN(choiceCount),
	}
}

func drawFaults(random *rand.Rand, window lovageshift.Millis) []Fault {
	maxFaults := fewFaults
	if random.IntN(2) == 0 {
		maxFaults = manyFaults
	}
	faults := make([]Fault, 1+random.IntN(maxFaults))
	for i := range faults {
		faults[i] = drawFault(random, allKinds[random.IntN(len(allKinds))], window)
		if i > 0 && random.IntN(repeatOneIn) == 0 {
			faults[i].Kind = faults[i-1].Kind
		}
	}
	return faults
}
