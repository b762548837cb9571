package lwtgateway

import (
	"time"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/io/lwtlog"
	"lacewingtide/platform"
)

// returnedServerDelay is how long the entry of a server that had left must remain after it came
// back with an older copy of the store, until it counts. The store removes the entry of a server
// that has been silent for three heartbeats, which is sooner.
const returnedServerDelay = 5 * time.Second

// serverRowState is what a daemon has seen of the row of a server.
type serverRowState struct {
	// position is that of the newest row.
	position platform.Position
	// startTime is the start time of the server in its newest entry, or zero before the first.
	startTime time.Time
	// returnedAt is when the entry was first seen to have come back with an older copy of the
	// store, or zero.
	returnedAt time.Time
}

func (state serverRowState) withRow(row platform.Row) serverRowState {
	state.position, state.returnedAt = row.Position(), time.Time{}
	return state
}

func (state serverRowState) withEntry(server lwtdiscovery.Server) serverRowState {
	if server.StartTime.After(state.startTime) {
		state.startTime = server.StartTime
	}
	return state
}

// returnedWithCopy reports whether an entry in a read of all rows is that of a server that had
// left, and came back only because the store was restored from an older copy. After
// returnedServerDelay, it counts. The mutex of view must be held.
func (gateway *Gateway) returnedWithCopy(
	now time.Time, serverSet lwtdiscovery.ServerSet, row platform.Row, server lwtdiscovery.Server,
) bool {
	state := gateway.serverRows[row.Key]
	_, listed := serverSet.Server(row.Key)
	if listed || state.startTime.IsZero() || row.Era <= state.position.Era || server.StartTime.After(state.startTime) {
		return false
	}
	if state.returnedAt.IsZero() {
		state.returnedAt = now
		gateway.serverRows[row.Key] = state
		gateway.readReturnedAt = now.Add(returnedServerDelay)
		lwtlog.Info(gateway.logger, "server-returned-with-copy", "server", row.Key, "row-version", row.Version, "era", row.Era,
			"known", state.position.Version, "known-era", state.position.Era)
	}
	return now.Sub(state.returnedAt) < returnedServerDelay
}

// readReturnedServers requests another read of all servers when entries that came back with an
// older copy of the store count if they remain.
func (gateway *Gateway) readReturnedServers(now time.Time) {
	gateway.view.mutex.Lock()
	due := !gateway.readReturnedAt.IsZero() && !now.Before(gateway.readReturnedAt)
	if due {
		gateway.readReturnedAt = time.Time{}
	}
	gateway.view.mutex.Unlock()
	if tableFollower := gateway.serversFollower.Load(); due && tableFollower != nil {
		tableFollower.snapshotRequested.Store(true)
		tableFollower.readRequested.Store(true)
	}
}
