// Package lwtstatesync propagates the declared state to all daemons: it decides
// when a daemon polls the store's head, from which peer or store it fetches
// missing tickets, and which state it activates.
//
// A daemon applies tickets in order up to the highest revision that it has seen
// and never activates an older revision. It announces a revision to peers before
// it activates it, so that a successor process at the same address can learn the
// revision from them.
package lwtstatesync

import (
	"slices"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtticket"
)

// Limits of the exchange with peers.
const (
	// announceFanout is the number of peers to which a daemon announces a new
	// revision. With three, e^-3 = 5% of a large fleet receive no announcement;
	// the announcements at each poll and the polls themselves reach the rest.
	announceFanout = 3
	// pollFanout is the number of peers to which a daemon announces its revision
	// at each poll of the head.
	pollFanout = 1
	// maxKnownHolders bounds the list of peers known to have the latest revision.
	maxKnownHolders = 4
	// maxRecords bounds the ticket records kept to answer peers.
	maxRecords = lwtticket.SnapshotThreshold
)

// Intervals and timeouts.
const (
	// startupCollectTime is how long a starting daemon collects the revisions of
	// its peers before it activates the highest, if the store does not respond. It
	// asks all peers once per second, because a predecessor at its address may
	// have announced its last revision to only some of them.
	startupCollectTime = 3 * time.Second
	// initialAskInterval is the time between the first initialAsks requests of a
	// starting daemon to all peers, lateAskInterval that between later ones. At the
	// initial interval alone, a fleet of 370 daemons that starts without the store
	// would exchange 136,000 requests per second.
	initialAskInterval = time.Second
	lateAskInterval    = 15 * time.Second
	// initialAsks is the number of requests at the initial interval. They cover
	// startupCollectTime.
	initialAsks = 5
	// fetchTimeout bounds the wait for a peer's response.
	fetchTimeout = time.Second
	// retryInterval is the time from a failed fetch to the next one.
	retryInterval = 500 * time.Millisecond
)

// Model is the state machine of one daemon. It is immutable.
type Model struct {
	startTime time.Time
	state     lwtdeclaredstate.State
	records   []lwtticket.Record
	// latestSeen is the highest revision seen in the store or from a peer.
	latestSeen int64
	// activeRevision is the highest revision activated, announcedRevision the
	// highest announced.
	activeRevision, announcedRevision int64
	// asOf is the latest time at which the applied revision was known to be the
	// newest.
	asOf       time.Time
	head       lwtticket.Head
	headReadAt time.Time
	// storeSeen says that the store has responded since the start.
	storeSeen   bool
	polling     bool
	nextPoll    time.Time
	nextAsk     time.Time
	asksSent    int
	memberCount int
	random      float64
	// firstContact is when a peer first announced its revision.
	firstContact time.Time
	// holders are peers that have the latest revision seen.
	holders []string
	fetch   fetch
}

// fetch is the retrieval of missing tickets.
type fetch struct {
	inFlight bool
	// member is the peer that is asked; empty means the store.
	member    string
	startedAt time.Time
	// notBefore is the earliest time of the next attempt.
	notBefore time.Time
}

// New returns the model of a daemon that has no state yet.
func New(now time.Time) Model {
	return Model{startTime: now, nextPoll: now, nextAsk: now, memberCount: 1, state: lwtdeclaredstate.New()}
}

// State returns the active state; false before the first activation.
func (model Model) State() (lwtdeclaredstate.State, bool) {
	return model.state, model.activeRevision > 0
}

// Revisions returns the revision applied by this daemon and the highest revision
// seen.
func (model Model) Revisions() (applied, seen int64) { return model.state.Revision, model.latestSeen }

// Staleness returns how long ago the applied revision was last known to be the
// newest; false if it never was.
func (model Model) Staleness(now time.Time) (time.Duration, bool) {
	return now.Sub(model.asOf), !model.asOf.IsZero()
}

// StoreSeen reports whether the store has responded since the start.
func (model Model) StoreSeen() bool { return model.storeSeen }

// Records returns the records of the last applied tickets, oldest first. The
// slice must not be modified.
func (model Model) Records() []lwtticket.Record { return model.records }

// Update applies a message and returns the next model and the commands to
// execute.
func (model Model) Update(now time.Time, msg Msg) (Model, []Cmd) {
	var cmds []Cmd
	switch msg := msg.(type) {
	case Tick:
		model, cmds = model.tick(now, msg)
	case HeadRead:
		model = model.applyHead(now, msg)
	case HeadReadFailed:
		model = model.schedulePoll(now)
	case StoreRead:
		before := model.state.Revision
		model = model.applyState(msg.Snapshot).applyRecords(msg.Records)
		model = model.finishFetch(now, model.state.Revision > before)
	case StoreReadFailed:
		model = model.finishFetch(now, false)
	case Told:
		model, cmds = model.applyTold(now, msg)
	case Asked:
		cmds = model.answer(msg)
	case TicketAccepted:
		model, cmds = model.applyAccepted(now, msg)
	}
	model = model.confirmNewest(model.head.Revision, model.headReadAt)
	model, more := model.activate(now)
	cmds = append(cmds, more...)
	model, more = model.fetchNext(now)
	return model, append(cmds, more...)
}

func (model Model) tick(now time.Time, tick Tick) (Model, []Cmd) {
	var cmds []Cmd
	model.memberCount, model.random = tick.MemberCount, tick.Random
	if model.fetch.inFlight && model.fetch.member != "" && now.Sub(model.fetch.startedAt) >= fetchTimeout {
		model = model.finishFetch(now, false)
	}
	if model.activeRevision == 0 && !model.storeSeen && !now.Before(model.nextAsk) {
		model = model.scheduleAsk(now)
		cmds = append(cmds, Ask{})
	}
	if !model.polling && !now.Before(model.nextPoll) {
		model.polling = true
		cmds = append(cmds, ReadHead{})
		if model.activeRevision > 0 {
			cmds = append(cmds, Tell{Fanout: pollFanout, Revision: model.state.Revision, AsOf: model.asOf})
		}
	}
	return model, cmds
}

// scheduleAsk counts a request to all peers and schedules the next one.
func (model Model) scheduleAsk(now time.Time) Model {
	model.asksSent++
	model.nextAsk = now.Add(initialAskInterval)
	if model.asksSent >= initialAsks {
		model.nextAsk = now.Add(lateAskInterval)
	}
	return model
}

func (model Model) applyHead(now time.Time, msg HeadRead) Model {
	model = model.schedulePoll(now)
	model.storeSeen = true
	if msg.Head.Revision >= model.head.Revision {
		model.head, model.headReadAt = msg.Head, msg.SentAt
	}
	return model.raiseLatestSeen(msg.Head.Revision)
}

func (model Model) schedulePoll(now time.Time) Model {
	model.polling = false
	model.nextPoll = now.Add(jittered(PollInterval(model.memberCount), model.random))
	return model
}

// raiseLatestSeen records a revision seen in the store or from a peer.
func (model Model) raiseLatestSeen(revision int64) Model {
	if revision > model.latestSeen {
		model.latestSeen, model.holders = revision, nil
	}
	return model
}

// applyTold applies a peer's announcement. A peer that is behind gets an answer
// with what it lacks.
func (model Model) applyTold(now time.Time, msg Told) (Model, []Cmd) {
	if model.firstContact.IsZero() {
		model.firstContact = now
	}
	before := model.state.Revision
	model = model.raiseLatestSeen(msg.Revision)
	if msg.Revision == model.latestSeen && len(model.holders) < maxKnownHolders &&
		!slices.Contains(model.holders, msg.Member) {
		model.holders = append(slices.Clone(model.holders), msg.Member)
		model.fetch.notBefore = now
	}
	model = model.applyState(msg.State).applyRecords(msg.Records).confirmNewest(msg.Revision, msg.AsOf)
	// A message with only the latest revision is an announcement and not the
	// answer to a request.
	isAnswer := len(msg.Records) > 0 || msg.State != nil || msg.Revision < model.latestSeen
	if model.fetch.inFlight && model.fetch.member == msg.Member && isAnswer {
		model = model.finishFetch(now, model.state.Revision > before)
	}
	if msg.Revision >= model.state.Revision || model.activeRevision == 0 {
		return model, nil
	}
	return model, model.answer(Asked{Member: msg.Member, After: msg.Revision})
}

func (model Model) answer(asked Asked) []Cmd {
	answer := Answer{Member: asked.Member, Revision: model.state.Revision, AsOf: model.asOf}
	missing := model.state.Revision - asked.After
	switch {
	case asked.OnlyRevision || missing <= 0:
	case missing <= int64(len(model.records)):
		answer.Records = model.records[int64(len(model.records))-missing:]
	default:
		answer.State = &model.state
	}
	return []Cmd{answer}
}

// applyAccepted applies a ticket that this daemon committed and announces it to
// all peers. If the store fails now, only this daemon has the ticket.
func (model Model) applyAccepted(now time.Time, msg TicketAccepted) (Model, []Cmd) {
	if msg.Head.Revision > model.head.Revision {
		model.head, model.headReadAt = msg.Head, now
	}
	model.storeSeen = true
	model = model.raiseLatestSeen(msg.Head.Revision).applyRecords([]lwtticket.Record{msg.Record})
	model.announcedRevision = max(model.announcedRevision, msg.Head.Revision)
	return model, []Cmd{Tell{Revision: msg.Head.Revision, AsOf: now, Records: []lwtticket.Record{msg.Record}}}
}

// applyState replaces the state by a newer one; others are ignored.
func (model Model) applyState(state *lwtdeclaredstate.State) Model {
	if state == nil || state.Revision <= model.state.Revision {
		return model
	}
	model.state, model.records = *state, nil
	return model.raiseLatestSeen(state.Revision)
}

// applyRecords applies the records that follow the current state in order; others
// are ignored.
func (model Model) applyRecords(records []lwtticket.Record) Model {
	for _, record := range records {
		if record.Change.Revision != model.state.Revision+1 {
			continue
		}
		model.state = model.state.WithChange(record.Change)
		retained := model.records[max(0, len(model.records)-maxRecords+1):]
		model.records = append(slices.Clone(retained), record)
	}
	return model.raiseLatestSeen(model.state.Revision)
}

// confirmNewest records that a revision was the newest at a time, if this daemon
// has applied it.
func (model Model) confirmNewest(revision int64, at time.Time) Model {
	if model.state.Revision >= revision && revision > 0 && at.After(model.asOf) {
		model.asOf = at
	}
	return model
}

// activate announces the current state to peers and activates it. The first
// active state must be the highest that the store has or, without the store, the
// highest of the peers.
func (model Model) activate(now time.Time) (Model, []Cmd) {
	revision := model.state.Revision
	if revision <= model.activeRevision || model.activeRevision == 0 && !model.readyToActivate(now) {
		return model, nil
	}
	model.activeRevision = revision
	var cmds []Cmd
	if revision > model.announcedRevision {
		model.announcedRevision = revision
		cmds = append(cmds, Tell{Fanout: announceFanout, Revision: revision, AsOf: model.asOf})
	}
	return model, append(cmds, Activate{model.state})
}

// readyToActivate reports whether the first state may be activated.
func (model Model) readyToActivate(now time.Time) bool {
	if model.state.Revision < model.latestSeen {
		return false
	}
	return model.storeSeen || !model.firstContact.IsZero() && now.Sub(model.firstContact) >= startupCollectTime
}
