package lwtmember

import (
	"math/rand/v2"
	"slices"
	"time"
)

// joinTime is the time after the start in which a daemon that hears of a
// higher boot number at its address takes a higher one itself. VM clocks may
// have gone back since the daemon before it started.
const joinTime = 30 * time.Second

// urgentMembers is the number of members that a daemon tells at once that it
// leaves, or that a claim about it is wrong.
const urgentMembers = 6

// Model is the membership as one daemon sees it. It is immutable: Update
// returns the next Model.
type Model struct {
	options  Options
	random   rand.PCG
	self     Member
	table    table
	queue    queue
	digests  digests
	own      Metadata
	peers    []string
	number   int64
	started  time.Time
	last     time.Time
	changed  time.Time
	lastAck  time.Time
	probe    probe
	order    []string
	relays   []relay
	sequence uint64
	replaced bool

	nextProbe, nextGossip, nextReconnect, nextSync, nextDigest, nextForget, nextTable time.Time
	// syncCursor is where the next page of other members' tables starts.
	syncCursor string
}

// New returns the membership of a daemon that knows of nobody else. Source
// gives the random numbers; two models must not share a seed.
func New(now time.Time, self Member, options Options, source rand.PCG) Model {
	return Model{
		options: options,
		random:  source,
		self:    self,
		own:     Metadata{Address: self.Address, Boot: self.Boot},
		started: now,
		last:    now,
		lastAck: now,
		queue:   queue{}.with(self),
	}
}

// Update returns the model after a message, and the commands to carry out.
func (model Model) Update(now time.Time, msg Msg) (Model, []Cmd) {
	step := &step{Model: model, now: now}
	switch msg := msg.(type) {
	case Tick:
		step.tick()
	case Received:
		step.receive(msg)
	case SetPeers:
		step.peers = slices.DeleteFunc(slices.Clone(msg.Addresses), func(address string) bool {
			return address == model.self.Address
		})
	case Leave:
		step.leave()
	case SetEntryAddress:
		step.self.EntryAddress = msg.Address
		step.refute(step.self)
	case SetRevision:
		step.number = max(step.number, msg.Revision)
	case SetMetadata:
		step.setValue(msg)
	}
	return step.Model, step.cmds
}

// Self returns the daemon's own record.
func (model Model) Self() Member { return model.self }

// Revision returns the highest configuration number heard of.
func (model Model) Revision() int64 { return model.number }

// Members returns the records of all members but the daemon itself, sorted by
// address.
func (model Model) Members() []Member {
	members := make([]Member, len(model.table.records))
	for i, record := range model.table.records {
		members[i] = record.Member
	}
	return members
}

// Member returns the record of a peer address.
func (model Model) Member(address string) (Member, bool) {
	record, found := model.table.get(address)
	return record.Member, found
}

// LiveCount returns the number of members that are not dead, with the daemon itself.
func (model Model) LiveCount() int { return model.table.live + 1 }

// Metadata returns the newest digest of a live member.
func (model Model) Metadata(address string) (Metadata, bool) {
	if address == model.self.Address {
		return model.own, true
	}
	index, found := model.digests.find(address)
	if !found {
		return Metadata{}, false
	}
	return model.digests[index].Metadata, true
}

// TableHash returns a hash that is equal for daemons that agree on who is alive.
func (model Model) TableHash() uint64 { return model.table.sum ^ model.self.hash() }

// step is one update in progress. It owns its Model.
type step struct {
	Model
	now  time.Time
	cmds []Cmd
}

func (step *step) emit(cmd Cmd) { step.cmds = append(step.cmds, cmd) }

func (step *step) intN(n int) int { return rand.New(&step.random).IntN(n) }

// jittered returns a time between 0.9 and 1.1 times an interval from now, so
// that daemons that start together do not act together.
func (step *step) jittered(interval time.Duration) time.Time {
	return step.now.Add(interval*9/10 + time.Duration(step.intN(int(interval/5)+1)))
}

func (step *step) tick() {
	gap := step.now.Sub(step.last)
	step.last = step.now
	if gap > step.options.PauseThreshold {
		step.resume(gap)
	}
	step.expireSuspects()
	step.expireRelays()
	step.stepProbe()
	step.reconnect()
	step.refreshDigest()
	step.gossip()
	step.forget()
}

// resume takes up work after a pause of the daemon itself. The silence of
// others during the pause says nothing about them, so their time to refute
// starts later, and the daemon denies at once what others may think of it.
func (step *step) resume(gap time.Duration) {
	step.emit(SelfPaused{Gap: gap})
	step.table = step.table.shifted(gap)
	step.lastAck = step.now
	step.probe = probe{}
	step.refute(step.self)
	step.announce()
}

// refute makes the daemon's own record supersede a claim about it.
func (step *step) refute(claim Member) {
	step.self.Incarnation = max(step.self.Incarnation, claim.Incarnation) + 1
	step.queue = step.queue.with(step.self)
	step.changed = step.now
}

// announce sends an update at once to a few members.
func (step *step) announce() {
	for _, address := range step.someLive(urgentMembers) {
		step.send(address, KindGossip, Gossip{})
	}
}

func (step *step) leave() {
	if step.self.Status == Leaving {
		return
	}
	step.self.Status = Leaving
	step.queue = step.queue.with(step.self)
	step.changed = step.now
	for _, address := range step.someLive(urgentMembers) {
		step.send(address, KindLeave, Gossip{})
	}
}

func (step *step) forget() {
	if step.now.Before(step.nextForget) {
		return
	}
	step.nextForget = step.jittered(time.Minute)
	step.table = step.table.without(func(record record) bool {
		return record.Status == Dead && step.now.Sub(record.since) > step.options.DeadRetention
	})
}

func (step *step) setValue(msg SetMetadata) {
	next := step.own.withValue(msg.Key, msg.Value)
	if next.valid() {
		step.own = next
	}
}

func (step *step) refreshDigest() {
	if len(step.own.Values) == 0 || step.now.Before(step.nextDigest) {
		return
	}
	step.nextDigest = step.jittered(MetadataInterval(step.LiveCount()))
	step.own.Boot = step.self.Boot
	step.own.Version++
	step.digests = step.digests.with(step.own)
}
