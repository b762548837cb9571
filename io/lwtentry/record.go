package lwtentry

import "time"

// tokenlessEvents is the number of events of a stream that carry no token: the last chunk
// and the [DONE] event.
const tokenlessEvents = 2

// recordFirstToken records the time of the first event. It reports it to the router only if
// the router placed the request: a resumed stream has no time to first token of its own.
func (relay *relay) recordFirstToken() {
	if !relay.completion.firstTokenAt.IsZero() {
		return
	}
	relay.completion.firstTokenAt = time.Now()
	if relay.completion.placed {
		relay.server.dependencies.Router.RecordFirstToken(relay.completion.firstTokenAt, relay.completion.request,
			relay.completion.choice)
	}
}

// recordCompletion reports a complete response and its number of tokens to the router.
func (relay *relay) recordCompletion() {
	if relay.completion.placed && relay.sequence.Next() > tokenlessEvents {
		tokens := int(relay.sequence.Next() - tokenlessEvents)
		relay.server.dependencies.Router.RecordCompletion(time.Now(), relay.completion.request, relay.completion.choice,
			tokens)
	}
}
