package lwtmember

import (
	"slices"
	"time"
)

// quietTime is the time without a change after which differing tables mean
// that an update was lost rather than under way.
const quietTime = 3 * time.Second

// joinPageMembers is the number of records in each message to a joining
// member.
const joinPageMembers = 24

func (step *step) receive(msg Received) {
	gossip := msg.Gossip
	if gossip.Revision > step.number {
		step.number = gossip.Revision
		step.emit(NewerRevisionKnown{Revision: gossip.Revision, From: msg.From})
	}
	for _, member := range gossip.Members {
		step.learn(member, !gossip.Page)
	}
	for _, digest := range gossip.Metadata {
		step.learnDigest(digest)
	}
	if gossip.ReceiverUnknown {
		step.queue = step.queue.with(step.self)
		step.send(msg.From, KindGossip, Gossip{})
	}
	step.answer(msg)
	step.synchronise(msg)
}

func (step *step) answer(msg Received) {
	switch msg.Kind {
	case KindPing:
		_, known := step.table.get(msg.From)
		step.send(msg.From, KindAck, Gossip{Sequence: msg.Gossip.Sequence, ReceiverUnknown: !known})
		if msg.Gossip.Join && !step.now.Before(step.nextTable) {
			// One table per interval; others who join ask another member.
			step.nextTable = step.now.Add(step.options.ProbeInterval)
			step.sendWholeTable(msg.From)
		}
	case KindPingReq:
		step.relayProbe(msg)
	case KindAck:
		step.acknowledge(msg)
	case KindGossip, KindLeave:
	}
	if msg.Gossip.RequestPage {
		members, next := step.page(msg.Gossip.PageCursor, step.options.MaxMessageMembers)
		step.emit(Send{To: msg.From, Kind: KindGossip, Gossip: Gossip{Members: members, Page: true, NextCursor: next}})
	}
	if msg.Gossip.Page {
		step.syncCursor = msg.Gossip.NextCursor
	}
}

func (step *step) relayProbe(msg Received) {
	if len(step.relays) >= maxRelays || msg.Gossip.Target == step.self.Address {
		return
	}
	step.sequence++
	step.relays = append(slices.Clone(step.relays), relay{
		requester: msg.From,
		theirs:    msg.Gossip.Sequence,
		ours:      step.sequence,
		until:     step.now.Add(step.options.ProbeInterval),
	})
	step.send(msg.Gossip.Target, KindPing, Gossip{Sequence: step.sequence})
}

func (step *step) acknowledge(msg Received) {
	if msg.Gossip.Sequence == 0 {
		return
	}
	if step.probe.target != "" && msg.Gossip.Sequence == step.probe.sequence {
		step.lastAck = step.now
		step.probe = probe{}
		return
	}
	for _, relay := range step.relays {
		if relay.ours == msg.Gossip.Sequence {
			step.send(relay.requester, KindAck, Gossip{Sequence: relay.theirs})
		}
	}
}

// learn takes a record that another member passed on. Records of a page are old
// to most and are not spread: a daemon that joins would else send the whole
// table many times over.
func (step *step) learn(member Member, spread bool) {
	if member.Address == step.self.Address {
		step.learnSelf(member)
		return
	}
	held, found := step.table.get(member.Address)
	if found && !member.Supersedes(held.Member) {
		return
	}
	if !found && !member.Live() {
		// A dead member that was never known is only kept off the table.
		return
	}
	changed := step.changed
	step.store(member)
	if spread {
		step.queue = step.queue.with(member)
		return
	}
	// Pages go on without the wait for updates under way.
	step.changed = changed
}

// learnSelf takes a record of the daemon's own address.
func (step *step) learnSelf(member Member) {
	switch {
	case member.Boot > step.self.Boot && step.now.Sub(step.started) < joinTime:
		step.self.Boot = member.Boot + 1
		step.queue = step.queue.with(step.self)
		step.changed = step.now
	case member.Boot > step.self.Boot && !step.replaced:
		step.replaced = true
		step.emit(SelfReplaced{By: member})
	case member.Boot == step.self.Boot && member.Supersedes(step.self):
		step.refute(member)
		step.announce()
	case step.self.Supersedes(member):
		// The sender missed the update about this daemon.
		step.queue = step.queue.with(step.self)
	}
}

func (step *step) learnDigest(digest Metadata) {
	record, found := step.table.get(digest.Address)
	if found && record.Live() && record.Boot == digest.Boot && digest.valid() {
		step.digests = step.digests.with(digest)
	}
}

// send sends a message with as many updates as fit. A member that is thought
// not to be plainly alive is told so, so that it can refute it.
func (step *step) send(to string, kind Kind, gossip Gossip) {
	gossip.Revision, gossip.TableHash = step.number, step.TableHash()
	gossip.Members, step.queue = step.queue.take(step.options.MaxMessageMembers, step.LiveCount())
	record, known := step.table.get(to)
	if known && record.Status != Alive && !holds(gossip.Members, to) {
		gossip.Members = append(gossip.Members, record.Member)
	}
	if (!known || !record.Live()) && !holds(gossip.Members, step.self.Address) {
		gossip.Members = append(gossip.Members, step.self)
	}
	if known && len(step.digests) > 0 {
		gossip.Metadata, step.digests = step.digests.take(step.options.MaxMessageMetadataBytes, step.intN(len(step.digests)))
	}
	step.emit(Send{To: to, Kind: kind, Gossip: gossip})
}

func holds(members []Member, address string) bool {
	return slices.ContainsFunc(members, func(member Member) bool { return member.Address == address })
}

func (step *step) sendWholeTable(to string) {
	for cursor, more := "", true; more; more = cursor != "" {
		var members []Member
		members, cursor = step.page(cursor, joinPageMembers)
		step.emit(Send{To: to, Kind: KindGossip, Gossip: Gossip{Members: members, Revision: step.number, Page: true}})
	}
}

// page returns a page of the table. The last one holds the daemon's own record
// too, which its table lacks.
func (step *step) page(after string, most int) (members []Member, next string) {
	members, next = step.table.page(after, most)
	if next == "" {
		members = append(members, step.self)
	}
	return members, next
}

// synchronise asks for a page of a table that differs from the daemon's own
// though nothing has changed for a while.
func (step *step) synchronise(msg Received) {
	if msg.Gossip.TableHash == 0 || msg.Gossip.TableHash == step.TableHash() || step.now.Before(step.nextSync) ||
		step.now.Sub(step.changed) < quietTime {
		return
	}
	step.nextSync = step.jittered(step.options.SyncInterval)
	step.send(msg.From, KindGossip, Gossip{RequestPage: true, PageCursor: step.syncCursor})
}

// gossip passes updates on to random members between probes.
func (step *step) gossip() {
	if len(step.queue) == 0 || step.now.Before(step.nextGossip) {
		return
	}
	step.nextGossip = step.jittered(step.options.GossipInterval)
	for range step.options.GossipFanout {
		if address, found := step.randomLive(""); found && len(step.queue) > 0 {
			step.send(address, KindGossip, Gossip{})
		}
	}
}
