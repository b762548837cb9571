package lwtfaultsim

import (
	"time"

	"lacewingtide/core/lwtclaim"
)

// The latency of the table in one direction, and of a hop between daemons.
const (
	tableLeast = time.Millisecond
	tableMost  = 4 * time.Millisecond
	hopLeast   = 200 * time.Microsecond
	hopMost    = 1200 * time.Microsecond
	// platformTimeout is when a daemon gives up an answer of the table.
	platformTimeout = 2 * time.Second
)

// table is a transactional table that loses answers and has outages.
type table struct {
	rows    map[string]lwtclaim.StoredRow
	version int64
	commits int
	outage  time.Time
}

// send carries a batch to the table and the answer back. The batch or its
// answer may be lost, and a batch whose answer was lost may be applied seconds
// later.
func (world *world) send(cmd lwtclaim.Commit, answer func(lwtclaim.Msg)) {
	faults := world.experiment.FaultRate
	world.table.commits++
	there, back := world.between(tableLeast, tableMost), world.between(tableLeast, tableMost)
	if world.chance(faults / 20) {
		// A slow answer: requests give up while their batch is on its way.
		there, back = world.between(0, 2*platformTimeout), world.between(0, 2*platformTimeout)
	}
	if world.chance(faults / 2000) {
		world.table.outage = world.now.Add(world.between(time.Second, 10*time.Second))
	}
	lost := world.now.Before(world.table.outage) || world.chance(faults)
	if lost && world.chance(0.3) {
		there = world.between(tableLeast, 3*platformTimeout)
	}
	if !lost || world.chance(0.5) {
		world.after(there, func() {
			msg := world.table.apply(cmd)
			if !lost {
				world.after(back, func() { answer(msg) })
			}
		})
	}
	if lost {
		world.after(world.between(tableLeast, platformTimeout), func() { answer(lwtclaim.CommitUnknown{Batch: cmd.Batch}) })
	}
}

func (table *table) apply(cmd lwtclaim.Commit) lwtclaim.Msg {
	held := lwtclaim.Conflicted{Batch: cmd.Batch}
	conflict := false
	for _, write := range cmd.Writes {
		stored := table.rows[write.Key]
		stored.Key = write.Key
		held.Rows = append(held.Rows, stored)
		conflict = conflict || stored.Version != write.Version
	}
	if conflict {
		return held
	}
	table.version++
	for _, write := range cmd.Writes {
		table.rows[write.Key] = lwtclaim.StoredRow{Key: write.Key, Version: table.version, Row: write.Row}
	}
	return lwtclaim.Committed{Batch: cmd.Batch, Version: table.version}
}
