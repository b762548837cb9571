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

// submitted is the input of one operation of a history.
type submitted struct {
	base    int64
	objects []string
}

// register is the sequential meaning of tickets: a number, and the ticket that
// changed each object last.
type register struct {
	number  int64
	changed map[string]int64
}

func (register register) conflict(input submitted) (string, bool) {
	for _, object := range input.objects {
		if register.changed[object] > input.base {
			return object, true
		}
	}
	return "", false
}

func (register register) with(input submitted) register {
	next := newRegister()
	next.number = register.number + 1
	maps.Copy(next.changed, register.changed)
	for _, object := range input.objects {
		next.changed[object] = next.number
	}
	return next
}

func newRegister() register { return register{changed: map[string]int64{}} }

var ticketModel = porcupine.Model{
	Init: func() any { return newRegister() },
	Step: func(state, input, output any) (bool, any) {
		register, submitted, result := state.(register), input.(submitted), output.(lwtticket.Result)
		object, conflicts := register.conflict(submitted)
		switch {
		case result.Outcome == lwtticket.OutcomeAccepted:
			return !conflicts && submitted.base <= register.number && result.Revision == register.number+1, register.with(submitted)
		case result.Conflict != nil:
			id := lwtdeclaredstate.NewObjectID(lwtdeclaredstate.KindService, object)
			return conflicts && result.Conflict.Object == id && result.Conflict.Revision == register.changed[object], register
		default:
			return submitted.base > register.number, register
		}
	},
	Equal: func(a, b any) bool {
		first, second := a.(register), b.(register)
		return first.number == second.number && maps.Equal(first.changed, second.changed)
	},
}

// TestHistoriesAreLinearizable guards against concurrent tickets that overwrite
// each other, take effect twice, or are reported otherwise than they ended.
// Operators work at once in the tests' own time while answers are lost,
// transactions arrive late and the store fails.
func TestHistoriesAreLinearizable(t *testing.T) {
	outcomes := map[string]int{}
	for seed := range uint64(300) {
		history := newHistory(seed)
		history.play(60)
		operations := history.operations(t)
		for _, operation := range operations {
			outcomes[kindOf(operation.Output.(lwtticket.Result))]++
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

func kindOf(result lwtticket.Result) string {
	switch {
	case result.Outcome == lwtticket.OutcomeAccepted:
		return "accepted"
	case result.Conflict != nil:
		return "conflict"
	default:
		return "problems"
	}
}

// entry is one operation on its way.
type entry struct {
	client   int
	input    submitted
	writeID  string
	operator *operator
	call     int64
	back     int64
}

type history struct {
	random  *rand.Rand
	store   *store
	entries []*entry
	clock   int64
	held    []lwtdeclaredstate.State
}

func newHistory(seed uint64) *history {
	return &history{random: rand.New(rand.NewPCG(seed, 1)), store: newStore(), held: []lwtdeclaredstate.State{lwtdeclaredstate.New()}}
}

// play lets five operators submit tickets until a number of them were begun,
// then lets all end.
func (history *history) play(submissions int) {
	const clients = 5
	active := make([]*entry, clients)
	for len(history.entries) < submissions || slices.ContainsFunc(active, func(entry *entry) bool { return entry != nil }) {
		history.clock++
		history.disturb(len(history.entries) >= submissions)
		client := history.random.IntN(clients)
		switch {
		case active[client] != nil:
			if history.step(active[client]) {
				active[client] = nil
			}
		case len(history.entries) < submissions:
			active[client] = history.begin(client)
		}
	}
	history.store.arrive()
}

// disturb changes how the store fails.
func (history *history) disturb(ending bool) {
	roll := history.random.IntN(100)
	history.store.mute = roll < 8
	switch {
	case ending:
		history.store.down = false
	case roll > 97:
		history.store.down = !history.store.down
	}
	if history.random.IntN(10) == 0 {
		history.store.arrive()
	}
	if history.random.IntN(5) == 0 {
		history.held = append(history.held, history.store.state())
	}
}

func (history *history) now() time.Time {
	return epoch.Add(time.Duration(history.clock) * 100 * time.Millisecond)
}

func (history *history) begin(client int) *entry {
	held := history.held[history.random.IntN(len(history.held))]
	input := submitted{base: held.Revision}
	if history.random.IntN(20) == 0 {
		input.base += 5
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		if history.random.IntN(3) == 0 {
			input.objects = append(input.objects, name)
		}
	}
	if len(input.objects) == 0 {
		input.objects = []string{"a"}
	}
	entry := &entry{client: client, input: input, writeID: fmt.Sprintf("w%d", len(history.entries)), call: history.clock}
	entry.operator = newOperator(history.now(), lwtticket.Request{
		WriteID: entry.writeID, Ticket: modelTicket(input.base, input.objects...), Deadline: history.now().Add(2 * time.Second),
	}, held)
	history.entries = append(history.entries, entry)
	return entry
}

// step moves an operation on and reports whether it ended.
func (history *history) step(entry *entry) bool {
	if history.random.IntN(25) == 0 {
		entry.operator.giveUp(history.now(), history.store)
	} else {
		entry.operator.step(history.now(), history.store)
	}
	entry.back = history.clock
	return entry.operator.result != nil
}

// operations returns the history. The outcome of an unknown operation is what
// its write id tells in the end; it may have taken effect at any time. An
// operation that the store's failure refused must have no effect.
func (history *history) operations(t *testing.T) []porcupine.Operation {
	t.Helper()
	var operations []porcupine.Operation
	for _, entry := range history.entries {
		result, back := *entry.operator.result, entry.back
		write := history.store.write(entry.writeID)
		if result.Outcome == lwtticket.OutcomeUnknown && write != nil {
			result, back = lwtticket.Result{Outcome: lwtticket.OutcomeAccepted, Revision: write.Revision}, history.clock+1
		}
		if result.Outcome == lwtticket.OutcomeRefused && write != nil {
			t.Fatalf("%s was refused (%s) and took effect as %d", entry.writeID, result.Reason, write.Revision)
		}
		if result.Outcome == lwtticket.OutcomeUnknown || result.StoreUnavailable {
			continue
		}
		operations = append(operations, porcupine.Operation{
			ClientId: entry.client, Input: entry.input, Output: result, Call: 2 * entry.call, Return: 2*back + 1,
		})
	}
	return operations
}

// String shows an input in the report of a failure.
func (submitted submitted) String() string {
	return fmt.Sprintf("base %d: %s", submitted.base, strings.Join(submitted.objects, " "))
}
