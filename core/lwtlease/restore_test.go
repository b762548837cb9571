package lwtlease_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"lacewingtide/core/lwtlease"
)

// simulatedStore holds a lease row and comes back from older copies of it.
type simulatedStore struct {
	row     lwtlease.Row
	version int64
	era     int64
	// ended holds the eras that a commit has marked as ended.
	ended map[int64]bool
	// copies holds the store of each step, oldest first.
	copies []simulatedStore
}

func (store *simulatedStore) read() lwtlease.Row {
	row := store.row
	row.StoreEra = store.era
	return row
}

func (store *simulatedStore) commit(commit lwtlease.Commit) (row lwtlease.Row, conflict bool) {
	if commit.Version != store.row.Version || store.ended[commit.Row.Era] {
		return store.read(), true
	}
	store.ended = maps.Clone(store.ended)
	for _, era := range commit.EndedEras() {
		store.ended[era] = true
	}
	store.version++
	store.row = commit.Row
	store.row.Version = store.version
	return store.read(), false
}

// restore brings back the row of some steps ago. Versions are given out again from it.
func (store *simulatedStore) restore(steps int) {
	copied := store.copies[max(len(store.copies)-1-steps, 0)]
	store.row, store.version, store.ended = copied.row, copied.version, copied.ended
	store.era++
}

// leaseFleet is a set of daemons that compete for one lease, in virtual time.
type leaseFleet struct {
	now     time.Time
	random  *rand.Rand
	store   *simulatedStore
	names   []string
	models  []lwtlease.Model
	cutOff  []time.Time
	started int
	// granted holds the highest fencing number that was granted and to which process.
	granted int64
	holder  string
}

const leaseStep = lwtlease.TickInterval

func newLeaseFleet(seed uint64, daemons int) *leaseFleet {
	fleet := &leaseFleet{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), store: &simulatedStore{era: 1, ended: map[int64]bool{}},
		names: make([]string, daemons), models: make([]lwtlease.Model, daemons), cutOff: make([]time.Time, daemons),
	}
	for i := range daemons {
		fleet.start(i)
	}
	return fleet
}

// start starts or restarts a daemon.
func (fleet *leaseFleet) start(i int) {
	fleet.started++
	fleet.names[i] = fmt.Sprintf("d%d/%d", i, fleet.started)
	fleet.models[i] = lwtlease.New("g", fleet.names[i])
}

// step lets each daemon make a tick, and carries out its commands.
func (fleet *leaseFleet) step() {
	fleet.now = fleet.now.Add(leaseStep)
	for _, i := range fleet.random.Perm(len(fleet.models)) {
		fleet.update(i, lwtlease.SetMembers{Names: fleet.names})
		fleet.update(i, lwtlease.Tick{})
	}
	fleet.store.copies = append(fleet.store.copies, simulatedStore{
		row: fleet.store.row, version: fleet.store.version, ended: fleet.store.ended,
	})
}

func (fleet *leaseFleet) update(i int, msg lwtlease.Msg) {
	model, cmds := fleet.models[i].Update(fleet.now, msg)
	fleet.models[i] = model
	unreachable := fleet.now.Before(fleet.cutOff[i])
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case lwtlease.ReadRow:
			fleet.update(i, lwtlease.RowRead{RequestID: cmd.RequestID, Row: fleet.store.read(), Failed: unreachable})
		case lwtlease.Commit:
			result := lwtlease.CommitResult{RequestID: cmd.RequestID, Failed: unreachable}
			if !unreachable {
				result.Row, result.Conflict = fleet.store.commit(cmd)
			}
			fleet.update(i, result)
		}
	}
}

// check checks that one daemon at most holds the lease, under a fencing number of its own that is
// higher than all before.
func (fleet *leaseFleet) check(t *testing.T, seed uint64) {
	t.Helper()
	var holders []string
	for i, model := range fleet.models {
		lease := model.Lease()
		if !lease.Valid(fleet.now) {
			continue
		}
		holders = append(holders, fleet.names[i])
		if lease.Fencing < fleet.granted || lease.Fencing == fleet.granted && fleet.holder != fleet.names[i] {
			t.Fatalf("seed %d: %s holds the lease with fencing number %d after %s with %d",
				seed, fleet.names[i], lease.Fencing, fleet.holder, fleet.granted)
		}
		fleet.granted, fleet.holder = lease.Fencing, fleet.names[i]
	}
	if len(holders) > 1 {
		t.Fatalf("seed %d: %v hold the lease at once", seed, holders)
	}
}

// TestLeaseInRestoredStore guards against two holders, and fencing numbers that are given out twice, when the store comes back from an older copy.
func TestLeaseInRestoredStore(t *testing.T) {
	for seed := range uint64(500) {
		fleet := newLeaseFleet(seed, 2+int(seed%6))
		held, steps := 0, 0
		for range 600 {
			fleet.step()
			fleet.check(t, seed)
			steps++
			for _, model := range fleet.models {
				if model.Lease().Valid(fleet.now) {
					held++
				}
			}
			daemon := fleet.random.IntN(len(fleet.models))
			switch fleet.random.IntN(120) {
			case 0:
				fleet.start(daemon)
			case 1:
				fleet.cutOff[daemon] = fleet.now.Add(time.Duration(fleet.random.IntN(15)) * time.Second)
			case 2:
				fleet.update(daemon, lwtlease.Release{})
				fleet.start(daemon)
			case 3:
				fleet.store.restore(fleet.random.IntN(120))
			}
		}
		if held < steps/5 {
			t.Errorf("seed %d: a daemon holds the lease in %d of %d steps", seed, held, steps)
		}
	}
}
