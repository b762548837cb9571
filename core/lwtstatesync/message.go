package lwtstatesync

import (
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtticket"
)

// Msg is a message to a Model: Tick, HeadRead, HeadReadFailed, StoreRead,
// StoreReadFailed, Told, Asked or TicketAccepted.
type Msg any

// Messages to a Model.
type (
	// Tick is sent periodically, several times per minimum poll interval.
	Tick struct {
		// MemberCount is the number of live daemons, this one included.
		MemberCount int
		// Random is uniform in [0, 1).
		Random float64
	}
	// HeadRead is the result of ReadHead: the store's head at a time not before
	// SentAt. The zero Head means that no ticket was accepted yet.
	HeadRead struct {
		Head   lwtticket.Head
		SentAt time.Time
	}
	// HeadReadFailed says that the store did not respond to ReadHead.
	HeadReadFailed struct{}
	// StoreRead is the result of ReadStore.
	StoreRead struct {
		Snapshot *lwtdeclaredstate.State
		Records  []lwtticket.Record
	}
	// StoreReadFailed says that the store did not respond to ReadStore.
	StoreReadFailed struct{}
	// Told is a peer's announcement of its revision, sent by Tell or Answer. It
	// may include records or a state.
	Told struct {
		Member   string
		Revision int64
		// AsOf is a time at which Revision was known to be the newest; zero if
		// there is none.
		AsOf    time.Time
		Records []lwtticket.Record
		State   *lwtdeclaredstate.State
	}
	// Asked is a peer's request, sent by Ask.
	Asked struct {
		Member string
		// After is the peer's revision.
		After int64
		// OnlyRevision says that the peer requests no tickets.
		OnlyRevision bool
	}
	// TicketAccepted is a ticket that this daemon committed to the store.
	TicketAccepted struct {
		Head   lwtticket.Head
		Record lwtticket.Record
	}
)

// Cmd is a command of a Model: ReadHead, ReadStore, Ask, Tell, Answer or Activate.
// Commands are executed in order.
type Cmd any

// Commands of a Model.
type (
	// ReadHead reads the head from the store.
	ReadHead struct{}
	// ReadStore reads a snapshot and tickets from the store.
	ReadStore struct{ Plan lwtticket.CatchUpPlan }
	// Ask requests from a peer the tickets after a revision. An empty Member
	// requests from all peers, and only their revisions.
	Ask struct {
		Member string
		After  int64
	}
	// Tell announces this daemon's revision to peers, with the records of tickets
	// if there are any.
	Tell struct {
		// Fanout is the number of randomly chosen peers; 0 means all.
		Fanout   int
		Revision int64
		AsOf     time.Time
		Records  []lwtticket.Record
	}
	// Answer sends one peer this daemon's revision and what the peer lacks:
	// either records or the whole state.
	Answer struct {
		Member   string
		Revision int64
		AsOf     time.Time
		Records  []lwtticket.Record
		State    *lwtdeclaredstate.State
	}
	// Activate makes a state the active one of this daemon.
	Activate struct{ State lwtdeclaredstate.State }
)
