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

// TestMain fixes rapid's seed, so that each run has the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// naive is the plainest version of the ticket history: one holder of a single
// lock who applies whole tickets one after the other.
type naive struct {
	register register
	services map[string]lwtdeclaredstate.Service
	done     map[string]lwtticket.Result
}

func (naive *naive) submit(writeID string, ticket lwtticket.Ticket) lwtticket.Result {
	if result, found := naive.done[writeID]; found {
		return result
	}
	input := submitted{base: ticket.BaseRevision}
	for _, service := range ticket.Services {
		input.objects = append(input.objects, service.Name)
	}
	if object, conflicts := naive.register.conflict(input); conflicts && input.base <= naive.register.number {
		id := lwtdeclaredstate.NewObjectID(lwtdeclaredstate.KindService, object)
		return lwtticket.Result{Outcome: lwtticket.OutcomeRefused, Conflict: &lwtticket.Conflict{Object: id, Revision: naive.register.changed[object]}}
	}
	if input.base > naive.register.number {
		return lwtticket.Result{Outcome: lwtticket.OutcomeRefused}
	}
	naive.register = naive.register.with(input)
	for _, service := range ticket.Services {
		naive.services[service.Name] = service
	}
	result := lwtticket.Result{Outcome: lwtticket.OutcomeAccepted, Revision: naive.register.number}
	naive.done[writeID] = result
	return result
}

// TestSubmissionAgreesWithASingleLock guards against outcomes, numbers and
// states that differ from those of a history under one lock, over lost answers,
// repeated submissions, old states held and snapshots.
func TestSubmissionAgreesWithASingleLock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, held := newStore(), []lwtdeclaredstate.State{lwtdeclaredstate.New()}
		naive := naive{newRegister(), map[string]lwtdeclaredstate.Service{}, map[string]lwtticket.Result{}}
		steps := rapid.IntRange(1, 90).Draw(t, "steps")
		for step := range steps {
			from := rapid.SampledFrom(held).Draw(t, "held")
			ticket := drawTicket(t, from.Revision, step)
			// A repetition sends the same ticket under the same write id.
			repeats := 1 + rapid.IntRange(0, 1).Draw(t, "repetitions")
			for range repeats {
				writeID := fmt.Sprint(step)
				got := submitWithLoss(t, store, from, writeID, ticket)
				want := naive.submit(writeID, ticket)
				if got.Outcome != want.Outcome || got.Revision != want.Revision || !reflect.DeepEqual(got.Conflict, want.Conflict) {
					t.Fatalf("step %d: got %+v, want %+v", step, got, want)
				}
			}
			held = append(held, store.state())
		}
		state := store.state()
		if len(state.Services) != len(naive.services) || len(state.Services) > 0 && !reflect.DeepEqual(state.Services, naive.services) {
			t.Fatalf("services %v, want %v", state.Services, naive.services)
		}
	})
}

func drawTicket(t *rapid.T, number int64, step int) lwtticket.Ticket {
	base := max(number-rapid.Int64Range(0, 2).Draw(t, "older"), 0)
	if rapid.IntRange(0, 15).Draw(t, "ahead") == 0 {
		base = number + 100
	}
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 1, 3, rapid.ID).Draw(t, "objects")
	ticket := modelTicket(base, names...)
	for i := range ticket.Services {
		ticket.Services[i].Timeout = lwtdeclaredstate.Duration(time.Duration(step+1) * time.Second)
	}
	return ticket
}

// submitWithLoss runs a submission in which up to two answers are lost.
func submitWithLoss(t *rapid.T, store *store, held lwtdeclaredstate.State, writeID string, ticket lwtticket.Ticket) lwtticket.Result {
	operator := newOperator(epoch, lwtticket.Request{
		WriteID: writeID, Ticket: ticket, Deadline: epoch.Add(time.Hour),
	}, held)
	losses := rapid.IntRange(0, 2).Draw(t, "losses")
	for operator.result == nil {
		store.mute = losses > 0 && rapid.Bool().Draw(t, "lose")
		if store.mute {
			losses--
		}
		operator.step(epoch, store)
	}
	store.mute = false
	return *operator.result
}
