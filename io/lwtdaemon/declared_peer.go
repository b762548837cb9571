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
	// Send queues a message to a member. It does not wait for the member.
	Send(member, kind string, body any) error
	// Handle calls handle with the CBOR body of each message of a kind. Handle
	// must not block and must not keep the body.
	Handle(kind string, handle func(from string, body []byte))
	// Members returns the names of the live members, with or without this one.
	Members() []string
}

// Kinds of messages about the declared state.
const (
	kindTicketRequest = "ticket-request"
	kindTicketAnswer  = "ticket-answer"
)

// ticketRequest asks a peer for what follows a number.
type ticketRequest struct {
	After int64 `cbor:"after"`
	// OnlyNumber says that the number of the answer suffices.
	OnlyNumber bool `cbor:"only-number,omitempty"`
}

// ticketAnswer tells a peer the number held, asked or not.
type ticketAnswer struct {
	Number int64 `cbor:"number"`
	// Age is how long ago the number was known to be the newest. Clocks of
	// VMs are not compared, so no time of day is sent.
	Age *time.Duration `cbor:"age,omitempty"`
	// Records are tickets that the peer may lack.
	Records []lwtticket.Record `cbor:"records,omitempty"`
	// State stands for tickets that this daemon no longer holds.
	State *lwtdeclaredstate.State `cbor:"state,omitempty"`
}

// connect starts the exchange with peers.
func (declared *declared) connect(peers Peers) {
	declared.peers.Store(&peers)
	peers.Handle(kindTicketRequest, func(from string, body []byte) {
		var request ticketRequest
		if err := cbor.Unmarshal(body, &request); err != nil {
			lwtlog.Warn(declared.logger, "peer-message-malformed", "kind", kindTicketRequest, "from", from, "err", err)
			return
		}
		declared.heard(lwtstatesync.Asked{Member: from, After: request.After, OnlyRevision: request.OnlyNumber})
	})
	peers.Handle(kindTicketAnswer, func(from string, body []byte) {
		var answer ticketAnswer
		if err := cbor.Unmarshal(body, &answer); err != nil {
			lwtlog.Warn(declared.logger, "peer-message-malformed", "kind", kindTicketAnswer, "from", from, "err", err)
			return
		}
		declared.heard(answer.told(from, time.Now()))
	})
}

// peerNumber takes the number that another message of a peer carried.
func (declared *declared) peerNumber(member string, number int64) {
	declared.heard(lwtstatesync.Told{Member: member, Revision: number})
}

// heard passes on what a peer sent. A message that finds a full queue is
// dropped: peers repeat their numbers, and the store is polled.
func (declared *declared) heard(msg lwtstatesync.Msg) {
	if !declared.loop.Offer(msg) {
		lwtlog.Warn(declared.logger, "peer-message-dropped", "message", fmt.Sprintf("%T", msg))
	}
}

func (answer ticketAnswer) told(from string, now time.Time) lwtstatesync.Told {
	told := lwtstatesync.Told{Member: from, Revision: answer.Number, Records: answer.Records}
	if answer.Age != nil {
		told.AsOf = now.Add(-*answer.Age)
	}
	if answer.State != nil {
		state := answer.State.Indexed()
		told.State = &state
	}
	return told
}

func newTicketAnswer(number int64, asOf time.Time, records []lwtticket.Record) ticketAnswer {
	answer := ticketAnswer{Number: number, Records: records}
	if !asOf.IsZero() {
		age := time.Since(asOf)
		answer.Age = &age
	}
	return answer
}

// others returns the names of the other live daemons.
func (declared *declared) others() []string {
	peers := declared.peers.Load()
	if peers == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone((*peers).Members()), func(name string) bool { return name == declared.name })
}

func (declared *declared) send(member, kind string, body any) {
	peers := declared.peers.Load()
	if peers == nil {
		return
	}
	if err := (*peers).Send(member, kind, body); err != nil {
		lwtlog.Debug(declared.logger, "peer-send-failed", "kind", kind, "to", member, "err", err)
	}
}

func (declared *declared) ask(cmd lwtstatesync.Ask) {
	if cmd.Member != "" {
		declared.send(cmd.Member, kindTicketRequest, ticketRequest{After: cmd.After})
		return
	}
	for _, member := range declared.others() {
		declared.send(member, kindTicketRequest, ticketRequest{After: cmd.After, OnlyNumber: true})
	}
}

func (declared *declared) tell(cmd lwtstatesync.Tell) {
	members := declared.others()
	if cmd.Fanout > 0 && cmd.Fanout < len(members) {
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		members = members[:cmd.Fanout]
	}
	answer := newTicketAnswer(cmd.Revision, cmd.AsOf, cmd.Records)
	for _, member := range members {
		declared.send(member, kindTicketAnswer, answer)
	}
}

func (declared *declared) answer(cmd lwtstatesync.Answer) {
	answer := newTicketAnswer(cmd.Revision, cmd.AsOf, cmd.Records)
	answer.State = cmd.State
	declared.send(cmd.Member, kindTicketAnswer, answer)
}
