// Package lwtpeer carries messages between daemons: CBOR over WebSocket. Both
// sides of a connection prove that they know the shared key. Messages may be
// lost; none is delivered twice.
package lwtpeer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

const (
	// ProtocolVersion is the version of the messages that this program sends.
	ProtocolVersion = 1
	// MaxMessageBytes bounds one message. A whole declared state at the target
	// size has about half of it.
	MaxMessageBytes = 1 << 20
	maxNesting      = 16
	maxElements     = 1 << 16
	maxKindBytes    = 64
)

// Errors of messages.
var (
	// ErrMalformed reports bytes that are not a message.
	ErrMalformed = fmt.Errorf("malformed message")
	// ErrVersionMismatch reports a peer whose version differs by more than one.
	ErrVersionMismatch = fmt.Errorf("the peer's version differs by more than one")
	// ErrTooLarge reports a message over MaxMessageBytes.
	ErrTooLarge = fmt.Errorf("message over %d bytes", MaxMessageBytes)
)

// Envelope is the frame of each message. From and Boot are left out where they
// are those of the connection's hello. Fields that a reader does not know are
// ignored.
type Envelope struct {
	Version uint            `cbor:"1,keyasint"`
	Type    string          `cbor:"2,keyasint"`
	From    string          `cbor:"3,keyasint,omitempty"`
	Boot    uint64          `cbor:"4,keyasint,omitempty"`
	Body    cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecMode()
	if err != nil {
		// The options are constant.
		panic(err)
	}
	return mode
}

// Decode reads a value of a message body within the bounds of depth and size.
func Decode(body []byte, into any) error {
	if err := decoder.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// DecodeEnvelope reads a message.
func DecodeEnvelope(raw []byte) (Envelope, error) {
	var envelope Envelope
	if len(raw) > MaxMessageBytes {
		return envelope, ErrTooLarge
	}
	if err := Decode(raw, &envelope); err != nil {
		return envelope, err
	}
	if !compatible(envelope.Version) {
		return envelope, ErrVersionMismatch
	}
	if envelope.Type == "" || len(envelope.Type) > maxKindBytes {
		return envelope, fmt.Errorf("%w: type of %d bytes", ErrMalformed, len(envelope.Type))
	}
	return envelope, nil
}

func compatible(version uint) bool {
	return version+1 >= ProtocolVersion && version <= ProtocolVersion+1
}

func encode(kind string, body any) ([]byte, error) {
	content, err := cbor.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", kind, err)
	}
	raw, err := cbor.Marshal(Envelope{Version: ProtocolVersion, Type: kind, Body: content})
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", kind, err)
	}
	if len(raw) > MaxMessageBytes {
		return nil, fmt.Errorf("%s: %w", kind, ErrTooLarge)
	}
	return raw, nil
}
