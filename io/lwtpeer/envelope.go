// Package lwtpeer sends messages between daemons, encoded as CBOR over WebSocket. Both sides
// of a connection authenticate with a shared key. Delivery is at most once: messages may be
// lost but are never duplicated.
package lwtpeer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

const (
	// ProtocolVersion is the version of the message protocol. Daemons also accept the
	// previous and the next version.
	ProtocolVersion = 1
	// MaxMessageBytes is the maximum size of one message. A complete declared state at the
	// target size takes about half of it.
	MaxMessageBytes = 1 << 20
	maxNesting      = 16
	maxElements     = 1 << 16
	maxKindBytes    = 64
)

// Errors of encoding and decoding messages.
var (
	// ErrMalformed reports bytes that are not a valid message.
	ErrMalformed = fmt.Errorf("malformed message")
	// ErrVersionMismatch reports a peer whose protocol version differs by more than one.
	ErrVersionMismatch = fmt.Errorf("the peer's protocol version differs by more than one")
	// ErrTooLarge reports a message larger than MaxMessageBytes.
	ErrTooLarge = fmt.Errorf("message over %d bytes", MaxMessageBytes)
)

// Envelope is the frame of each message. From and Boot are omitted if they equal those of the
// connection's hello. Decoding ignores unknown fields.
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
		// The options are constants, so this is a programming error.
		panic(err)
	}
	return mode
}

// Decode decodes a message body. It limits the nesting depth and the number of elements.
func Decode(body []byte, into any) error {
	if err := decoder.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// DecodeEnvelope decodes and validates a message. It returns ErrTooLarge, ErrMalformed or
// ErrVersionMismatch.
func DecodeEnvelope(raw []byte) (Envelope, error) {
	var envelope Envelope
	if len(raw) > MaxMessageBytes {
		return envelope, ErrTooLarge
	}
	if err := Decode(raw, &envelope); err != nil {
		return envelope, err
	}
	if !isCompatibleVersion(envelope.Version) {
		return envelope, fmt.Errorf("%w: version %d, own version %d", ErrVersionMismatch, envelope.Version, ProtocolVersion)
	}
	if envelope.Type == "" || len(envelope.Type) > maxKindBytes {
		return envelope, fmt.Errorf("%w: type of %d bytes", ErrMalformed, len(envelope.Type))
	}
	return envelope, nil
}

func isCompatibleVersion(version uint) bool {
	return version+1 >= ProtocolVersion && version <= ProtocolVersion+1
}

func encodeMessage(kind string, body any) ([]byte, error) {
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
