package lwtlease

import "time"

func (model Model) handleRowRead(now time.Time, msg RowRead) (Model, []Cmd) {
	if msg.RequestID != model.pending.id {
		return model, nil
	}
	model.pending = request{}
	if msg.Failed {
		return model.withBackoff(now), nil
	}
	model.failures = 0
	model.nextRead = now.Add(model.watchInterval())
	next, cmds := model.applyRow(now, msg.Row)
	acted, more := next.sendNextRequest(now)
	return acted, append(cmds, more...)
}

func (model Model) handleCommitResult(now time.Time, msg CommitResult) (Model, []Cmd) {
	if msg.RequestID != model.pending.id {
		return model, nil
	}
	sent := model.pending
	model.pending = request{}
	if msg.Failed {
		// Reading the row will show whether the write took effect.
		model.unknownCommit = sent
		return model.withBackoff(now), nil
	}
	model.failures = 0
	if !msg.Conflict {
		model.unknownCommit = sent
	}
	model.nextRead = now.Add(model.watchInterval())
	return model.applyRow(now, msg.Row)
}

// withBackoff delays the next request, longer after each consecutive failure.
func (model Model) withBackoff(now time.Time) Model {
	delay := min(maxBackoff, firstBackoff<<min(model.failures, 8))
	model.failures++
	delay += time.Duration(jitter(model.group, model.self, model.failures) * float64(delay) / 2)
	model.retryAt = now.Add(delay)
	return model
}

// applyRow updates the model from the current row in the store.
func (model Model) applyRow(now time.Time, row Row) (Model, []Cmd) {
	commit := model.unknownCommit
	model.unknownCommit = request{}
	if !model.rowKnown || row.Version != model.row.Version || row.StoreEra != model.row.StoreEra {
		model.rowSeenAt = now
	}
	holderChanged := !model.rowKnown || row.Holder != model.row.Holder
	model.rowKnown, model.row = true, row
	if holderChanged {
		model.rank = model.currentRank()
	}
	isHolder := row.Holder == model.self
	// A write whose condition held in the restored store too was made without knowing of what the
	// store has lost.
	if isHolder && commit.isCommit && !row.restored() && row.WriteSequence == commit.row.WriteSequence &&
		row.Fencing == commit.row.Fencing {
		return model.withLease(now, commit.sent)
	}
	if commit.isCommit && commit.row.Holder == "" && row.Holder == "" {
		return model, []Cmd{LogLeaseChange{model.group, EventReleased, row.Fencing}}
	}
	if model.lease.Fencing > 0 && !row.restored() && (!isHolder || row.Fencing != model.lease.Fencing) {
		fencing := model.lease.Fencing
		model.lease = Lease{}
		return model, []Cmd{LogLeaseChange{model.group, EventLost, fencing}}
	}
	return model, nil
}

// withLease grants the lease, counted from the moment before its write was sent. The
// time of the response does not show when a successor first read the write.
func (model Model) withLease(now, sent time.Time) (Model, []Cmd) {
	before := model.lease
	model.lease = Lease{
		Group: model.group, Holder: model.self, Fencing: model.row.Fencing,
		Until: sent.Add(subtractClockDrift(model.row.TTL.Std())),
	}
	model.renewAt = sent.Add(RenewInterval)
	switch {
	case !model.lease.Valid(now) || model.row.Fencing <= model.fencingFloor:
		model.lease = Lease{}
		return model, nil
	case before.Fencing == model.lease.Fencing:
		return model, nil
	}
	return model, []Cmd{LogLeaseChange{model.group, EventGranted, model.lease.Fencing}}
}
