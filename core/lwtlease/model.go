package lwtlease

import (
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// Model is one daemon's state of the lease of one group. Use New to create one;
// the zero Model is not usable.
type Model struct {
	group   string
	self    string
	members []string
	// handover is the minimum time between a release of the lease, as this daemon saw it, and its
	// acquisition.
	handover time.Duration
	// rank is the daemon's rank among the members other than the holder.
	rank     int
	rowKnown bool
	row      Row
	// rowSeenAt is when the row's version was first seen.
	rowSeenAt time.Time
	lease     Lease
	renewAt   time.Time
	// pending is the request in flight. Its id is 0 if there is none.
	pending request
	// unknownCommit is a commit whose response was lost. The next read of the row
	// shows whether it took effect.
	unknownCommit     request
	lastRequestID     int64
	lastWriteSequence int64
	nextRead          time.Time
	// retryAt is the earliest time of the next request after a failed one.
	retryAt   time.Time
	failures  int
	lastTick  time.Time
	releasing bool
	// fencingFloor is the fencing number that the next one must exceed.
	fencingFloor int64
}

type request struct {
	id       int64
	sent     time.Time
	isCommit bool
	row      Row
}

// New returns the model of a group's lease for a daemon that does not hold it. Self
// is the daemon's Row.Holder and must be unique to this process.
func New(group, self string) Model { return Model{group: group, self: self} }

// Lease returns the daemon's lease. It may have expired; see Lease.Valid.
func (model Model) Lease() Lease { return model.lease }

// Row returns the lease row as last read, and whether it was ever read.
func (model Model) Row() (Row, bool) { return model.row, model.rowKnown }

// Released reports whether a release was requested and the daemon no longer holds
// the lease.
func (model Model) Released() bool {
	return model.releasing && model.unknownCommit.id == 0 && !model.pending.isCommit && model.row.Holder != model.self
}

// Update returns the model after a message, and the commands to execute. The now of
// the Update that returns a Commit counts as the moment before the request is
// sent.
func (model Model) Update(now time.Time, msg Msg) (Model, []Cmd) {
	var cmds []Cmd
	if model.paused(now) {
		// The state from before the pause may be outdated, so the daemon needs a
		// new fencing number before it acts again.
		if model.lease.Fencing > 0 {
			cmds = append(cmds, LogLeaseChange{model.group, EventDroppedAfterPause, model.lease.Fencing})
		}
		model.lease, model.lastTick = Lease{}, now
		model.fencingFloor = max(model.fencingFloor, model.row.Fencing)
	}
	next, more := model.process(now, msg)
	return next, append(cmds, more...)
}

func (model Model) process(now time.Time, msg Msg) (Model, []Cmd) {
	switch msg := msg.(type) {
	case SetMembers:
		model.members = msg.Names
		model.rank = model.currentRank()
	case SetHandover:
		model.handover = msg.Minimum
	case RaiseFencing:
		model.fencingFloor = max(model.fencingFloor, msg.Above)
		return model.sendNextRequest(now)
	case Release:
		model.releasing = true
		return model.sendNextRequest(now)
	case RowRead:
		return model.handleRowRead(now, msg)
	case CommitResult:
		return model.handleCommitResult(now, msg)
	case Tick:
		return model.tick(now)
	}
	return model, nil
}

func (model Model) tick(now time.Time) (Model, []Cmd) {
	var cmds []Cmd
	model.lastTick = now
	if model.lease.Fencing > 0 && !model.lease.Valid(now) {
		cmds = append(cmds, LogLeaseChange{model.group, EventLost, model.lease.Fencing})
		model.lease = Lease{}
	}
	next, more := model.sendNextRequest(now)
	return next, append(cmds, more...)
}

func (model Model) paused(now time.Time) bool {
	if model.lastTick.IsZero() {
		return false
	}
	delay := max(now.Sub(model.lastTick), now.Round(0).Sub(model.lastTick.Round(0)))
	return delay > TickInterval+PauseThreshold
}

// sendNextRequest sends the next request if one is due.
func (model Model) sendNextRequest(now time.Time) (Model, []Cmd) {
	switch {
	case model.pending.id != 0 || now.Before(model.retryAt):
		return model, nil
	case model.unknownCommit.id != 0:
		return model.readRow(now)
	case model.row.restored() && model.lease.Valid(now) && !model.releasing:
		// The holder in the older copy, whoever it is, cannot have the lease now.
		return model.commitRow(now, model.self, model.nextFencing())
	case model.row.Holder == model.self && !model.row.restored():
		return model.sendHolderRequest(now)
	case model.releasing || model.rank >= MaxCandidates:
		return model, nil
	case !model.rowKnown:
		return model.readRow(now)
	case model.canTakeOver(now):
		return model.commitRow(now, model.self, model.nextFencing())
	case now.Before(model.nextRead):
		return model, nil
	}
	return model.readRow(now)
}

func (model Model) sendHolderRequest(now time.Time) (Model, []Cmd) {
	switch {
	case model.releasing:
		return model.commitRow(now, "", model.row.Fencing)
	case !model.lease.Valid(now) || model.row.Fencing <= model.fencingFloor:
		// No other daemon can have held the lease in between, but each grant of
		// the lease has its own fencing number.
		return model.commitRow(now, model.self, model.nextFencing())
	case now.Before(model.renewAt):
		return model, nil
	}
	return model.commitRow(now, model.self, model.row.Fencing)
}

// nextFencing returns a fencing number above all that were ever used. After a restore, the row may
// not have the last of them, so each era has numbers of its own.
func (model Model) nextFencing() int64 {
	eraFloor := max(model.row.StoreEra-firstEra, 0) * fencingPerEra
	return max(model.row.Fencing, model.fencingFloor, eraFloor) + 1
}

// canTakeOver reports whether this daemon has seen the row unchanged for long enough
// to take over the lease.
func (model Model) canTakeOver(now time.Time) bool {
	wait := time.Duration(model.rank) * RankDelay
	switch {
	case model.row.restored():
		// Another daemon may have been granted the lease after the copy.
		wait += AddClockDrift(max(model.row.TTL.Std(), TTL))
	case model.row.Holder != "":
		wait += AddClockDrift(model.row.TTL.Std())
	case model.row.Version > 0:
		wait += AddClockDrift(model.handover)
	}
	return now.Sub(model.rowSeenAt) >= wait
}

func (model Model) watchInterval() time.Duration {
	if model.rank == 0 {
		return WatchInterval
	}
	return StandbyInterval
}

func (model Model) readRow(now time.Time) (Model, []Cmd) {
	model.lastRequestID++
	model.pending = request{id: model.lastRequestID, sent: now}
	return model, []Cmd{ReadRow{model.group, model.lastRequestID}}
}

func (model Model) commitRow(now time.Time, holder string, fencing int64) (Model, []Cmd) {
	model.lastRequestID++
	model.lastWriteSequence++
	row := Row{
		Holder: holder, Fencing: fencing, TTL: lwtdeclaredstate.Duration(TTL), WriteSequence: model.lastWriteSequence,
		Era: model.row.StoreEra,
	}
	model.pending = request{id: model.lastRequestID, sent: now, isCommit: true, row: row}
	if holder != model.self {
		model.lease = Lease{}
	}
	return model, []Cmd{Commit{model.group, model.lastRequestID, model.row.Version, row}}
}

func (model Model) currentRank() int {
	others := make([]string, 0, len(model.members))
	for _, name := range model.members {
		if name != model.row.Holder {
			others = append(others, name)
		}
	}
	return Rank(model.group, model.self, others)
}
