package lwtclaim

import (
	"maps"
	"slices"
	"time"
)

// Options holds the limits of a Model or a Collector.
type Options struct {
	// BatchWindow is the longest time that a write waits for others to share its
	// transaction.
	BatchWindow time.Duration
	// BatchSize bounds the writes in one transaction.
	BatchSize int
	// MaxInFlight bounds the transactions in flight.
	MaxInFlight int
	// MaxClaims bounds the claims that one daemon holds. A Collector ignores it.
	MaxClaims int
}

// DefaultOptions returns the limits for a daemon that writes its own claims.
func DefaultOptions() Options {
	return Options{BatchWindow: 5 * time.Millisecond, BatchSize: 64, MaxInFlight: 4, MaxClaims: 4096}
}

// Bounds of the backoff after lost responses.
const (
	// outageThreshold is the number of consecutive lost responses that count as an
	// outage of the store. A single loss is resolved by writing again.
	outageThreshold = 2
	minBackoff      = 250 * time.Millisecond
	maxBackoff      = 8 * time.Second
)

// batchEntry is one write of a batch in flight.
type batchEntry struct {
	key   string
	nonce string
	state State
}

// Model holds the claims of one daemon.
type Model struct {
	daemon    string
	options   Options
	claims    claimSet
	queue     []string
	batches   map[uint64][]batchEntry
	lastBatch uint64
	// flushAt is when the queue must be sent even if no batch is full.
	flushAt time.Time
	// lostResponses counts the lost responses since the last received one.
	lostResponses int
	// backoffUntil is the earliest time of the next batch during an outage of the
	// store.
	backoffUntil time.Time
	// nextDeadline is not later than the earliest deadline of the claims in
	// phaseOpening. Zero means that there are none.
	nextDeadline time.Time
	// tickAt is when the next requested Tick is due.
	tickAt time.Time
}

// New returns a model without claims. Daemon is the daemon's name in rows.
func New(daemon string, options Options) Model {
	return Model{daemon: daemon, options: options, batches: map[uint64][]batchEntry{}}
}

// ClaimCount returns the number of claims that the daemon holds.
func (model Model) ClaimCount() int { return model.claims.count }

// Holds reports whether the daemon holds the claim of a key.
func (model Model) Holds(key string) bool {
	_, found := model.claims.get(key)
	return found
}

// Update returns the model after a message, and the commands to execute.
func (model Model) Update(now time.Time, msg Msg) (Model, []Cmd) {
	if open, isOpen := msg.(Open); isOpen {
		if result, decided := model.resultWithoutWrite(now, open); decided {
			return model, []Cmd{result}
		}
	}
	if _, isTick := msg.(Tick); isTick {
		model.tickAt = time.Time{}
		if !model.deadlinePassed(now) && !model.batchDue(now) {
			return model.scheduleTick(now, nil)
		}
	}
	model.batches, model.queue = maps.Clone(model.batches), slices.Clone(model.queue)
	var cmds []Cmd
	switch msg := msg.(type) {
	case Open:
		model = model.open(now, msg)
	case Finish:
		model = model.endClaim(now, msg.Key, msg.Nonce, phaseFinishing, msg.Response)
	case Release:
		model = model.endClaim(now, msg.Key, msg.Nonce, phaseReleasing, Response{})
	case LeaveOpen:
		if existing, _ := model.claims.get(msg.Key); existing.nonce == msg.Nonce {
			model.claims = model.claims.without(msg.Key)
		}
	case Committed:
		model, cmds = model.handleCommitted(now, msg)
	case Conflicted:
		model, cmds = model.handleConflicted(now, msg)
	case CommitUnknown:
		model, cmds = model.handleCommitUnknown(now, msg)
	}
	model, cmds = model.expireClaims(now, cmds)
	model, cmds = model.flush(now, cmds)
	return model.scheduleTick(now, cmds)
}

// resultWithoutWrite returns the result of an Open that can be decided without a
// write. It returns false if a write is needed.
func (model Model) resultWithoutWrite(now time.Time, open Open) (OpenResult, bool) {
	notRun := OpenResult{Key: open.Key, Nonce: open.Nonce, Decision: NotRun}
	existing, found := model.claims.get(open.Key)
	switch {
	case found && existing.phase == phaseFinishing:
		row := Row{RequestHash: existing.hash, State: StateDone, Response: &existing.response}
		return claim{key: open.Key, nonce: open.Nonce, hash: open.RequestHash}.openResult(row), true
	case found && existing.phase == phaseReleasing:
		return notRun, true
	case found:
		return claim{key: open.Key, nonce: open.Nonce, hash: open.RequestHash}.openResult(Row{
			RequestHash: existing.hash,
		}), true
	case model.claims.count >= model.options.MaxClaims, now.Before(model.backoffUntil), !now.Before(open.Deadline):
		return notRun, true
	}
	return OpenResult{}, false
}

func (model Model) open(now time.Time, open Open) Model {
	model.claims = model.claims.with(claim{
		key: open.Key, nonce: open.Nonce, hash: open.RequestHash, opened: now, deadline: open.Deadline,
	})
	if model.nextDeadline.IsZero() || open.Deadline.Before(model.nextDeadline) {
		model.nextDeadline = open.Deadline
	}
	return model.enqueue(now, open.Key)
}

func (model Model) enqueue(now time.Time, key string) Model {
	if len(model.queue) == 0 {
		model.flushAt = now.Add(model.options.BatchWindow)
	}
	model.queue = append(model.queue, key)
	return model
}

// endClaim moves a running claim to phaseFinishing or phaseReleasing.
func (model Model) endClaim(now time.Time, key, nonce string, phase phase, response Response) Model {
	existing, found := model.claims.get(key)
	if !found || existing.nonce != nonce || existing.phase != phaseRunning {
		return model
	}
	existing.phase, existing.response = phase, response
	model.claims = model.claims.with(existing)
	return model.enqueue(now, key)
}

// writtenClaim is a claim whose batch has ended, with the state that the batch
// wrote.
type writtenClaim struct {
	claim
	writtenState State
}

// takeBatch removes a batch from those in flight and returns its claims that the
// daemon still holds.
func (model Model) takeBatch(batch uint64) (Model, []writtenClaim) {
	var taken []writtenClaim
	for _, entry := range model.batches[batch] {
		existing, found := model.claims.get(entry.key)
		if !found || existing.nonce != entry.nonce {
			continue
		}
		existing.inFlight = false
		taken = append(taken, writtenClaim{existing, entry.state})
	}
	delete(model.batches, batch)
	return model, taken
}

func (model Model) handleCommitted(now time.Time, msg Committed) (Model, []Cmd) {
	var cmds []Cmd
	var taken []writtenClaim
	model.lostResponses, model.backoffUntil = 0, time.Time{}
	model, taken = model.takeBatch(msg.Batch)
	for _, written := range taken {
		written.version = msg.Version
		switch {
		case written.writtenState != StateOpen:
			model.claims = model.claims.without(written.key)
			cmds = append(cmds, Settled{Key: written.key, Nonce: written.nonce})
			continue
		case written.phase == phaseOpening:
			written.phase = phaseRunning
			cmds = append(cmds, OpenResult{Key: written.key, Nonce: written.nonce, Decision: Granted})
		case written.phase == phaseReleasing:
			model = model.enqueue(now, written.key)
		}
		model.claims = model.claims.with(written.claim)
	}
	return model, cmds
}

func (model Model) handleConflicted(now time.Time, msg Conflicted) (Model, []Cmd) {
	var cmds []Cmd
	var taken []writtenClaim
	model.lostResponses, model.backoffUntil = 0, time.Time{}
	rows := make(map[string]StoredRow, len(msg.Rows))
	for _, row := range msg.Rows {
		rows[row.Key] = row
	}
	model, taken = model.takeBatch(msg.Batch)
	for _, written := range taken {
		stored := rows[written.key]
		switch written.resolveConflict(now, stored) {
		case resolveRetry:
			written.version = stored.Version
			model.claims = model.claims.with(written.claim)
			model = model.enqueue(now, written.key)
			model.flushAt = now
		case resolveWon:
			written.version, written.phase = stored.Version, phaseRunning
			model.claims = model.claims.with(written.claim)
			cmds = append(cmds, OpenResult{Key: written.key, Nonce: written.nonce, Decision: Granted})
		case resolveSettled:
			model.claims = model.claims.without(written.key)
			cmds = append(cmds, Settled{Key: written.key, Nonce: written.nonce})
		case resolveLost:
			model.claims = model.claims.without(written.key)
			cmds = append(cmds, written.openResult(stored.Row))
		}
	}
	return model, cmds
}

func (model Model) handleCommitUnknown(now time.Time, msg CommitUnknown) (Model, []Cmd) {
	var cmds []Cmd
	var taken []writtenClaim
	model.lostResponses++
	if model.lostResponses >= outageThreshold {
		model.backoffUntil = now.Add(backoff(model.lostResponses, msg.Batch))
	}
	model, taken = model.takeBatch(msg.Batch)
	for _, written := range taken {
		if written.phase == phaseOpening && model.lostResponses >= outageThreshold {
			written.phase = phaseReleasing
			cmds = append(cmds, OpenResult{Key: written.key, Nonce: written.nonce, Decision: NotRun})
		}
		model.claims = model.claims.with(written.claim)
		model = model.enqueue(now, written.key)
	}
	return model, cmds
}

// backoff returns the time to wait before the next batch. The batch number adds
// jitter, so that daemons that lost the store at the same moment do not retry at
// the same moment.
func backoff(lostResponses int, batch uint64) time.Duration {
	maxWait := min(minBackoff<<min(lostResponses-outageThreshold, 10), maxBackoff)
	const jitterSteps = 1024
	jitter := time.Duration(batch * 0x9e3779b97f4a7c15 >> 54)
	return maxWait/2 + maxWait/2*jitter/jitterSteps
}

// deadlinePassed reports whether the deadline of a claim may have passed.
func (model Model) deadlinePassed(now time.Time) bool {
	return !model.nextDeadline.IsZero() && !now.Before(model.nextDeadline)
}

// expireClaims decides NotRun for the requests whose deadline has passed.
func (model Model) expireClaims(now time.Time, cmds []Cmd) (Model, []Cmd) {
	if !model.deadlinePassed(now) {
		return model, cmds
	}
	model.nextDeadline = time.Time{}
	for _, claim := range model.claims.inOpeningPhase() {
		if now.Before(claim.deadline) {
			if model.nextDeadline.IsZero() || claim.deadline.Before(model.nextDeadline) {
				model.nextDeadline = claim.deadline
			}
			continue
		}
		cmds = append(cmds, OpenResult{Key: claim.key, Nonce: claim.nonce, Decision: NotRun})
		if claim.sent {
			claim.phase = phaseReleasing
			model.claims = model.claims.with(claim)
			continue
		}
		model.claims = model.claims.without(claim.key)
		model.queue = slices.DeleteFunc(model.queue, func(queued string) bool { return queued == claim.key })
	}
	return model, cmds
}

// flush sends all batches that are due.
func (model Model) flush(now time.Time, cmds []Cmd) (Model, []Cmd) {
	for model.batchDue(now) {
		var commit Commit
		model, commit = model.sendBatch()
		cmds = append(cmds, commit)
	}
	return model, cmds
}

// batchDue reports whether a batch must be sent. After a lost response, only one
// batch is in flight at a time.
func (model Model) batchDue(now time.Time) bool {
	maxInFlight := model.options.MaxInFlight
	if model.lostResponses > 0 {
		maxInFlight = 1
	}
	if len(model.queue) == 0 || len(model.batches) >= maxInFlight || now.Before(model.backoffUntil) {
		return false
	}
	return len(model.queue) >= model.options.BatchSize || !now.Before(model.flushAt)
}

func (model Model) sendBatch() (Model, Commit) {
	model.lastBatch++
	size := min(len(model.queue), model.options.BatchSize)
	commit := Commit{Batch: model.lastBatch, Writes: make([]Write, 0, size)}
	entries := make([]batchEntry, 0, size)
	for _, key := range model.queue[:size] {
		claim, _ := model.claims.get(key)
		claim.sent, claim.inFlight = true, true
		model.claims = model.claims.with(claim)
		commit.Writes = append(commit.Writes, claim.write(model.daemon))
		entries = append(entries, batchEntry{key: key, nonce: claim.nonce, state: claim.state()})
	}
	model.queue = model.queue[size:]
	model.batches[model.lastBatch] = entries
	return model, commit
}

// scheduleTick requests a Tick for the next deadline or batch, unless a requested
// Tick is due by then.
func (model Model) scheduleTick(now time.Time, cmds []Cmd) (Model, []Cmd) {
	var next time.Time
	earlier := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if !model.nextDeadline.IsZero() {
		earlier(model.nextDeadline)
	}
	if len(model.queue) > 0 {
		due := model.flushAt
		if due.Before(model.backoffUntil) {
			due = model.backoffUntil
		}
		if due.After(now) {
			earlier(due)
		}
	}
	if next.IsZero() || !model.tickAt.IsZero() && !next.Before(model.tickAt) && now.Before(model.tickAt) {
		return model, cmds
	}
	model.tickAt = next
	return model, append(cmds, ScheduleTick{At: next})
}
