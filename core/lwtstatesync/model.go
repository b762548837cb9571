// Package lwtstatesync decides which declared state a daemon holds, when it reads
// the store's head, and from where it fetches the tickets that it lacks.
//
// A daemon holds the highest number it has seen, applies tickets in order and
// never goes back. It tells peers a number before it acts on it, so that a
// successor at the same address learns the number from them.
package lwtstatesync

import (
	"slices"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtticket"
)

// Bounds of the exchange with peers.
const (
	// tellMembers is the number of peers that a daemon tells of a new number.
	// Three tell e^-3 = 5% of a large fleet too little; the periodic exchange
	// and the poll reach the rest.
	tellMembers = 3
	// gossipMembers is the number of peers told at each poll of the head.
	gossipMembers = 1
	// maxInformed bounds the peers remembered to hold the newest number.
	maxInformed = 4
	// keptRecords bounds the records kept to answer peers.
	keptRecords = lwtticket.SnapshotThreshold
)

// Bounds of waiting.
const (
	// settleTime is how long a starting daemon without the store collects the
	// numbers of its peers before it acts on the highest. It asks all of them
	// once a second, because a predecessor at its address told only some of them.
	settleTime = 3 * time.Second
	// askInterval is the time between the first questions of a starting daemon,
	// and longAskInterval that between later ones. A fleet of 370 that starts
	// without the store would otherwise exchange 136,000 questions a second.
	askInterval     = time.Second
	longAskInterval = 15 * time.Second
	// shortAsks is the number of questions at the short interval. They cover
	// the time in which a daemon collects the numbers of its peers.
	shortAsks = 5
	// fetchTimeout bounds the wait for a peer's answer.
	fetchTimeout = time.Second
	// retryWait is the time between two failed fetches.
	retryWait = 500 * time.Millisecond
)

// Model is the state machine of one daemon. It is immutable.
type Model struct {
	started time.Time
	state   lwtdeclaredstate.State
	records []lwtticket.Record
	// target is the highest number seen anywhere.
	target int64
	// forced is the highest number put in force, told the highest told.
	forced, told int64
	// asOf is the latest time at which the held number was known to be the newest.
	asOf   time.Time
	head   lwtticket.Head
	headAt time.Time
	// storeSeen says that the store answered since the start.
	storeSeen bool
	polling   bool
	nextPoll  time.Time
	nextAsk   time.Time
	asks      int
	members   int
	random    float64
	// firstHeard is when a peer first told its number.
	firstHeard time.Time
	// informed are peers that hold the target.
	informed []string
	fetch    fetch
}

// fetch is the retrieval of missing tickets.
type fetch struct {
	active bool
	// member is the peer asked; empty means the store.
	member string
	began  time.Time
	// next is the earliest time of the next attempt.
	next time.Time
}

// New returns the model of a daemon that holds nothing.
func New(now time.Time) Model {
	return Model{started: now, nextPoll: now, nextAsk: now, members: 1, state: lwtdeclaredstate.New()}
}

// State returns the state in force; false before the first one.
func (model Model) State() (lwtdeclaredstate.State, bool) { return model.state, model.forced > 0 }

// Revisions returns the number held and the highest number seen.
func (model Model) Revisions() (held, seen int64) { return model.state.Revision, model.target }

// Staleness returns how long ago the held number was known to be the newest; false
// when that was never known.
func (model Model) Staleness(now time.Time) (time.Duration, bool) {
	return now.Sub(model.asOf), !model.asOf.IsZero()
}

// StoreSeen reports whether the store answered since the start.
func (model Model) StoreSeen() bool { return model.storeSeen }

// Records returns the newest tickets held, oldest first. The slice must not be
// modified.
func (model Model) Records() []lwtticket.Record { return model.records }

// Update takes a message and returns the model after it and its commands.
func (model Model) Update(now time.Time, msg Msg) (Model, []Cmd) {
	var cmds []Cmd
	switch msg := msg.(type) {
	case Tick:
		model, cmds = model.tick(now, msg)
	case HeadRead:
		model = model.headRead(now, msg)
	case HeadReadFailed:
		model = model.polled(now)
	case StoreRead:
		held := model.state.Revision
		model = model.adopt(msg.Snapshot).apply(msg.Records)
		model = model.fetched(now, model.state.Revision > held)
	case StoreReadFailed:
		model = model.fetched(now, false)
	case Told:
		model, cmds = model.toldBy(now, msg)
	case Asked:
		cmds = model.answer(msg)
	case TicketAccepted:
		model, cmds = model.accepted(now, msg)
	}
	model = model.confirmed(model.head.Revision, model.headAt)
	model, more := model.force(now)
	cmds = append(cmds, more...)
	model, more = model.fetchNext(now)
	return model, append(cmds, more...)
}

func (model Model) tick(now time.Time, tick Tick) (Model, []Cmd) {
	var cmds []Cmd
	model.members, model.random = tick.MemberCount, tick.Random
	if model.fetch.active && model.fetch.member != "" && now.Sub(model.fetch.began) >= fetchTimeout {
		model = model.fetched(now, false)
	}
	if model.forced == 0 && !model.storeSeen && !now.Before(model.nextAsk) {
		model = model.asked(now)
		cmds = append(cmds, Ask{})
	}
	if !model.polling && !now.Before(model.nextPoll) {
		model.polling = true
		cmds = append(cmds, ReadHead{})
		if model.forced > 0 {
			cmds = append(cmds, Tell{Fanout: gossipMembers, Revision: model.state.Revision, AsOf: model.asOf})
		}
	}
	return model, cmds
}

// asked notes a question to all peers.
func (model Model) asked(now time.Time) Model {
	model.asks++
	model.nextAsk = now.Add(askInterval)
	if model.asks >= shortAsks {
		model.nextAsk = now.Add(longAskInterval)
	}
	return model
}

func (model Model) headRead(now time.Time, msg HeadRead) Model {
	model = model.polled(now)
	model.storeSeen = true
	if msg.Head.Revision >= model.head.Revision {
		model.head, model.headAt = msg.Head, msg.SentAt
	}
	return model.seen(msg.Head.Revision)
}

func (model Model) polled(now time.Time) Model {
	model.polling = false
	model.nextPoll = now.Add(jittered(PollInterval(model.members), model.random))
	return model
}

// seen raises the target.
func (model Model) seen(number int64) Model {
	if number > model.target {
		model.target, model.informed = number, nil
	}
	return model
}

// toldBy takes what a peer holds. A peer that is behind gets what it lacks.
func (model Model) toldBy(now time.Time, msg Told) (Model, []Cmd) {
	if model.firstHeard.IsZero() {
		model.firstHeard = now
	}
	held := model.state.Revision
	model = model.seen(msg.Revision)
	if msg.Revision == model.target && len(model.informed) < maxInformed && !slices.Contains(model.informed, msg.Member) {
		model.informed = append(slices.Clone(model.informed), msg.Member)
		model.fetch.next = now
	}
	model = model.adopt(msg.State).apply(msg.Records).confirmed(msg.Revision, msg.AsOf)
	// A bare repetition of the target is not the answer to a question.
	isAnswer := len(msg.Records) > 0 || msg.State != nil || msg.Revision < model.target
	if model.fetch.active && model.fetch.member == msg.Member && isAnswer {
		model = model.fetched(now, model.state.Revision > held)
	}
	if msg.Revision >= model.state.Revision || model.forced == 0 {
		return model, nil
	}
	return model, model.answer(Asked{Member: msg.Member, After: msg.Revision})
}

func (model Model) answer(asked Asked) []Cmd {
	answer := Answer{Member: asked.Member, Revision: model.state.Revision, AsOf: model.asOf}
	lacking := model.state.Revision - asked.After
	switch {
	case asked.OnlyRevision || lacking <= 0:
	case lacking <= int64(len(model.records)):
		answer.Records = model.records[int64(len(model.records))-lacking:]
	default:
		answer.State = &model.state
	}
	return []Cmd{answer}
}

// accepted takes a ticket that this daemon stored and tells all peers of it,
// because only this daemon knows of it if the store fails now.
func (model Model) accepted(now time.Time, msg TicketAccepted) (Model, []Cmd) {
	if msg.Head.Revision > model.head.Revision {
		model.head, model.headAt = msg.Head, now
	}
	model.storeSeen = true
	model = model.seen(msg.Head.Revision).apply([]lwtticket.Record{msg.Record})
	model.told = max(model.told, msg.Head.Revision)
	return model, []Cmd{Tell{Revision: msg.Head.Revision, AsOf: now, Records: []lwtticket.Record{msg.Record}}}
}

// adopt replaces the held state by a newer one.
func (model Model) adopt(state *lwtdeclaredstate.State) Model {
	if state == nil || state.Revision <= model.state.Revision {
		return model
	}
	model.state, model.records = *state, nil
	return model.seen(state.Revision)
}

// apply applies the records that follow the held state; others are passed over.
func (model Model) apply(records []lwtticket.Record) Model {
	for _, record := range records {
		if record.Change.Revision != model.state.Revision+1 {
			continue
		}
		model.state = model.state.WithChange(record.Change)
		kept := model.records[max(0, len(model.records)-keptRecords+1):]
		model.records = append(slices.Clone(kept), record)
	}
	return model.seen(model.state.Revision)
}

// confirmed notes that a number was the newest at a time.
func (model Model) confirmed(number int64, at time.Time) Model {
	if model.state.Revision >= number && number > 0 && at.After(model.asOf) {
		model.asOf = at
	}
	return model
}

// force puts the held state in force after telling peers of it. The first
// state must be the highest that the store or, without it, the peers know.
func (model Model) force(now time.Time) (Model, []Cmd) {
	number := model.state.Revision
	if number <= model.forced || model.forced == 0 && !model.settled(now) {
		return model, nil
	}
	model.forced = number
	var cmds []Cmd
	if number > model.told {
		model.told = number
		cmds = append(cmds, Tell{Fanout: tellMembers, Revision: number, AsOf: model.asOf})
	}
	return model, append(cmds, Activate{model.state})
}

func (model Model) settled(now time.Time) bool {
	if model.state.Revision < model.target {
		return false
	}
	return model.storeSeen || !model.firstHeard.IsZero() && now.Sub(model.firstHeard) >= settleTime
}
