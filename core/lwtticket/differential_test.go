package lwtticket_test

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtticket"
)

// TestMain sets a fixed rapid seed, so that the tests are deterministic.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// naive is the reference implementation of the ticket history: it applies one
// ticket at a time, as if under a single lock.
type naive struct {
	register register
	services map[string]lwtdeclaredstate.Service
	results  map[string]lwtticket.Result
}

func (naive *naive) submit(writeID string, ticket lwtticket.Ticket) lwtticket.Result {
	if result, found := naive.results[writeID]; found {
		return result
	}
	input := submitInput{base: ticket.BaseRevision}
	for _, service := range ticket.Services {
		input.objects = append(input.objects, service.Name)
	}
	if object, conflicts := naive.register.findConflict(input); conflicts && input.base <= naive.register.revision {
		id := lwtdeclaredstate.NewObjectID(lwtdeclaredstate.KindService, object)
		return lwtticket.Result{
			Outcome:  lwtticket.OutcomeRefused,
			Conflict: &lwtticket.Conflict{Object: id, Revision: naive.register.modRevisions[object]},
		}
	}
	if input.base > naive.register.revision {
		return lwtticket.Result{Outcome: lwtticket.OutcomeRefused}
	}
	naive.register = naive.register.apply(input)
	for _, service := range ticket.Services {
		naive.services[service.Name] = service
	}
	result := lwtticket.Result{Outcome: lwtticket.OutcomeAccepted, Revision: naive.register.revision}
	naive.results[writeID] = result
	return result
}

// TestSubmissionAgreesWithASingleLock guards against outcomes, revisions and
// states that differ from those of the naive version when responses are lost,
// tickets are resubmitted, the submitter's state is old, and snapshots are read.
func TestSubmissionAgreesWithASingleLock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, knownStates := newStore(), []lwtdeclaredstate.State{lwtdeclaredstate.New()}
		naive := naive{newRegister(), map[string]lwtdeclaredstate.Service{}, map[string]lwtticket.Result{}}
		steps := rapid.IntRange(1, 90).Draw(t, "steps")
		for step := range steps {
			from := rapid.SampledFrom(knownStates).Draw(t, "held")
			ticket := drawTicket(t, from.Revision, step)
			// A resubmission sends the same ticket under the same write id.
			submissions := 1 + rapid.IntRange(0, 1).Draw(t, "repetitions")
			for range submissions {
				writeID := fmt.Sprint(step)
				got := submitWithLoss(t, store, from, writeID, ticket)
				want := naive.submit(writeID, ticket)
				if got.Outcome != want.Outcome || got.Revision != want.Revision || !reflect.DeepEqual(got.Conflict, want.Conflict) {
					t.Fatalf("step %d: got %+v, want %+v", step, got, want)
				}
			}
			knownStates = append(knownStates, store.state())
		}
		state := store.state()
		if len(state.Services) != len(naive.services) ||
			len(state.Services) > 0 && !reflect.DeepEqual(state.Services, naive.services) {
			t.Fatalf("services %v, want %v", state.Services, naive.services)
		}
	})
}

func drawTicket(t *rapid.T, revision int64, step int) lwtticket.Ticket {
	base := max(revision-rapid.Int64Range(0, 2).Draw(t, "older"), 0)
	if rapid.IntRange(0, 15).Draw(t, "ahead") == 0 {
		base = revision + 100
	}
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 1, 3, rapid.ID).
		Draw(t, "objects")
	ticket := serviceTicket(base, names...)
	for i := range ticket.Services {
		ticket.Services[i].Timeout = lwtdeclaredstate.Duration(time.Duration(step+1) * time.Second)
	}
	return ticket
}

// submitWithLoss runs a submission in which up to two responses are lost.
func submitWithLoss(
	t *rapid.T, store *store, knownState lwtdeclaredstate.State, writeID string, ticket lwtticket.Ticket,
) lwtticket.Result {
	operator := newOperator(epoch, lwtticket.Request{
		WriteID: writeID, Ticket: ticket, Deadline: epoch.Add(time.Hour),
	}, knownState)
	losses := rapid.IntRange(0, 2).Draw(t, "losses")
	for operator.result == nil {
		store.losesResponses = losses > 0 && rapid.Bool().Draw(t, "lose")
		if store.losesResponses {
			losses--
		}
		operator.step(epoch, store)
	}
	store.losesResponses = false
	return *operator.result
}
