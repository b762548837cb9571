package lwtclaim

import "time"

type phase int

const (
	// opening: the open row is queued or being written.
	opening phase = iota
	// running: the open row is written; the request runs.
	running
	// finishing: the done row is queued or being written.
	finishing
	// abandoning: the request was answered not-run; the released row is queued
	// or being written. It also stops an open row whose write is still on its
	// way, because that write's condition then fails.
	abandoning
)

// claim is one key that this daemon works on.
type claim struct {
	key     string
	nonce   string
	hash    string
	phase   phase
	opened  time.Time
	giveUp  time.Time
	outcome Response
	// version is the version of the row that the next write replaces.
	version int64
	// sent says that a batch with the claim was sent; only then can the table
	// hold a row of it.
	sent     bool
	inFlight bool
}

func (claim claim) state() State {
	switch claim.phase {
	case finishing:
		return StateDone
	case abandoning:
		return StateReleased
	}
	return StateOpen
}

func (claim claim) write(daemon string) Write {
	row := Row{
		Nonce: claim.nonce, Daemon: daemon, RequestHash: claim.hash, State: claim.state(), Opened: claim.opened,
	}
	if claim.phase == finishing {
		row.Response = &claim.outcome
	}
	return Write{Key: claim.key, Version: claim.version, Row: row}
}

// ruling is what a row in the table means for a claim that tried to write it.
type ruling int

const (
	// again: write on condition of the row's version.
	again ruling = iota
	// won: the row is the claim's own open row.
	won
	// over: nothing is left to write.
	over
	// lost: the row belongs to another request.
	lost
)

func (claim claim) judge(now time.Time, stored StoredRow) ruling {
	switch {
	case stored.Version == claim.version:
		return again
	case stored.Version != 0 && stored.Row.Nonce == claim.nonce:
		return claim.judgeOwn(stored.Row)
	case claim.phase != opening:
		return over
	case stored.Version == 0, stored.Row.State == StateReleased, stored.Row.Expired(now):
		return again
	}
	return lost
}

func (claim claim) judgeOwn(row Row) ruling {
	switch {
	case row.State == claim.state() && claim.phase != opening:
		return over
	case row.State == StateOpen && claim.phase == opening:
		return won
	}
	return again
}

// verdict returns the answer to a request that lost its key to a row.
func (claim claim) verdict(row Row) OpenResult {
	answer := OpenResult{Key: claim.key, Nonce: claim.nonce, Decision: InProgress}
	switch {
	case row.RequestHash != claim.hash && row.RequestHash != "":
		answer.Decision = Mismatch
	case row.State == StateDone && row.Response != nil:
		answer.Decision, answer.Response = Replay, *row.Response
	}
	return answer
}
