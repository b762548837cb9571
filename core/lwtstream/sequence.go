package lwtstream

// EventClass says what to do with an event.
type EventClass int

// The verdicts on an event.
const (
	// InOrder means that the event is the next one of the stream.
	InOrder EventClass = iota
	// Duplicate means that the caller has the event already.
	Duplicate
	// WrongStream means that the event belongs to another stream.
	WrongStream
	// Gap means that events are missing before this one.
	Gap
)

// Sequence accounts for the events of one stream. Each event is delivered
// exactly once and in order.
type Sequence struct {
	stream string
	next   uint64
}

// NewSequence returns the sequence of a stream whose first next events the
// caller has already.
func NewSequence(stream string, next uint64) Sequence {
	return Sequence{stream: stream, next: next}
}

// Next returns the offset of the event to deliver next.
func (sequence Sequence) Next() uint64 { return sequence.next }

// Accept judges an event and returns the sequence after it.
func (sequence Sequence) Accept(stream string, offset uint64) (Sequence, EventClass) {
	switch {
	case stream != sequence.stream:
		return sequence, WrongStream
	case offset < sequence.next:
		return sequence, Duplicate
	case offset > sequence.next:
		return sequence, Gap
	}
	sequence.next++
	return sequence, InOrder
}
