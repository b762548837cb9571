package lwtburn

import (
	"cmp"
	"slices"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// BudgetKey identifies an error budget. Each pair of a class and a caller has its
// own.
type BudgetKey struct {
	Class  lwtdeclaredstate.Class `json:"class"`
	Caller string                 `json:"caller"`
}

// FinishedRequest is the outcome of one request.
type FinishedRequest struct {
	Key     BudgetKey
	Outcome Outcome
	// Engine is the name of the engine that served the request; empty if none did.
	Engine string
	// Revision is that of the declared state that was active.
	Revision int64
}

// Slot durations and numbers of slots of the two rings that hold the counts of a
// key.
const (
	fineSlotDuration   = time.Minute
	fineSlots          = 60
	coarseSlotDuration = time.Hour
	coarseSlots        = 72
)

// Recorder counts the recent requests of one daemon by key and outcome. It keeps
// the counts per minute for an hour and per hour for three days, in 132 slots per
// key. It is not safe for concurrent use.
type Recorder struct {
	daemon string
	rings  map[BudgetKey]*countRings
	causes map[cause]*ring
}

type countRings struct {
	fine   ring
	coarse ring
}

type cause struct {
	engine   string
	revision int64
}

// New returns an empty Recorder for a daemon.
func New(daemon string) *Recorder {
	return &Recorder{daemon: daemon, rings: map[BudgetKey]*countRings{}, causes: map[cause]*ring{}}
}

// Add counts a finished request.
func (recorder *Recorder) Add(now time.Time, request FinishedRequest) {
	rings, found := recorder.rings[request.Key]
	if !found {
		rings = &countRings{fine: newRing(fineSlotDuration, fineSlots), coarse: newRing(coarseSlotDuration, coarseSlots)}
		recorder.rings[request.Key] = rings
	}
	rings.fine.add(now, request.Outcome)
	rings.coarse.add(now, request.Outcome)
	if request.Outcome != OutcomeGood {
		recorder.addToCause(now, request)
	}
}

func (recorder *Recorder) addToCause(now time.Time, request FinishedRequest) {
	cause := cause{engine: request.Engine, revision: request.Revision}
	counts, found := recorder.causes[cause]
	if !found {
		recorder.removeExpiredCauses(now)
		empty := newRing(coarseSlotDuration, causeSlots)
		counts = &empty
		recorder.causes[cause] = counts
	}
	counts.add(now, request.Outcome)
}

// causeSlots is the number of hours for which causes are kept.
const causeSlots = 24

func (recorder *Recorder) removeExpiredCauses(now time.Time) {
	for cause, ring := range recorder.causes {
		if ring.sum(now, causeSlots*coarseSlotDuration).Total() == 0 {
			delete(recorder.causes, cause)
		}
	}
}

// Windows returns the windows over which the burn rate is computed, shortest
// first.
func Windows() []time.Duration {
	return []time.Duration{
		5 * time.Minute, 30 * time.Minute, time.Hour, 2 * time.Hour, 6 * time.Hour, 24 * time.Hour, 72 * time.Hour,
	}
}

// Snapshot returns the counts of all windows that end at now, sorted by key, and
// the causes, sorted by the number of bad requests.
func (recorder *Recorder) Snapshot(now time.Time) Snapshot {
	snapshot := Snapshot{Daemons: []string{recorder.daemon}}
	for key, rings := range recorder.rings {
		row := Row{Key: key}
		for _, window := range Windows() {
			row.Counts = append(row.Counts, rings.sum(now, window))
		}
		snapshot.Rows = append(snapshot.Rows, row)
	}
	for cause, ring := range recorder.causes {
		counts := ring.sum(now, causeSlots*coarseSlotDuration)
		if counts.Total() > 0 {
			snapshot.Causes = append(snapshot.Causes,
				Cause{Daemon: recorder.daemon, Engine: cause.engine, Revision: cause.revision, Counts: counts})
		}
	}
	return snapshot.sorted()
}

func (rings *countRings) sum(now time.Time, window time.Duration) Counts {
	if window <= fineSlotDuration*fineSlots {
		return rings.fine.sum(now, window)
	}
	return rings.coarse.sum(now, window)
}

func (snapshot Snapshot) sorted() Snapshot {
	slices.SortFunc(snapshot.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Key.Class, b.Key.Class), cmp.Compare(a.Key.Caller, b.Key.Caller))
	})
	slices.SortFunc(snapshot.Causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Counts.Bad(), a.Counts.Bad()), cmp.Compare(a.Daemon, b.Daemon),
			cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Revision, b.Revision))
	})
	return snapshot
}
