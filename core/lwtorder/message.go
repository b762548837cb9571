package lwtorder

import (
	"cmp"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtlease"
)

// OrderNumber is the position of an order in the sequence of all orders to an
// engine: by fencing number, then by sequence number.
type OrderNumber struct {
	Fencing  int64 `json:"fencing"`
	Sequence int64 `json:"sequence"`
}

// Compare returns -1, 0 or 1 if the number is lower than, equal to or higher
// than the other.
func (number OrderNumber) Compare(other OrderNumber) int {
	return cmp.Or(cmp.Compare(number.Fencing, other.Fencing), cmp.Compare(number.Sequence, other.Sequence))
}

// Order sets the configuration of an engine. It contains the complete
// configuration, so that it is idempotent.
type Order struct {
	OrderNumber
	// Incarnation is the engine process that the order is meant for.
	Incarnation int64 `json:"incarnation"`
	EngineConfig
}

// EngineState is the state that an engine reports.
type EngineState struct {
	Incarnation int64
	Config      EngineConfig
	// Reconfiguring says that the engine is executing an order.
	Reconfiguring bool
	// ActiveStreams is the number of running and waiting streams.
	ActiveStreams int
	// LastOrder is the number of the last accepted order.
	LastOrder OrderNumber
}

// agreesWith reports whether two reads show the same state and no order in
// progress.
func (state EngineState) agreesWith(other EngineState) bool {
	return !state.Reconfiguring && !other.Reconfiguring && state.Incarnation == other.Incarnation &&
		state.LastOrder == other.LastOrder && state.Config.Equal(other.Config)
}

// Outcome is the result of sending an order.
type Outcome string

// The outcomes of an order.
const (
	// OutcomeAccepted means that the engine has accepted the order and executes it.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeRefused means that the engine has rejected the order.
	OutcomeRefused Outcome = "refused"
	// OutcomeNotSent means that no part of the body was sent.
	OutcomeNotSent Outcome = "not-sent"
	// OutcomeUnknown means that at least part of the body was sent and no
	// response was received.
	OutcomeUnknown Outcome = "unknown"
)

// Msg is a message to a Model.
type Msg interface{ orderMsg() }

// Tick is sent every TickInterval.
type Tick struct{}

// DeclaredStateChanged carries the active declared state.
type DeclaredStateChanged struct{ State lwtdeclaredstate.State }

// LeaseChanged carries the daemon's lease of the group; the zero Lease if it has
// none.
type LeaseChanged struct{ Lease lwtlease.Lease }

// RoleRequested requests a role for an engine. A role that the engine's
// declaration doesn't permit is ignored. The request is valid until the next one
// for the engine or until the daemon acquires a new lease.
type RoleRequested struct {
	Engine string
	Role   lwtdeclaredstate.Role
}

// StateRead is the result of ReadState.
type StateRead struct {
	Engine  string
	Attempt int64
	State   EngineState
	// Failed says that no response was received.
	Failed bool
}

// HeadRead is the result of ReadHead: the newest revision in the table.
type HeadRead struct {
	Fencing  int64
	Revision int64
	// Failed says that no response was received.
	Failed bool
}

// OrderResult is the result of SendOrder.
type OrderResult struct {
	Engine  string
	Attempt int64
	Outcome Outcome
}

// ReserveResult is the result of ReserveModels.
type ReserveResult struct {
	Engine  string
	Attempt int64
	Models  []string
	// Granted says that the rows were written and that afterwards an engine of
	// another group was seen serving each of the models.
	Granted bool
}

// ReleaseResult is the result of ReleaseReservations.
type ReleaseResult struct {
	Attempt int64
	// Failed says that some rows may not have been deleted.
	Failed bool
}

// Stop ends the sending of new orders.
type Stop struct{}

func (Tick) orderMsg()                 {}
func (DeclaredStateChanged) orderMsg() {}
func (LeaseChanged) orderMsg()         {}
func (RoleRequested) orderMsg()        {}
func (StateRead) orderMsg()            {}
func (HeadRead) orderMsg()             {}
func (OrderResult) orderMsg()          {}
func (ReserveResult) orderMsg()        {}
func (ReleaseResult) orderMsg()        {}
func (Stop) orderMsg()                 {}

// Cmd is a command of a Model. The result of a command with an Attempt must have the
// same Attempt; results of earlier attempts are ignored.
type Cmd interface{ orderCmd() }

// ReadState reads an engine's state. Its result is StateRead.
type ReadState struct {
	Engine, Address string
	Attempt         int64
}

// ReadHead reads the newest revision of the declared state in the table. Its
// result is HeadRead.
type ReadHead struct{ Fencing int64 }

// SendOrder sends an order. Its result is OrderResult. The body may be sent only
// while the lease with the order's fencing number is valid for at least
// LeaseMargin.
type SendOrder struct {
	Engine, Address string
	Attempt         int64
	Order           Order
	LeaseMargin     time.Duration
}

// ReserveModels writes the reservation rows of the models for the group. Its
// result is ReserveResult. While a group holds the reservation of a model, no
// other group may take its last replica of that model out of service.
type ReserveModels struct {
	Engine  string
	Attempt int64
	Group   string
	Fencing int64
	Models  []string
}

// ReleaseReservations deletes the group's reservation rows that were written
// under this fencing number or an older one. Its result is ReleaseResult. Until
// that arrives the group reserves nothing, because the deletion in flight could
// delete a new row.
type ReleaseReservations struct {
	Group   string
	Attempt int64
	Fencing int64
}

// RaiseFencing requests a lease with a fencing number greater than Above,
// because an engine that checks fencing numbers has accepted an order with that
// number.
type RaiseFencing struct {
	Group string
	Above int64
}

// MarkDraining announces to the routers whether an engine is draining and gets
// no new requests.
type MarkDraining struct {
	Engine   string
	Draining bool
}

// LogPhaseChange logs a change of an engine's phase or reason.
type LogPhaseChange struct {
	Engine string
	Phase  Phase
	Reason string
}

func (ReadState) orderCmd()           {}
func (ReadHead) orderCmd()            {}
func (SendOrder) orderCmd()           {}
func (ReserveModels) orderCmd()       {}
func (ReleaseReservations) orderCmd() {}
func (RaiseFencing) orderCmd()        {}
func (MarkDraining) orderCmd()        {}
func (LogPhaseChange) orderCmd()      {}
