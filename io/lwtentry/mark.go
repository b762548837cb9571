package lwtentry

import "time"

// endEvents are the events of a stream that carry no token: the last chunk and
// the end mark.
const endEvents = 2

// markFirst notes the time of the first token and tells the router. A stream
// that was resumed has no time of its own.
func (relay *relay) markFirst() {
	if !relay.call.first.IsZero() {
		return
	}
	relay.call.first = time.Now()
	if relay.call.placed {
		relay.server.dependencies.Router.RecordFirstToken(relay.call.first, relay.call.request, relay.call.choice)
	}
}

// markAnswered tells the router of a whole answer.
func (relay *relay) markAnswered() {
	if relay.call.placed && relay.sequence.Next() > endEvents {
		tokens := int(relay.sequence.Next() - endEvents)
		relay.server.dependencies.Router.RecordCompletion(time.Now(), relay.call.request, relay.call.choice, tokens)
	}
}
