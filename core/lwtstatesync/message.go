package lwtstatesync

import (
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtticket"
)

// Msg is an event that a Model learns of: Tick, HeadRead, HeadFailed, Loaded,
// LoadFailed, Told, Asked or Accepted.
type Msg any

// Messages to a Model.
type (
	// Tick tells the time. It comes several times per shortest interval.
	Tick struct {
		// MemberCount is the number of live daemons, this one included.
		MemberCount int
		// Random is uniform in [0, 1).
		Random float64
	}
	// HeadRead is the head that the store held at a time not before Sent.
	// The zero Head means that no ticket was accepted yet.
	HeadRead struct {
		Head   lwtticket.Head
		SentAt time.Time
	}
	// HeadReadFailed tells that the store did not answer ReadHead.
	HeadReadFailed struct{}
	// StoreRead holds what ReadStore asked for.
	StoreRead struct {
		Snapshot *lwtdeclaredstate.State
		Records  []lwtticket.Record
	}
	// StoreReadFailed tells that the store did not answer ReadStore.
	StoreReadFailed struct{}
	// Told is what a peer holds.
	Told struct {
		Member   string
		Revision int64
		// AsOf is a time at which Number was the newest one; zero when the
		// peer does not know one.
		AsOf    time.Time
		Records []lwtticket.Record
		State   *lwtdeclaredstate.State
	}
	// Asked is a peer's question.
	Asked struct {
		Member string
		// After is the number that the peer holds.
		After int64
		// OnlyRevision says that the peer wants no tickets yet.
		OnlyRevision bool
	}
	// TicketAccepted is a ticket that this daemon took to the store.
	TicketAccepted struct {
		Head   lwtticket.Head
		Record lwtticket.Record
	}
)

// Cmd is a command of a Model: ReadHead, ReadStore, Ask, Tell, Answer or Force.
// Commands are carried out in order.
type Cmd any

// Commands of a Model.
type (
	// ReadHead reads the head from the store.
	ReadHead struct{}
	// ReadStore reads a snapshot and tickets from the store.
	ReadStore struct{ Plan lwtticket.CatchUpPlan }
	// Ask asks a peer for what follows a number. An empty member means all
	// peers and only their numbers.
	Ask struct {
		Member string
		After  int64
	}
	// Tell tells peers the number held, and the records if there are any.
	Tell struct {
		// Fanout is the number of peers, chosen at random; 0 means all.
		Fanout   int
		Revision int64
		AsOf     time.Time
		Records  []lwtticket.Record
	}
	// Answer tells one peer the number held and what it lacks.
	Answer struct {
		Member   string
		Revision int64
		AsOf     time.Time
		Records  []lwtticket.Record
		State    *lwtdeclaredstate.State
	}
	// Activate puts a state in force in this daemon.
	Activate struct{ State lwtdeclaredstate.State }
)
