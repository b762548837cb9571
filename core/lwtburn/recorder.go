package lwtburn

import (
	"cmp"
	"slices"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// BudgetKey says whose budget a request counts against.
type BudgetKey struct {
	Class  lwtdeclaredstate.Class `json:"class"`
	Caller string                 `json:"caller"`
}

// FinishedRequest is the end of one request.
type FinishedRequest struct {
	Key     BudgetKey
	Outcome Outcome
	// Engine served the request; empty when none did.
	Engine string
	// Revision is the state that was in force.
	Revision int64
}

// Resolution and reach of the two rings that hold the counts of a key.
const (
	fineStep    = time.Minute
	fineSlots   = 60
	coarseStep  = time.Hour
	coarseSlots = 72
)

// Recorder holds the recent counts of one daemon. It keeps a minute's resolution
// for an hour and an hour's resolution for three days, 132 slots for each key.
// It is changed in place by its single owner.
type Recorder struct {
	daemon string
	keys   map[BudgetKey]*rings
	blame  map[cause]*ring
}

type rings struct {
	fine   ring
	coarse ring
}

type cause struct {
	engine string
	number int64
}

// New returns the empty ledger of a daemon.
func New(daemon string) *Recorder {
	return &Recorder{daemon: daemon, keys: map[BudgetKey]*rings{}, blame: map[cause]*ring{}}
}

// Add counts an event.
func (ledger *Recorder) Add(now time.Time, event FinishedRequest) {
	key, found := ledger.keys[event.Key]
	if !found {
		key = &rings{fine: newRing(fineStep, fineSlots), coarse: newRing(coarseStep, coarseSlots)}
		ledger.keys[event.Key] = key
	}
	key.fine.add(now, event.Outcome)
	key.coarse.add(now, event.Outcome)
	if event.Outcome != OutcomeGood {
		ledger.addCause(now, event)
	}
}

func (ledger *Recorder) addCause(now time.Time, event FinishedRequest) {
	cause := cause{engine: event.Engine, number: event.Revision}
	blamed, found := ledger.blame[cause]
	if !found {
		ledger.dropOldCauses(now)
		fresh := newRing(coarseStep, causeSlots)
		blamed = &fresh
		ledger.blame[cause] = blamed
	}
	blamed.add(now, event.Outcome)
}

// causeSlots is the number of hours for which causes are kept.
const causeSlots = 24

func (ledger *Recorder) dropOldCauses(now time.Time) {
	for cause, ring := range ledger.blame {
		if ring.sum(now, causeSlots*coarseStep).Total() == 0 {
			delete(ledger.blame, cause)
		}
	}
}

// Windows are the spans over which burn is measured, shortest first.
func Windows() []time.Duration {
	return []time.Duration{
		5 * time.Minute, 30 * time.Minute, time.Hour, 2 * time.Hour, 6 * time.Hour, 24 * time.Hour, 72 * time.Hour,
	}
}

// Snapshot returns the counts of all windows at a time, ordered by key.
func (ledger *Recorder) Snapshot(now time.Time) Snapshot {
	snapshot := Snapshot{Daemons: []string{ledger.daemon}}
	for key, rings := range ledger.keys {
		row := Row{Key: key}
		for _, window := range Windows() {
			row.Counts = append(row.Counts, rings.sum(now, window))
		}
		snapshot.Rows = append(snapshot.Rows, row)
	}
	for cause, ring := range ledger.blame {
		counts := ring.sum(now, causeSlots*coarseStep)
		if counts.Total() > 0 {
			snapshot.Causes = append(snapshot.Causes,
				Cause{Daemon: ledger.daemon, Engine: cause.engine, Revision: cause.number, Counts: counts})
		}
	}
	return snapshot.sorted()
}

func (rings *rings) sum(now time.Time, window time.Duration) Counts {
	if window <= fineStep*fineSlots {
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
