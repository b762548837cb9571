package lwtdaemon

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtstatesync"
	"lacewingtide/core/lwtticket"
	"lacewingtide/io/lwtlog"
)

// Peers exchanges messages with the other live daemons.
type Peers interface {
	// Send queues a message to a member and does not block.
	Send(member, kind string, body any) error
	// Handle registers a function that is called with the CBOR body of each message
	// of a kind. The function must not block and must not retain the body.
	Handle(kind string, handle func(from string, body []byte))
	// Members returns the names of the live members. It may include this daemon.
	Members() []string
}

// Kinds of messages that synchronize the declared state.
const (
	kindTicketRequest = "ticket-request"
	kindTicketAnswer  = "ticket-answer"
)

// ticketRequest requests the tickets after a revision from a peer.
type ticketRequest struct {
	After int64 `cbor:"after"`
	// OnlyRevision requests only the peer's revision, without tickets.
	OnlyRevision bool `cbor:"only-number,omitempty"`
}

// ticketAnswer sends a peer the revision that this daemon has, either as the answer
// to a ticketRequest or unrequested.
type ticketAnswer struct {
	Revision int64 `cbor:"number"`
	// Age is how long ago the revision was known to be the latest. It is a duration
	// and not a time because the clocks of VMs may differ.
	Age *time.Duration `cbor:"age,omitempty"`
	// Records contains tickets that the peer may lack.
	Records []lwtticket.Record `cbor:"records,omitempty"`
	// State is the complete state. It is sent in place of tickets that this daemon no
	// longer has.
	State *lwtdeclaredstate.State `cbor:"state,omitempty"`
}

// connect starts the exchange of messages with the peers.
func (syncer *stateSyncer) connect(peers Peers) {
	syncer.peers.Store(&peers)
	peers.Handle(kindTicketRequest, func(from string, body []byte) {
		var request ticketRequest
		if err := cbor.Unmarshal(body, &request); err != nil {
			lwtlog.Warn(syncer.logger, "peer-message-malformed", "kind", kindTicketRequest, "from", from, "err", err)
			return
		}
		syncer.offer(lwtstatesync.Asked{Member: from, After: request.After, OnlyRevision: request.OnlyRevision})
	})
	peers.Handle(kindTicketAnswer, func(from string, body []byte) {
		var answer ticketAnswer
		if err := cbor.Unmarshal(body, &answer); err != nil {
			lwtlog.Warn(syncer.logger, "peer-message-malformed", "kind", kindTicketAnswer, "from", from, "err", err)
			return
		}
		syncer.offer(answer.toTold(from, time.Now()))
	})
}

// peerRevision passes a peer's revision that was learned from the membership to the
// model.
func (syncer *stateSyncer) peerRevision(member string, revision int64) {
	syncer.offer(lwtstatesync.Told{Member: member, Revision: revision})
}

// offer queues a message from a peer for the model. If the queue is full, the message
// is dropped. This is safe because peers repeat their revisions and the store is
// polled.
func (syncer *stateSyncer) offer(msg lwtstatesync.Msg) {
	if !syncer.loop.TrySend(msg) {
		lwtlog.Warn(syncer.logger, "peer-message-dropped", "message", fmt.Sprintf("%T", msg))
	}
}

func (answer ticketAnswer) toTold(from string, now time.Time) lwtstatesync.Told {
	told := lwtstatesync.Told{Member: from, Revision: answer.Revision, Records: answer.Records}
	if answer.Age != nil {
		told.AsOf = now.Add(-*answer.Age)
	}
	if answer.State != nil {
		state := answer.State.Indexed()
		told.State = &state
	}
	return told
}

func newTicketAnswer(revision int64, asOf time.Time, records []lwtticket.Record) ticketAnswer {
	answer := ticketAnswer{Revision: revision, Records: records}
	if !asOf.IsZero() {
		age := time.Since(asOf)
		answer.Age = &age
	}
	return answer
}

// otherMembers returns the names of the other live daemons.
func (syncer *stateSyncer) otherMembers() []string {
	peers := syncer.peers.Load()
	if peers == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone((*peers).Members()), func(name string) bool { return name == syncer.name })
}

func (syncer *stateSyncer) send(member, kind string, body any) {
	peers := syncer.peers.Load()
	if peers == nil {
		return
	}
	if err := (*peers).Send(member, kind, body); err != nil {
		lwtlog.Debug(syncer.logger, "peer-send-failed", "kind", kind, "to", member, "err", err)
	}
}

func (syncer *stateSyncer) request(cmd lwtstatesync.Ask) {
	if cmd.Member != "" {
		syncer.send(cmd.Member, kindTicketRequest, ticketRequest{After: cmd.After})
		return
	}
	for _, member := range syncer.otherMembers() {
		syncer.send(member, kindTicketRequest, ticketRequest{After: cmd.After, OnlyRevision: true})
	}
}

func (syncer *stateSyncer) announce(cmd lwtstatesync.Tell) {
	members := syncer.otherMembers()
	if cmd.Fanout > 0 && cmd.Fanout < len(members) {
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		members = members[:cmd.Fanout]
	}
	answer := newTicketAnswer(cmd.Revision, cmd.AsOf, cmd.Records)
	for _, member := range members {
		syncer.send(member, kindTicketAnswer, answer)
	}
}

func (syncer *stateSyncer) reply(cmd lwtstatesync.Answer) {
	answer := newTicketAnswer(cmd.Revision, cmd.AsOf, cmd.Records)
	answer.State = cmd.State
	syncer.send(cmd.Member, kindTicketAnswer, answer)
}
