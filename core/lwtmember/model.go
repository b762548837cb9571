package lwtmember

import (
	"math/rand/v2"
	"slices"
	"time"
)

// joinPeriod is the time after the start in which a daemon that receives a
// record of its address with a higher boot number raises its own above it. The
// VM's clock may have been set back since the previous daemon at the address
// started.
const joinPeriod = 30 * time.Second

// urgentFanout is the number of members to which a daemon sends an update about
// itself immediately: that it leaves, or a refutation.
const urgentFanout = 6

// Model is the membership as one daemon sees it. It is immutable: Update
// returns the next Model.
type Model struct {
	options       Options
	random        rand.PCG
	self          Member
	table         table
	queue         queue
	metadata      metadataSet
	ownMetadata   Metadata
	peers         []string
	revision      int64
	started       time.Time
	lastTick      time.Time
	lastChange    time.Time
	lastAck       time.Time
	probe         probe
	probeOrder    []string
	relayedProbes []relayedProbe
	sequence      uint64
	replaced      bool

	nextProbe, nextGossip, nextReconnect, nextSync, nextMetadata, nextPurge, nextTableSend time.Time
	// syncCursor is the address after which the next requested page of another
	// member's table starts.
	syncCursor string
}

// New returns the membership of a daemon that knows no other member. Source
// generates the random numbers; two models must not share a seed.
func New(now time.Time, self Member, options Options, source rand.PCG) Model {
	return Model{
		options:     options,
		random:      source,
		self:        self,
		ownMetadata: Metadata{Address: self.Address, Boot: self.Boot},
		started:     now,
		lastTick:    now,
		lastAck:     now,
		queue:       queue{}.with(self),
	}
}

// Update returns the model after a message, and the commands to execute.
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
		step.revision = max(step.revision, msg.Revision)
	case SetMetadata:
		step.setMetadata(msg)
	}
	return step.Model, step.cmds
}

// Self returns the daemon's own record.
func (model Model) Self() Member { return model.self }

// Revision returns the highest known revision of the declared state.
func (model Model) Revision() int64 { return model.revision }

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

// LiveCount returns the number of members that are not dead, including the
// daemon itself.
func (model Model) LiveCount() int { return model.table.liveCount + 1 }

// Metadata returns the latest metadata of a live member.
func (model Model) Metadata(address string) (Metadata, bool) {
	if address == model.self.Address {
		return model.ownMetadata, true
	}
	index, found := model.metadata.find(address)
	if !found {
		return Metadata{}, false
	}
	return model.metadata[index].Metadata, true
}

// TableHash returns a hash of the membership table. It is equal for daemons that
// agree on which members are alive.
func (model Model) TableHash() uint64 { return model.table.hash ^ model.self.hash() }

// step is an Update in progress. It owns its copy of the Model.
type step struct {
	Model
	now  time.Time
	cmds []Cmd
}

func (step *step) emit(cmd Cmd) { step.cmds = append(step.cmds, cmd) }

func (step *step) intN(n int) int { return rand.New(&step.random).IntN(n) }

// jittered returns a time between 0.9 and 1.1 times the interval from now, so
// that daemons that start together do not stay synchronized.
func (step *step) jittered(interval time.Duration) time.Time {
	return step.now.Add(interval*9/10 + time.Duration(step.intN(int(interval/5)+1)))
}

func (step *step) tick() {
	gap := step.now.Sub(step.lastTick)
	step.lastTick = step.now
	if gap > step.options.PauseThreshold {
		step.resumeAfterPause(gap)
	}
	step.expireSuspects()
	step.expireRelayedProbes()
	step.advanceProbe()
	step.reconnect()
	step.refreshMetadata()
	step.gossip()
	step.purgeDead()
}

// resumeAfterPause resumes after a pause of the daemon itself. Messages that are
// missing because of the pause say nothing about other members, so their suspicion
// timeouts are extended by it. Others may suspect this daemon, which therefore
// refutes immediately.
func (step *step) resumeAfterPause(gap time.Duration) {
	step.emit(SelfPaused{Gap: gap})
	step.table = step.table.withStatusTimesShifted(gap)
	step.lastAck = step.now
	step.probe = probe{}
	step.refute(step.self)
	step.announce()
}

// refute raises the daemon's refutation count, so that its own record supersedes the
// claim about it.
func (step *step) refute(claim Member) {
	step.self.Refutations = max(step.self.Refutations, claim.Refutations) + 1
	step.queue = step.queue.with(step.self)
	step.lastChange = step.now
}

// announce immediately sends the queued updates to urgentFanout members.
func (step *step) announce() {
	for _, address := range step.randomLiveMembers(urgentFanout) {
		step.send(address, KindGossip, Gossip{})
	}
}

// leave marks the daemon as leaving and sends that to urgentFanout members.
func (step *step) leave() {
	if step.self.Status == Leaving {
		return
	}
	step.self.Status = Leaving
	step.queue = step.queue.with(step.self)
	step.lastChange = step.now
	for _, address := range step.randomLiveMembers(urgentFanout) {
		step.send(address, KindLeave, Gossip{})
	}
}

// purgeDead removes members that have been dead for longer than DeadRetention.
func (step *step) purgeDead() {
	if step.now.Before(step.nextPurge) {
		return
	}
	step.nextPurge = step.jittered(time.Minute)
	step.table = step.table.without(func(record record) bool {
		return record.Status == Dead && step.now.Sub(record.statusSince) > step.options.DeadRetention
	})
}

func (step *step) setMetadata(msg SetMetadata) {
	next := step.ownMetadata.withValue(msg.Key, msg.Value)
	if next.valid() {
		step.ownMetadata = next
	}
}

// refreshMetadata publishes the daemon's metadata as a new version when the
// interval has passed.
func (step *step) refreshMetadata() {
	if len(step.ownMetadata.Values) == 0 || step.now.Before(step.nextMetadata) {
		return
	}
	step.nextMetadata = step.jittered(MetadataInterval(step.LiveCount()))
	step.ownMetadata.Boot = step.self.Boot
	step.ownMetadata.Version++
	step.metadata = step.metadata.with(step.ownMetadata)
}
