package lwtstatesync

import (
	"slices"
	"time"
)

// fetchNext starts the retrieval of missing tickets. It prefers a peer that has
// the latest revision, which saves store reads, and falls back to the store. After
// a failure the next source is tried.
func (model Model) fetchNext(now time.Time) (Model, []Cmd) {
	if model.fetch.inFlight || model.state.Revision >= model.latestSeen || now.Before(model.fetch.notBefore) {
		return model, nil
	}
	switch {
	case len(model.holders) > 0:
		model.fetch.member = model.holders[0]
		model.fetch.inFlight, model.fetch.startedAt = true, now
		return model, []Cmd{Ask{Member: model.fetch.member, After: model.state.Revision}}
	case model.head.Revision > model.state.Revision:
		model.fetch.member = ""
		model.fetch.inFlight, model.fetch.startedAt = true, now
		return model, []Cmd{ReadStore{model.head.CatchUpFrom(model.state.Revision)}}
	}
	// Only peers that did not respond have announced the latest revision. The
	// head is polled soon, and peers that have the revision announce it again.
	model.nextPoll = minTime(model.nextPoll, now.Add(retryInterval))
	model.fetch.notBefore = now.Add(retryInterval)
	return model, nil
}

// finishFetch ends the retrieval. A peer that returned nothing new is not asked
// again for the latest revision unless it announces the revision again.
func (model Model) finishFetch(now time.Time, advanced bool) Model {
	model.fetch.inFlight = false
	if advanced {
		model.fetch.notBefore = now
		return model
	}
	if member := model.fetch.member; member != "" {
		model.holders = slices.DeleteFunc(slices.Clone(model.holders), func(other string) bool { return other == member })
		return model
	}
	model.fetch.notBefore = now.Add(retryInterval)
	return model
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
