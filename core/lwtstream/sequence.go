package lwtstream

// EventClass says how an event relates to a Sequence. Only events that are InOrder
// are delivered.
type EventClass int

// The classes of an event.
const (
	// InOrder means that the event is the next one of the stream.
	InOrder EventClass = iota
	// Duplicate means that the caller already has the event.
	Duplicate
	// WrongStream means that the event belongs to another stream.
	WrongStream
	// Gap means that events are missing before this one.
	Gap
)

// Sequence tracks the events of one stream, so that each event is delivered exactly
// once and in order.
type Sequence struct {
	stream string
	next   uint64
}

// NewSequence returns the sequence of a stream. Next is the number of events that the
// caller already has, and thereby the offset of the next event.
func NewSequence(stream string, next uint64) Sequence {
	return Sequence{stream: stream, next: next}
}

// Next returns the offset of the event to deliver next.
func (sequence Sequence) Next() uint64 { return sequence.next }

// Accept returns the sequence after an event, and the class of the event.
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
