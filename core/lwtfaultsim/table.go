package lwtfaultsim

import (
	"time"

	"lacewingtide/core/lwtclaim"
)

// Bounds of the one-way latency to the table and between daemons.
const (
	minTableLatency = time.Millisecond
	maxTableLatency = 4 * time.Millisecond
	minHopLatency   = 200 * time.Microsecond
	maxHopLatency   = 1200 * time.Microsecond
	// platformTimeout is how long a daemon waits for a response of the table.
	platformTimeout = 2 * time.Second
)

// table is a transactional table that loses responses and has outages.
type table struct {
	rows        map[string]lwtclaim.StoredRow
	version     int64
	commits     int
	outageUntil time.Time
}

// sendBatch delivers a batch to the table and the response back. The batch or its
// response may be lost, and a batch whose response was lost may be applied seconds
// later.
func (simulation *simulation) sendBatch(cmd lwtclaim.Commit, reply func(lwtclaim.Msg)) {
	faultRate := simulation.experiment.FaultRate
	simulation.table.commits++
	requestDelay, responseDelay := simulation.between(minTableLatency, maxTableLatency),
		simulation.between(minTableLatency, maxTableLatency)
	if simulation.chance(faultRate / 20) {
		// A slow response: the deadlines of requests pass while their batch is in
		// flight.
		requestDelay, responseDelay = simulation.between(0, 2*platformTimeout), simulation.between(0, 2*platformTimeout)
	}
	if simulation.chance(faultRate / 2000) {
		simulation.table.outageUntil = simulation.now.Add(simulation.between(time.Second, 10*time.Second))
	}
	lost := simulation.now.Before(simulation.table.outageUntil) || simulation.chance(faultRate)
	if lost && simulation.chance(0.3) {
		requestDelay = simulation.between(minTableLatency, 3*platformTimeout)
	}
	if !lost || simulation.chance(0.5) {
		simulation.after(requestDelay, func() {
			msg := simulation.table.apply(cmd)
			if !lost {
				simulation.after(responseDelay, func() { reply(msg) })
			}
		})
	}
	if lost {
		simulation.after(simulation.between(minTableLatency, platformTimeout), func() {
			reply(lwtclaim.CommitUnknown{Batch: cmd.Batch})
		})
	}
}

func (table *table) apply(cmd lwtclaim.Commit) lwtclaim.Msg {
	conflicted := lwtclaim.Conflicted{Batch: cmd.Batch}
	conflict := false
	for _, write := range cmd.Writes {
		stored := table.rows[write.Key]
		stored.Key = write.Key
		conflicted.Rows = append(conflicted.Rows, stored)
		conflict = conflict || stored.Version != write.Version
	}
	if conflict {
		return conflicted
	}
	table.version++
	for _, write := range cmd.Writes {
		table.rows[write.Key] = lwtclaim.StoredRow{Key: write.Key, Version: table.version, Row: write.Row}
	}
	return lwtclaim.Committed{Batch: cmd.Batch, Version: table.version}
}
