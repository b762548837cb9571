package lwtticket_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtticket"
)

// submitInput is the input of one operation of a history.
type submitInput struct {
	base    int64
	objects []string
}

// register is the sequential specification of tickets: the current revision, and
// the revision that last modified each object.
type register struct {
	revision     int64
	modRevisions map[string]int64
}

func (register register) findConflict(input submitInput) (string, bool) {
	for _, object := range input.objects {
		if register.modRevisions[object] > input.base {
			return object, true
		}
	}
	return "", false
}

func (register register) apply(input submitInput) register {
	next := newRegister()
	next.revision = register.revision + 1
	maps.Copy(next.modRevisions, register.modRevisions)
	for _, object := range input.objects {
		next.modRevisions[object] = next.revision
	}
	return next
}

func newRegister() register { return register{modRevisions: map[string]int64{}} }

var ticketModel = porcupine.Model{
	Init: func() any { return newRegister() },
	Step: func(state, input, output any) (bool, any) {
		register, submitted, result := state.(register), input.(submitInput), output.(lwtticket.Result)
		object, conflicts := register.findConflict(submitted)
		switch {
		case result.Outcome == lwtticket.OutcomeAccepted:
			return !conflicts && submitted.base <= register.revision && result.Revision == register.revision+1,
				register.apply(submitted)
		case result.Conflict != nil:
			id := lwtdeclaredstate.NewObjectID(lwtdeclaredstate.KindService, object)
			return conflicts && result.Conflict.Object == id && result.Conflict.Revision == register.modRevisions[object],
				register
		default:
			return submitted.base > register.revision, register
		}
	},
	Equal: func(a, b any) bool {
		first, second := a.(register), b.(register)
		return first.revision == second.revision && maps.Equal(first.modRevisions, second.modRevisions)
	},
}

// TestHistoriesAreLinearizable guards against concurrent tickets that overwrite
// each other, take effect twice, or are reported with a wrong outcome. Operators
// submit concurrently in virtual time while responses are lost, transactions
// arrive late and the store fails.
func TestHistoriesAreLinearizable(t *testing.T) {
	outcomes := map[string]int{}
	for seed := range uint64(300) {
		history := newHistory(seed)
		history.run(60)
		operations := history.porcupineOperations(t)
		for _, operation := range operations {
			outcomes[outcomeKind(operation.Output.(lwtticket.Result))]++
		}
		if !porcupine.CheckOperations(ticketModel, operations) {
			t.Fatalf("seed %d: not linearizable: %+v", seed, operations)
		}
	}
	t.Log(outcomes)
	for _, kind := range []string{"accepted", "conflict", "problems"} {
		if outcomes[kind] == 0 {
			t.Errorf("no operation ended as %s", kind)
		}
	}
}

func outcomeKind(result lwtticket.Result) string {
	switch {
	case result.Outcome == lwtticket.OutcomeAccepted:
		return "accepted"
	case result.Conflict != nil:
		return "conflict"
	default:
		return "problems"
	}
}

// historyEntry is one operation. The times called and returned are values of the
// history's clock.
type historyEntry struct {
	client   int
	input    submitInput
	writeID  string
	operator *operator
	called   int64
	returned int64
}

type history struct {
	rng         *rand.Rand
	store       *store
	entries     []*historyEntry
	clock       int64
	knownStates []lwtdeclaredstate.State
}

func newHistory(seed uint64) *history {
	return &history{
		rng: rand.New(rand.NewPCG(seed, 1)), store: newStore(), knownStates: []lwtdeclaredstate.State{lwtdeclaredstate.New()},
	}
}

// run lets five operators submit tickets until the given number of submissions
// has started, and then until all have ended.
func (history *history) run(submissions int) {
	const clients = 5
	active := make([]*historyEntry, clients)
	for len(history.entries) < submissions ||
		slices.ContainsFunc(active, func(entry *historyEntry) bool { return entry != nil }) {
		history.clock++
		history.injectFaults(len(history.entries) >= submissions)
		client := history.rng.IntN(clients)
		switch {
		case active[client] != nil:
			if history.stepOperation(active[client]) {
				active[client] = nil
			}
		case len(history.entries) < submissions:
			active[client] = history.beginOperation(client)
		}
	}
	history.store.deliverDelayedCommits()
}

// injectFaults randomly changes the faults of the store, delivers delayed
// commits and records the current state as one that operators may submit from.
func (history *history) injectFaults(ending bool) {
	roll := history.rng.IntN(100)
	history.store.losesResponses = roll < 8
	switch {
	case ending:
		history.store.unavailable = false
	case roll > 97:
		history.store.unavailable = !history.store.unavailable
	}
	if history.rng.IntN(10) == 0 {
		history.store.deliverDelayedCommits()
	}
	if history.rng.IntN(5) == 0 {
		history.knownStates = append(history.knownStates, history.store.state())
	}
}

func (history *history) now() time.Time {
	return epoch.Add(time.Duration(history.clock) * 100 * time.Millisecond)
}

func (history *history) beginOperation(client int) *historyEntry {
	knownState := history.knownStates[history.rng.IntN(len(history.knownStates))]
	input := submitInput{base: knownState.Revision}
	if history.rng.IntN(20) == 0 {
		input.base += 5
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		if history.rng.IntN(3) == 0 {
			input.objects = append(input.objects, name)
		}
	}
	if len(input.objects) == 0 {
		input.objects = []string{"a"}
	}
	entry := &historyEntry{
		client: client, input: input, writeID: fmt.Sprintf("w%d", len(history.entries)), called: history.clock,
	}
	entry.operator = newOperator(history.now(), lwtticket.Request{
		WriteID: entry.writeID, Ticket: serviceTicket(input.base, input.objects...),
		Deadline: history.now().Add(2 * time.Second),
	}, knownState)
	history.entries = append(history.entries, entry)
	return entry
}

// stepOperation executes the next step of an operation and reports whether the
// operation has ended.
func (history *history) stepOperation(entry *historyEntry) bool {
	if history.rng.IntN(25) == 0 {
		entry.operator.timeOut(history.now(), history.store)
	} else {
		entry.operator.step(history.now(), history.store)
	}
	entry.returned = history.clock
	return entry.operator.result != nil
}

// porcupineOperations returns the history for the linearizability check. An
// operation with an unknown outcome counts as accepted if its write id has a row
// at the end; it may have taken effect at any time. A refused operation must have
// had no effect. Operations without effect that failed because of the store are
// left out.
func (history *history) porcupineOperations(t *testing.T) []porcupine.Operation {
	t.Helper()
	var operations []porcupine.Operation
	for _, entry := range history.entries {
		result, returned := *entry.operator.result, entry.returned
		record := history.store.idempotencyRecord(entry.writeID)
		if result.Outcome == lwtticket.OutcomeUnknown && record != nil {
			result, returned = lwtticket.Result{Outcome: lwtticket.OutcomeAccepted, Revision: record.Revision}, history.clock+1
		}
		if result.Outcome == lwtticket.OutcomeRefused && record != nil {
			t.Fatalf("%s was refused (%s) but took effect as revision %d", entry.writeID, result.Reason, record.Revision)
		}
		if result.Outcome == lwtticket.OutcomeUnknown || result.StoreUnavailable {
			continue
		}
		operations = append(operations, porcupine.Operation{
			ClientId: entry.client, Input: entry.input, Output: result, Call: 2 * entry.called, Return: 2*returned + 1,
		})
	}
	return operations
}

// String formats the input for failure messages.
func (submitted submitInput) String() string {
	return fmt.Sprintf("base %d: %s", submitted.base, strings.Join(submitted.objects, " "))
}
