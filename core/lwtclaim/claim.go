package lwtclaim

import "time"

type phase int

const (
	// phaseOpening means that the open row is queued or being written.
	phaseOpening phase = iota
	// phaseRunning means that the open row is written and the request runs.
	phaseRunning
	// phaseFinishing means that the done row is queued or being written.
	phaseFinishing
	// phaseReleasing means that the request did not run and that the released
	// row is queued or being written. The released row also makes the condition
	// fail for a write of the open row that is still in flight.
	phaseReleasing
)

// claim is the claim of one key by this daemon.
type claim struct {
	key      string
	nonce    string
	hash     string
	phase    phase
	opened   time.Time
	deadline time.Time
	response Response
	// version is the version of the row that the next write replaces.
	version int64
	// sent is set once a batch with the claim was sent. Before that, the table
	// cannot hold a row of the claim.
	sent     bool
	inFlight bool
}

func (claim claim) state() State {
	switch claim.phase {
	case phaseFinishing:
		return StateDone
	case phaseReleasing:
		return StateReleased
	}
	return StateOpen
}

func (claim claim) write(daemon string) Write {
	row := Row{
		Nonce: claim.nonce, Daemon: daemon, RequestHash: claim.hash, State: claim.state(), Opened: claim.opened,
	}
	if claim.phase == phaseFinishing {
		row.Response = &claim.response
	}
	return Write{Key: claim.key, Version: claim.version, Row: row}
}

// resolution says how a claim proceeds after a write that conflicted with a row in
// the table.
type resolution int

const (
	// resolveRetry writes again on condition of the row's version.
	resolveRetry resolution = iota
	// resolveWon means that the row is the claim's own open row.
	resolveWon
	// resolveSettled means that nothing is left to write.
	resolveSettled
	// resolveLost means that the row belongs to another request.
	resolveLost
)

func (claim claim) resolveConflict(now time.Time, stored StoredRow) resolution {
	switch {
	case stored.Version == claim.version:
		return resolveRetry
	case stored.Version != 0 && stored.Row.Nonce == claim.nonce:
		return claim.resolveOwnRow(stored.Row)
	case claim.phase != phaseOpening:
		return resolveSettled
	case stored.Version == 0, stored.Row.State == StateReleased, stored.Row.Expired(now):
		return resolveRetry
	}
	return resolveLost
}

func (claim claim) resolveOwnRow(row Row) resolution {
	switch {
	case row.State == claim.state() && claim.phase != phaseOpening:
		return resolveSettled
	case row.State == StateOpen && claim.phase == phaseOpening:
		return resolveWon
	}
	return resolveRetry
}

// openResult returns the result for a request whose key belongs to the given row
// of another request.
func (claim claim) openResult(row Row) OpenResult {
	result := OpenResult{Key: claim.key, Nonce: claim.nonce, Decision: InProgress}
	switch {
	case row.RequestHash != claim.hash && row.RequestHash != "":
		result.Decision = Mismatch
	case row.State == StateDone && row.Response != nil:
		result.Decision, result.Response = Replay, *row.Response
	}
	return result
}
