package lwtmember

import (
	"slices"
	"time"
)

// convergenceTime is the time without a change after which a differing table hash
// means that an update was lost rather than still in flight.
const convergenceTime = 3 * time.Second

// joinPageMembers is the number of records in each page sent to a joining member.
const joinPageMembers = 24

func (step *step) receive(msg Received) {
	gossip := msg.Gossip
	if gossip.Revision > step.revision {
		step.revision = gossip.Revision
		step.emit(NewerRevisionKnown{Revision: gossip.Revision, From: msg.From})
	}
	for _, member := range gossip.Members {
		step.mergeRecord(member, !gossip.Page)
	}
	for _, metadata := range gossip.Metadata {
		step.mergeMetadata(metadata)
	}
	if gossip.ReceiverUnknown {
		step.queue = step.queue.with(step.self)
		step.send(msg.From, KindGossip, Gossip{})
	}
	step.respond(msg)
	step.requestTablePage(msg)
}

// respond handles a ping, an indirect probe, an ack or a page request.
func (step *step) respond(msg Received) {
	switch msg.Kind {
	case KindPing:
		_, known := step.table.get(msg.From)
		step.send(msg.From, KindAck, Gossip{Sequence: msg.Gossip.Sequence, ReceiverUnknown: !known})
		if msg.Gossip.Join && !step.now.Before(step.nextTableSend) {
			// Send at most one table per interval. Other joining members ask
			// someone else.
			step.nextTableSend = step.now.Add(step.options.ProbeInterval)
			step.sendWholeTable(msg.From)
		}
	case KindPingReq:
		step.relayProbe(msg)
	case KindAck:
		step.handleAck(msg)
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

// relayProbe pings the target of an indirect probe for the requester.
func (step *step) relayProbe(msg Received) {
	if len(step.relayedProbes) >= maxRelayedProbes || msg.Gossip.Target == step.self.Address {
		return
	}
	step.sequence++
	step.relayedProbes = append(slices.Clone(step.relayedProbes), relayedProbe{
		requester:         msg.From,
		requesterSequence: msg.Gossip.Sequence,
		sequence:          step.sequence,
		expiresAt:         step.now.Add(step.options.ProbeInterval),
	})
	step.send(msg.Gossip.Target, KindPing, Gossip{Sequence: step.sequence})
}

func (step *step) handleAck(msg Received) {
	if msg.Gossip.Sequence == 0 {
		return
	}
	if step.probe.target != "" && msg.Gossip.Sequence == step.probe.sequence {
		step.lastAck = step.now
		step.probe = probe{}
		return
	}
	for _, relayed := range step.relayedProbes {
		if relayed.sequence == msg.Gossip.Sequence {
			step.send(relayed.requester, KindAck, Gossip{Sequence: relayed.requesterSequence})
		}
	}
}

// mergeRecord applies a member record from another daemon. Records of a page are
// not disseminated, because most members have them: a joining daemon would
// otherwise gossip the whole table many times.
func (step *step) mergeRecord(member Member, disseminate bool) {
	if member.Address == step.self.Address {
		step.mergeOwnRecord(member)
		return
	}
	current, found := step.table.get(member.Address)
	if found && !member.Supersedes(current.Member) {
		return
	}
	if !found && !member.Live() {
		// Ignore a dead member that is not in the table.
		return
	}
	lastChange := step.lastChange
	step.storeRecord(member)
	if disseminate {
		step.queue = step.queue.with(member)
		return
	}
	// A change from a page must not delay the request for the next page.
	step.lastChange = lastChange
}

// mergeOwnRecord handles a record of the daemon's own address.
func (step *step) mergeOwnRecord(member Member) {
	switch {
	case member.Boot > step.self.Boot && step.now.Sub(step.started) < joinPeriod:
		step.self.Boot = member.Boot + 1
		step.queue = step.queue.with(step.self)
		step.lastChange = step.now
	case member.Boot > step.self.Boot && !step.replaced:
		step.replaced = true
		step.emit(SelfReplaced{By: member})
	case member.Boot == step.self.Boot && member.Supersedes(step.self):
		step.refute(member)
		step.announce()
	case step.self.Supersedes(member):
		// The sender has an outdated record of this daemon.
		step.queue = step.queue.with(step.self)
	}
}

func (step *step) mergeMetadata(metadata Metadata) {
	record, found := step.table.get(metadata.Address)
	if found && record.Live() && record.Boot == metadata.Boot && metadata.valid() {
		step.metadata = step.metadata.with(metadata)
	}
}

// send sends a message with as many queued updates as fit. If the recipient is not
// alive in the table, the message includes its record, so that it can refute it.
// If the recipient is unknown or dead, the message includes the daemon's own
// record.
func (step *step) send(to string, kind Kind, gossip Gossip) {
	gossip.Revision, gossip.TableHash = step.revision, step.TableHash()
	gossip.Members, step.queue = step.queue.take(step.options.MaxMessageMembers, step.LiveCount())
	record, known := step.table.get(to)
	if known && record.Status != Alive && !containsAddress(gossip.Members, to) {
		gossip.Members = append(gossip.Members, record.Member)
	}
	if (!known || !record.Live()) && !containsAddress(gossip.Members, step.self.Address) {
		gossip.Members = append(gossip.Members, step.self)
	}
	if known && len(step.metadata) > 0 {
		gossip.Metadata, step.metadata = step.metadata.take(step.options.MaxMessageMetadataBytes,
			step.intN(len(step.metadata)))
	}
	step.emit(Send{To: to, Kind: kind, Gossip: gossip})
}

func containsAddress(members []Member, address string) bool {
	return slices.ContainsFunc(members, func(member Member) bool { return member.Address == address })
}

func (step *step) sendWholeTable(to string) {
	for cursor, more := "", true; more; more = cursor != "" {
		var members []Member
		members, cursor = step.page(cursor, joinPageMembers)
		step.emit(Send{To: to, Kind: KindGossip, Gossip: Gossip{Members: members, Revision: step.revision, Page: true}})
	}
}

// page returns a page of the table. The last page also holds the daemon's own
// record, which is not in its table.
func (step *step) page(after string, limit int) (members []Member, next string) {
	members, next = step.table.page(after, limit)
	if next == "" {
		members = append(members, step.self)
	}
	return members, next
}

// requestTablePage asks the sender for a page of its table if the table hashes
// differ and nothing has changed here for convergenceTime.
func (step *step) requestTablePage(msg Received) {
	if msg.Gossip.TableHash == 0 || msg.Gossip.TableHash == step.TableHash() || step.now.Before(step.nextSync) ||
		step.now.Sub(step.lastChange) < convergenceTime {
		return
	}
	step.nextSync = step.jittered(step.options.SyncInterval)
	step.send(msg.From, KindGossip, Gossip{RequestPage: true, PageCursor: step.syncCursor})
}

// gossip sends queued updates to random members between probes.
func (step *step) gossip() {
	if len(step.queue) == 0 || step.now.Before(step.nextGossip) {
		return
	}
	step.nextGossip = step.jittered(step.options.GossipInterval)
	for range step.options.GossipFanout {
		if address, found := step.randomLiveMember(""); found && len(step.queue) > 0 {
			step.send(address, KindGossip, Gossip{})
		}
	}
}
