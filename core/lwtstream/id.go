// Package lwtstream signs event ids, which encode positions in response streams, and
// checks that the events of an engine belong to the stream on which they are
// relayed.
package lwtstream

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"hash"
	"strings"
)

// ErrInvalidID is returned for an event id that is malformed, forged or signed for
// another caller.
var ErrInvalidID = fmt.Errorf("event id is not valid for this caller")

const (
	macSize        = 16
	maxIDBytes     = 512
	fieldSeparator = "|"
)

// Position is a caller's position in a stream.
type Position struct {
	// Engine is the name of the engine that holds the stream.
	Engine string
	// Stream is the engine's id of the stream.
	Stream string
	// Offset is the number of events that the caller has received.
	Offset uint64
}

// Signer signs and verifies event ids for one caller. It is not safe for concurrent
// use; create one for each stream.
type Signer struct {
	mac       hash.Hash
	prefix    []byte
	buffer    []byte
	macBuffer []byte
}

// encoding rejects text with unused bits set, so that a position has exactly one id.
var encoding = base64.RawURLEncoding.Strict()

// NewSigner returns a signer for a caller. All daemons must use the same key.
func NewSigner(key []byte, caller string) *Signer {
	mac := hmac.New(sha256.New, key)
	return &Signer{mac: mac, prefix: []byte(caller + fieldSeparator)}
}

// AppendID appends the id of a position to dst as base64url text without padding.
func (signer *Signer) AppendID(dst []byte, position Position) []byte {
	signer.buffer = appendPosition(signer.buffer[:0], position)
	signer.buffer = append(signer.buffer, signer.computeMAC(signer.buffer)...)
	return encoding.AppendEncode(dst, signer.buffer)
}

// Verify returns the position of an id. It returns ErrInvalidID unless the id was
// signed with the same key for the same caller.
func (signer *Signer) Verify(id string) (Position, error) {
	if len(id) > maxIDBytes {
		return Position{}, ErrInvalidID
	}
	raw, err := encoding.DecodeString(id)
	if err != nil || len(raw) <= macSize {
		return Position{}, ErrInvalidID
	}
	body, mac := raw[:len(raw)-macSize], raw[len(raw)-macSize:]
	if !hmac.Equal(mac, signer.computeMAC(body)) {
		return Position{}, ErrInvalidID
	}
	return parsePosition(body)
}

func (signer *Signer) computeMAC(body []byte) []byte {
	signer.mac.Reset()
	signer.mac.Write(signer.prefix)
	signer.mac.Write(body)
	signer.macBuffer = signer.mac.Sum(signer.macBuffer[:0])
	return signer.macBuffer[:macSize]
}

func appendPosition(dst []byte, position Position) []byte {
	dst = binary.AppendUvarint(dst, position.Offset)
	dst = append(dst, position.Engine...)
	dst = append(dst, fieldSeparator...)
	return append(dst, position.Stream...)
}

func parsePosition(body []byte) (Position, error) {
	offset, n := binary.Uvarint(body)
	if n <= 0 {
		return Position{}, ErrInvalidID
	}
	engine, stream, found := strings.Cut(string(body[n:]), fieldSeparator)
	if !found {
		return Position{}, ErrInvalidID
	}
	return Position{Engine: engine, Stream: stream, Offset: offset}, nil
}
