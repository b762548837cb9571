package lwtorder

import (
	"cmp"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtlease"
)

// OrderNumber orders the orders to an engine, first by fencing number.
type OrderNumber struct {
	Fencing  int64 `json:"fencing"`
	Sequence int64 `json:"sequence"`
}

// Compare returns -1, 0 or 1 as the number is lower, equal or higher.
func (number OrderNumber) Compare(other OrderNumber) int {
	return cmp.Or(cmp.Compare(number.Fencing, other.Fencing), cmp.Compare(number.Sequence, other.Sequence))
}

// Order tells an engine what to run. It names the whole content, so that
// repeating it changes nothing.
type Order struct {
	OrderNumber
	// Incarnation is the engine run that the order is meant for.
	Incarnation int64 `json:"incarnation"`
	EngineConfig
}

// EngineState is what an engine says of itself.
type EngineState struct {
	Incarnation int64
	Config      EngineConfig
	// Reconfiguring says that an order is being carried out.
	Reconfiguring bool
	// ActiveStreams counts the streams that run or wait.
	ActiveStreams int
	// LastOrder is the number of the last order accepted.
	LastOrder OrderNumber
}

// agrees reports whether two reads show the same state at rest.
func (state EngineState) agrees(other EngineState) bool {
	return !state.Reconfiguring && !other.Reconfiguring && state.Incarnation == other.Incarnation &&
		state.LastOrder == other.LastOrder && state.Config.Equal(other.Config)
}

// Outcome is how the sending of an order ended.
type Outcome string

// The outcomes of an order.
const (
	// OutcomeAccepted says that the engine answered that it carries it out.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeRefused says that the engine answered that it does not.
	OutcomeRefused Outcome = "refused"
	// OutcomeNotSent says that the body was not sent.
	OutcomeNotSent Outcome = "not-sent"
	// OutcomeUnknown says that the body was sent at least in part and no answer came.
	OutcomeUnknown Outcome = "unknown"
)

// Msg is a message to a Model.
type Msg interface{ orderMsg() }

// Tick comes every TickInterval.
type Tick struct{}

// DeclaredStateChanged gives the declared state in force.
type DeclaredStateChanged struct{ State lwtdeclaredstate.State }

// LeaseChanged gives the daemon's lease of the group, empty if it has none.
type LeaseChanged struct{ Lease lwtlease.Lease }

// RoleRequested asks for a role that the engine's declaration permits. It holds
// until the next request or the end of the daemon's authority.
type RoleRequested struct {
	Engine string
	Role   lwtdeclaredstate.Role
}

// StateRead answers a ReadState.
type StateRead struct {
	Engine  string
	Attempt int64
	State   EngineState
	// Failed says that no answer came.
	Failed bool
}

// HeadRead answers a ReadHead with the number of the table's newest state.
type HeadRead struct {
	Fencing  int64
	Revision int64
	// Failed says that no answer came.
	Failed bool
}

// OrderResult answers a SendOrder.
type OrderResult struct {
	Engine  string
	Attempt int64
	Outcome Outcome
}

// ReserveResult answers a Reserve. Granted says that the rows were written and that
// after that another group's engine was seen serving each of the models.
type ReserveResult struct {
	Engine  string
	Attempt int64
	Models  []string
	Granted bool
}

// ReleaseResult answers a Free.
type ReleaseResult struct {
	Attempt int64
	// Failed says that rows may be left.
	Failed bool
}

// Stop asks to begin no more orders.
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

// Cmd is a command of a Model.
type Cmd interface{ orderCmd() }

// ReadState asks for an engine's state, to be answered by StateRead.
type ReadState struct {
	Engine, Address string
	Attempt         int64
}

// ReadHead asks for the number of the newest declared state in the table, to be
// answered by HeadRead.
type ReadHead struct{ Fencing int64 }

// SendOrder asks to send an order, to be answered by Ordered. The body may be
// sent only while the lease with the order's fencing number lasts for Margin.
type SendOrder struct {
	Engine, Address string
	Attempt         int64
	Order           Order
	LeaseMargin     time.Duration
}

// ReserveModels asks to write the reservation rows of the models for the group, to be
// answered by Reserved. While a group holds the reservation of a model, no
// other group may take its last copy of that model out of service.
type ReserveModels struct {
	Engine  string
	Attempt int64
	Group   string
	Fencing int64
	Models  []string
}

// ReleaseReservations asks to delete the reservation rows of the group that were written under
// the fencing number or an older one, to be answered by Freed. Until then the
// group reserves nothing, as a Free that is under way could delete the row.
type ReleaseReservations struct {
	Group   string
	Attempt int64
	Fencing int64
}

// RaiseFencing asks for a lease with a fencing number above the given one,
// because an engine that checks fencing numbers has seen that one.
type RaiseFencing struct {
	Group string
	Above int64
}

// MarkDraining tells the routers whether an engine may get new work.
type MarkDraining struct {
	Engine   string
	Draining bool
}

// LogPhaseChange reports a change of phase for the log.
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
