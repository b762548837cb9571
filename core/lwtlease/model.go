package lwtlease

import (
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// Model is the view that one daemon has of the lease of one group. The zero
// Model is not usable; New returns one.
type Model struct {
	group   string
	self    string
	members []string
	// rank is the daemon's place among the members other than the holder.
	rank  int
	known bool
	row   Row
	// seen is when the row's version was first seen.
	seen    time.Time
	lease   Lease
	renewAt time.Time
	// pending is the request without an answer yet.
	pending request
	// lost is a commit whose answer was lost.
	lost      request
	lastID    int64
	lastWrite int64
	nextRead  time.Time
	// retryAt is the earliest time of the next request after a failed one.
	retryAt   time.Time
	failures  int
	ticked    time.Time
	releasing bool
	// floor is the fencing number that the next one must exceed.
	floor int64
}

type request struct {
	id     int64
	sent   time.Time
	commit bool
	row    Row
}

// New returns the model of a group's lease for a daemon that holds nothing.
// Self must be unique to this run of the daemon.
func New(group, self string) Model { return Model{group: group, self: self} }

// Lease returns the daemon's authority. It may have ended; see Lease.Valid.
func (model Model) Lease() Lease { return model.lease }

// Row returns the lease row as last seen, and whether it was ever read.
func (model Model) Row() (Row, bool) { return model.row, model.known }

// Released reports whether a release has been asked for and the daemon holds
// nothing.
func (model Model) Released() bool {
	return model.releasing && model.lost.id == 0 && !model.pending.commit && model.row.Holder != model.self
}

// Update processes one message. The now of the Update that returns a Commit is
// taken as the moment before the request is sent.
func (model Model) Update(now time.Time, msg Msg) (Model, []Cmd) {
	var cmds []Cmd
	if model.paused(now) {
		// What the daemon knew before the pause may be wrong: it acts again
		// only under a new fencing number.
		if model.lease.Fencing > 0 {
			cmds = append(cmds, LogLeaseChange{model.group, EventPaused, model.lease.Fencing})
		}
		model.lease, model.ticked = Lease{}, now
		model.floor = max(model.floor, model.row.Fencing)
	}
	next, more := model.process(now, msg)
	return next, append(cmds, more...)
}

func (model Model) process(now time.Time, msg Msg) (Model, []Cmd) {
	switch msg := msg.(type) {
	case SetMembers:
		model.members = msg.Names
		model.rank = model.currentRank()
	case RaiseFencing:
		model.floor = max(model.floor, msg.Above)
		return model.act(now)
	case Release:
		model.releasing = true
		return model.act(now)
	case RowRead:
		return model.rowRead(now, msg)
	case CommitResult:
		return model.committed(now, msg)
	case Tick:
		return model.tick(now)
	}
	return model, nil
}

func (model Model) tick(now time.Time) (Model, []Cmd) {
	var cmds []Cmd
	model.ticked = now
	if model.lease.Fencing > 0 && !model.lease.Valid(now) {
		cmds = append(cmds, LogLeaseChange{model.group, EventLost, model.lease.Fencing})
		model.lease = Lease{}
	}
	next, more := model.act(now)
	return next, append(cmds, more...)
}

func (model Model) paused(now time.Time) bool {
	if model.ticked.IsZero() {
		return false
	}
	late := max(now.Sub(model.ticked), now.Round(0).Sub(model.ticked.Round(0)))
	return late > TickInterval+PauseThreshold
}

// act sends the next request, if one is due.
func (model Model) act(now time.Time) (Model, []Cmd) {
	switch {
	case model.pending.id != 0 || now.Before(model.retryAt):
		return model, nil
	case model.lost.id != 0:
		return model.read(now)
	case model.row.Holder == model.self:
		return model.actAsHolder(now)
	case model.releasing || model.rank >= MaxCandidates:
		return model, nil
	case !model.known:
		return model.read(now)
	case model.ripe(now):
		return model.commit(now, model.self, model.nextFencing())
	case now.Before(model.nextRead):
		return model, nil
	}
	return model.read(now)
}

func (model Model) actAsHolder(now time.Time) (Model, []Cmd) {
	switch {
	case model.releasing:
		return model.commit(now, "", model.row.Fencing)
	case !model.lease.Valid(now) || model.row.Fencing <= model.floor:
		// Nobody else can have held the lease since, but each period of
		// authority has a fencing number of its own.
		return model.commit(now, model.self, model.nextFencing())
	case now.Before(model.renewAt):
		return model, nil
	}
	return model.commit(now, model.self, model.row.Fencing)
}

func (model Model) nextFencing() int64 { return max(model.row.Fencing, model.floor) + 1 }

// ripe reports whether a successor has seen the row unchanged for long enough.
func (model Model) ripe(now time.Time) bool {
	wait := time.Duration(model.rank) * RankDelay
	if model.row.Holder != "" {
		wait += AddClockDrift(model.row.TTL.Std())
	}
	return now.Sub(model.seen) >= wait
}

func (model Model) watchInterval() time.Duration {
	if model.rank == 0 {
		return WatchInterval
	}
	return StandbyInterval
}

func (model Model) read(now time.Time) (Model, []Cmd) {
	model.lastID++
	model.pending = request{id: model.lastID, sent: now}
	return model, []Cmd{ReadRow{model.group, model.lastID}}
}

func (model Model) commit(now time.Time, holder string, fencing int64) (Model, []Cmd) {
	model.lastID++
	model.lastWrite++
	row := Row{Holder: holder, Fencing: fencing, TTL: lwtdeclaredstate.Duration(TTL), WriteSequence: model.lastWrite}
	model.pending = request{id: model.lastID, sent: now, commit: true, row: row}
	if holder != model.self {
		model.lease = Lease{}
	}
	return model, []Cmd{Commit{model.group, model.lastID, model.row.Version, row}}
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
