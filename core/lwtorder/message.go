package lwtorder

import (
	"cmp"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtlease"
)

// Number orders the orders to an engine, first by fencing number.
type Number struct {
	Fencing  int64 `json:"fencing"`
	Sequence int64 `json:"sequence"`
}

// Compare returns -1, 0 or 1 as the number is lower, equal or higher.
func (number Number) Compare(other Number) int {
	return cmp.Or(cmp.Compare(number.Fencing, other.Fencing), cmp.Compare(number.Sequence, other.Sequence))
}

// Order tells an engine what to run. It names the whole content, so that
// repeating it changes nothing.
type Order struct {
	Number
	// Incarnation is the engine run that the order is meant for.
	Incarnation int64 `json:"incarnation"`
	Content
}

// State is what an engine says of itself.
type State struct {
	Incarnation int64
	Content     Content
	// Changing says that an order is being carried out.
	Changing bool
	// Running counts the streams that run or wait.
	Running int
	// Last is the number of the last order accepted.
	Last Number
}

// agrees reports whether two reads show the same state at rest.
func (state State) agrees(other State) bool {
	return !state.Changing && !other.Changing && state.Incarnation == other.Incarnation &&
		state.Last == other.Last && state.Content.Equal(other.Content)
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

// Declare gives the declared state in force.
type Declare struct{ State lwtdeclaredstate.State }

// Authority gives the daemon's lease of the group, empty if it has none.
type Authority struct{ Lease lwtlease.Lease }

// RoleWanted asks for a role that the engine's declaration permits. It holds
// until the next request or the end of the daemon's authority.
type RoleWanted struct {
	Engine string
	Role   lwtdeclaredstate.Role
}

// StateRead answers a ReadState.
type StateRead struct {
	Engine  string
	Attempt int64
	State   State
	// Failed says that no answer came.
	Failed bool
}

// HeadRead answers a ReadHead with the number of the table's newest state.
type HeadRead struct {
	Fencing int64
	Number  int64
	// Failed says that no answer came.
	Failed bool
}

// Ordered answers a SendOrder.
type Ordered struct {
	Engine  string
	Attempt int64
	Outcome Outcome
}

// Reserved answers a Reserve. Granted says that the rows were written and that
// after that another group's engine was seen serving each of the models.
type Reserved struct {
	Engine  string
	Attempt int64
	Models  []string
	Granted bool
}

// Freed answers a Free.
type Freed struct {
	Attempt int64
	// Failed says that rows may be left.
	Failed bool
}

// Stop asks to begin no more orders.
type Stop struct{}

func (Tick) orderMsg()       {}
func (Declare) orderMsg()    {}
func (Authority) orderMsg()  {}
func (RoleWanted) orderMsg() {}
func (StateRead) orderMsg()  {}
func (HeadRead) orderMsg()   {}
func (Ordered) orderMsg()    {}
func (Reserved) orderMsg()   {}
func (Freed) orderMsg()      {}
func (Stop) orderMsg()       {}

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
	Margin          time.Duration
}

// Reserve asks to write the reservation rows of the models for the group, to be
// answered by Reserved. While a group holds the reservation of a model, no
// other group may take its last copy of that model out of service.
type Reserve struct {
	Engine  string
	Attempt int64
	Group   string
	Fencing int64
	Models  []string
}

// Free asks to delete the reservation rows of the group that were written under
// the fencing number or an older one, to be answered by Freed. Until then the
// group reserves nothing, as a Free that is under way could delete the row.
type Free struct {
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

// Notice reports a change of phase for the log.
type Notice struct {
	Engine string
	Phase  Phase
	Reason string
}

func (ReadState) orderCmd()    {}
func (ReadHead) orderCmd()     {}
func (SendOrder) orderCmd()    {}
func (Reserve) orderCmd()      {}
func (Free) orderCmd()         {}
func (RaiseFencing) orderCmd() {}
func (MarkDraining) orderCmd() {}
func (Notice) orderCmd()       {}
