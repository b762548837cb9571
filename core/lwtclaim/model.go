package lwtclaim

import (
	"maps"
	"slices"
	"time"
)

// Options are the bounds of a Model.
type Options struct {
	// BatchWindow is the longest wait of a claim for others to share its transaction.
	BatchWindow time.Duration
	// BatchSize bounds the claims of one transaction.
	BatchSize int
	// MaxInFlight bounds the transactions on their way.
	MaxInFlight int
	// MaxClaims bounds the claims that one daemon works on.
	MaxClaims int
}

// DefaultOptions returns the bounds of a daemon that writes its own claims.
func DefaultOptions() Options {
	return Options{BatchWindow: 5 * time.Millisecond, BatchSize: 64, MaxInFlight: 4, MaxClaims: 4096}
}

// Bounds of the pause after lost answers.
const (
	// outageLosses is the number of lost answers in a row that mean an outage.
	// One loss alone is resolved by writing again.
	outageLosses = 2
	pauseLeast   = 250 * time.Millisecond
	pauseMost    = 8 * time.Second
)

// entry is one write of a batch in flight.
type entry struct {
	key   string
	nonce string
	state State
}

// Model is the claims of one daemon.
type Model struct {
	daemon  string
	options Options
	claims  heldClaims
	queue   []string
	batches map[uint64][]entry
	last    uint64
	// flushAt is when the queue must be sent even if no batch is full.
	flushAt time.Time
	// losses counts the lost answers since the last answer.
	losses int
	// downUntil is when the next probe of a store in an outage may be sent.
	downUntil time.Time
	// nextGiveUp is not later than the first time at which a claim gives up.
	nextGiveUp time.Time
	wakeAt     time.Time
}

// New returns a model without claims. Daemon names the daemon in rows.
func New(daemon string, options Options) Model {
	return Model{daemon: daemon, options: options, batches: map[uint64][]entry{}}
}

// ClaimCount returns the number of claims that the daemon works on.
func (model Model) ClaimCount() int { return model.claims.count }

// Holds reports whether the daemon works on the claim of a key.
func (model Model) Holds(key string) bool {
	_, found := model.claims.get(key)
	return found
}

// Update returns the model after a message, and the commands to carry out.
func (model Model) Update(now time.Time, msg Msg) (Model, []Cmd) {
	if open, isOpen := msg.(Open); isOpen {
		if answer, early := model.answerEarly(now, open); early {
			return model, []Cmd{answer}
		}
	}
	if _, isTick := msg.(Tick); isTick {
		model.wakeAt = time.Time{}
		if !model.overdue(now) && !model.due(now) {
			return model.wake(now, nil)
		}
	}
	model.batches, model.queue = maps.Clone(model.batches), slices.Clone(model.queue)
	var cmds []Cmd
	switch msg := msg.(type) {
	case Open:
		model = model.open(now, msg)
	case Finish:
		model = model.settle(now, msg.Key, msg.Nonce, finishing, msg.Response)
	case Release:
		model = model.settle(now, msg.Key, msg.Nonce, abandoning, Response{})
	case LeaveOpen:
		if held, _ := model.claims.get(msg.Key); held.nonce == msg.Nonce {
			model.claims = model.claims.without(msg.Key)
		}
	case Committed:
		model, cmds = model.committed(now, msg)
	case Conflicted:
		model, cmds = model.conflicted(now, msg)
	case CommitUnknown:
		model, cmds = model.lost(now, msg)
	}
	model, cmds = model.giveUp(now, cmds)
	model, cmds = model.flush(now, cmds)
	return model.wake(now, cmds)
}

// answerEarly answers an Open that needs no write.
func (model Model) answerEarly(now time.Time, open Open) (OpenResult, bool) {
	answer := OpenResult{Key: open.Key, Nonce: open.Nonce, Decision: NotRun}
	held, found := model.claims.get(open.Key)
	switch {
	case found && held.phase == finishing:
		row := Row{RequestHash: held.hash, State: StateDone, Response: &held.outcome}
		return claim{key: open.Key, nonce: open.Nonce, hash: open.RequestHash}.verdict(row), true
	case found && held.phase == abandoning:
		return answer, true
	case found:
		return claim{key: open.Key, nonce: open.Nonce, hash: open.RequestHash}.verdict(Row{RequestHash: held.hash}), true
	case model.claims.count >= model.options.MaxClaims, now.Before(model.downUntil), !now.Before(open.Deadline):
		return answer, true
	}
	return OpenResult{}, false
}

func (model Model) open(now time.Time, open Open) Model {
	model.claims = model.claims.with(claim{
		key: open.Key, nonce: open.Nonce, hash: open.RequestHash, opened: now, giveUp: open.Deadline,
	})
	if model.nextGiveUp.IsZero() || open.Deadline.Before(model.nextGiveUp) {
		model.nextGiveUp = open.Deadline
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

// settle ends a running claim.
func (model Model) settle(now time.Time, key, nonce string, to phase, outcome Response) Model {
	held, found := model.claims.get(key)
	if !found || held.nonce != nonce || held.phase != running {
		return model
	}
	held.phase, held.outcome = to, outcome
	model.claims = model.claims.with(held)
	return model.enqueue(now, key)
}

// written is a claim whose write has come back, with the state that was written.
type written struct {
	claim
	wrote State
}

// take removes a batch and returns those of its claims that are still held.
func (model Model) take(batch uint64) (Model, []written) {
	var taken []written
	for _, entry := range model.batches[batch] {
		held, found := model.claims.get(entry.key)
		if !found || held.nonce != entry.nonce {
			continue
		}
		held.inFlight = false
		taken = append(taken, written{held, entry.state})
	}
	delete(model.batches, batch)
	return model, taken
}

func (model Model) committed(now time.Time, msg Committed) (Model, []Cmd) {
	var cmds []Cmd
	var taken []written
	model.losses, model.downUntil = 0, time.Time{}
	model, taken = model.take(msg.Batch)
	for _, held := range taken {
		held.version = msg.Version
		switch {
		case held.wrote != StateOpen:
			model.claims = model.claims.without(held.key)
			cmds = append(cmds, Settled{Key: held.key, Nonce: held.nonce})
			continue
		case held.phase == opening:
			held.phase = running
			cmds = append(cmds, OpenResult{Key: held.key, Nonce: held.nonce, Decision: Granted})
		case held.phase == abandoning:
			model = model.enqueue(now, held.key)
		}
		model.claims = model.claims.with(held.claim)
	}
	return model, cmds
}

func (model Model) conflicted(now time.Time, msg Conflicted) (Model, []Cmd) {
	var cmds []Cmd
	var taken []written
	model.losses, model.downUntil = 0, time.Time{}
	rows := make(map[string]StoredRow, len(msg.Rows))
	for _, row := range msg.Rows {
		rows[row.Key] = row
	}
	model, taken = model.take(msg.Batch)
	for _, held := range taken {
		stored := rows[held.key]
		switch held.judge(now, stored) {
		case again:
			held.version = stored.Version
			model.claims = model.claims.with(held.claim)
			model = model.enqueue(now, held.key)
			model.flushAt = now
		case won:
			held.version, held.phase = stored.Version, running
			model.claims = model.claims.with(held.claim)
			cmds = append(cmds, OpenResult{Key: held.key, Nonce: held.nonce, Decision: Granted})
		case over:
			model.claims = model.claims.without(held.key)
			cmds = append(cmds, Settled{Key: held.key, Nonce: held.nonce})
		case lost:
			model.claims = model.claims.without(held.key)
			cmds = append(cmds, held.verdict(stored.Row))
		}
	}
	return model, cmds
}

func (model Model) lost(now time.Time, msg CommitUnknown) (Model, []Cmd) {
	var cmds []Cmd
	var taken []written
	model.losses++
	if model.losses >= outageLosses {
		model.downUntil = now.Add(pause(model.losses, msg.Batch))
	}
	model, taken = model.take(msg.Batch)
	for _, held := range taken {
		if held.phase == opening && model.losses >= outageLosses {
			held.phase = abandoning
			cmds = append(cmds, OpenResult{Key: held.key, Nonce: held.nonce, Decision: NotRun})
		}
		model.claims = model.claims.with(held.claim)
		model = model.enqueue(now, held.key)
	}
	return model, cmds
}

// pause returns the time to the next probe. The batch number spreads the
// probes of daemons that lost the store at the same moment.
func pause(losses int, batch uint64) time.Duration {
	longest := min(pauseLeast<<min(losses-outageLosses, 10), pauseMost)
	const parts = 1024
	part := time.Duration(batch * 0x9e3779b97f4a7c15 >> 54)
	return longest/2 + longest/2*part/parts
}

// overdue reports whether a claim may have to give up.
func (model Model) overdue(now time.Time) bool {
	return !model.nextGiveUp.IsZero() && !now.Before(model.nextGiveUp)
}

// giveUp answers the requests whose time has passed.
func (model Model) giveUp(now time.Time, cmds []Cmd) (Model, []Cmd) {
	if !model.overdue(now) {
		return model, cmds
	}
	model.nextGiveUp = time.Time{}
	for _, held := range model.claims.opening() {
		if now.Before(held.giveUp) {
			if model.nextGiveUp.IsZero() || held.giveUp.Before(model.nextGiveUp) {
				model.nextGiveUp = held.giveUp
			}
			continue
		}
		cmds = append(cmds, OpenResult{Key: held.key, Nonce: held.nonce, Decision: NotRun})
		if held.sent {
			held.phase = abandoning
			model.claims = model.claims.with(held)
			continue
		}
		model.claims = model.claims.without(held.key)
		model.queue = slices.DeleteFunc(model.queue, func(queued string) bool { return queued == held.key })
	}
	return model, cmds
}

// flush sends the batches that are due.
func (model Model) flush(now time.Time, cmds []Cmd) (Model, []Cmd) {
	for model.due(now) {
		var commit Commit
		model, commit = model.send()
		cmds = append(cmds, commit)
	}
	return model, cmds
}

// due reports whether a batch must be sent. In an outage one is on its way at
// a time.
func (model Model) due(now time.Time) bool {
	inFlight := model.options.MaxInFlight
	if model.losses > 0 {
		inFlight = 1
	}
	if len(model.queue) == 0 || len(model.batches) >= inFlight || now.Before(model.downUntil) {
		return false
	}
	return len(model.queue) >= model.options.BatchSize || !now.Before(model.flushAt)
}

func (model Model) send() (Model, Commit) {
	model.last++
	size := min(len(model.queue), model.options.BatchSize)
	commit := Commit{Batch: model.last, Writes: make([]Write, 0, size)}
	entries := make([]entry, 0, size)
	for _, key := range model.queue[:size] {
		held, _ := model.claims.get(key)
		held.sent, held.inFlight = true, true
		model.claims = model.claims.with(held)
		commit.Writes = append(commit.Writes, held.write(model.daemon))
		entries = append(entries, entry{key: key, nonce: held.nonce, state: held.state()})
	}
	model.queue = model.queue[size:]
	model.batches[model.last] = entries
	return model, commit
}

// wake asks for a Tick when the next claim is due, unless an earlier one is on
// its way.
func (model Model) wake(now time.Time, cmds []Cmd) (Model, []Cmd) {
	var next time.Time
	earlier := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if !model.nextGiveUp.IsZero() {
		earlier(model.nextGiveUp)
	}
	if len(model.queue) > 0 {
		due := model.flushAt
		if due.Before(model.downUntil) {
			due = model.downUntil
		}
		if due.After(now) {
			earlier(due)
		}
	}
	if next.IsZero() || !model.wakeAt.IsZero() && !next.Before(model.wakeAt) && now.Before(model.wakeAt) {
		return model, cmds
	}
	model.wakeAt = next
	return model, append(cmds, ScheduleTick{At: next})
}
