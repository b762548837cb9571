package lwtlease

import "time"

func (model Model) rowRead(now time.Time, msg RowRead) (Model, []Cmd) {
	if msg.RequestID != model.pending.id {
		return model, nil
	}
	model.pending = request{}
	if msg.Failed {
		return model.failed(now), nil
	}
	model.failures = 0
	model.nextRead = now.Add(model.watchInterval())
	next, cmds := model.observe(now, msg.Row)
	acted, more := next.act(now)
	return acted, append(cmds, more...)
}

func (model Model) committed(now time.Time, msg CommitResult) (Model, []Cmd) {
	if msg.RequestID != model.pending.id {
		return model, nil
	}
	sent := model.pending
	model.pending = request{}
	if msg.Failed {
		// Whether the write took effect is learned by reading the row.
		model.lost = sent
		return model.failed(now), nil
	}
	model.failures = 0
	if !msg.Conflict {
		model.lost = sent
	}
	model.nextRead = now.Add(model.watchInterval())
	return model.observe(now, msg.Row)
}

// failed delays the next request, longer after each failure in a row.
func (model Model) failed(now time.Time) Model {
	wait := min(maxBackoff, firstBackoff<<min(model.failures, 8))
	model.failures++
	wait += time.Duration(jitter(model.group, model.self, model.failures) * float64(wait) / 2)
	model.retryAt = now.Add(wait)
	return model
}

// observe takes in the row as the store holds it.
func (model Model) observe(now time.Time, row Row) (Model, []Cmd) {
	lost := model.lost
	model.lost = request{}
	if !model.known || row.Version != model.row.Version {
		model.seen = now
	}
	holderChanged := !model.known || row.Holder != model.row.Holder
	model.known, model.row = true, row
	if holderChanged {
		model.rank = model.currentRank()
	}
	own := row.Holder == model.self
	if own && lost.commit && row.WriteSequence == lost.row.WriteSequence && row.Fencing == lost.row.Fencing {
		return model.granted(now, lost.sent)
	}
	if lost.commit && lost.row.Holder == "" && row.Holder == "" {
		return model, []Cmd{LogLeaseChange{model.group, EventReleased, row.Fencing}}
	}
	if model.lease.Fencing > 0 && (!own || row.Fencing != model.lease.Fencing) {
		fencing := model.lease.Fencing
		model.lease = Lease{}
		return model, []Cmd{LogLeaseChange{model.group, EventLost, fencing}}
	}
	return model, nil
}

// granted computes the lease from the moment before its write was sent. The
// time of the answer says nothing about when a successor saw the write.
func (model Model) granted(now, sent time.Time) (Model, []Cmd) {
	before := model.lease
	model.lease = Lease{
		Group: model.group, Holder: model.self, Fencing: model.row.Fencing,
		Until: sent.Add(lessDrift(model.row.TTL.Std())),
	}
	model.renewAt = sent.Add(RenewInterval)
	switch {
	case !model.lease.Valid(now) || model.row.Fencing <= model.floor:
		model.lease = Lease{}
		return model, nil
	case before.Fencing == model.lease.Fencing:
		return model, nil
	}
	return model, []Cmd{LogLeaseChange{model.group, EventGranted, model.lease.Fencing}}
}
