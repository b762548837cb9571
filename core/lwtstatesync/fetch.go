package lwtstatesync

import (
	"slices"
	"time"
)

// fetchNext starts the retrieval of missing tickets: from a peer that holds the
// newest number, which spares the store, else from the store. After a failure
// the next source in turn is tried.
func (model Model) fetchNext(now time.Time) (Model, []Cmd) {
	if model.fetch.active || model.state.Revision >= model.target || now.Before(model.fetch.next) {
		return model, nil
	}
	switch {
	case len(model.informed) > 0:
		model.fetch.member = model.informed[0]
		model.fetch.active, model.fetch.began = true, now
		return model, []Cmd{Ask{Member: model.fetch.member, After: model.state.Revision}}
	case model.head.Revision > model.state.Revision:
		model.fetch.member = ""
		model.fetch.active, model.fetch.began = true, now
		return model, []Cmd{ReadStore{model.head.CatchUpFrom(model.state.Revision)}}
	}
	// Only a peer that did not answer knows the target: the next tick reads
	// the head, and peers that hold the target tell it again.
	model.nextPoll = minTime(model.nextPoll, now.Add(retryWait))
	model.fetch.next = now.Add(retryWait)
	return model, nil
}

// fetched ends the retrieval. A peer that gave nothing is asked no more for
// this number unless it tells the number again.
func (model Model) fetched(now time.Time, advanced bool) Model {
	model.fetch.active = false
	if advanced {
		model.fetch.next = now
		return model
	}
	if member := model.fetch.member; member != "" {
		model.informed = slices.DeleteFunc(slices.Clone(model.informed), func(other string) bool { return other == member })
		return model
	}
	model.fetch.next = now.Add(retryWait)
	return model
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
