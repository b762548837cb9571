// Package lwtstream signs the positions of answer streams and checks that the
// events of an engine belong to the stream they are relayed on.
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

// ErrInvalidID reports an event id that is malformed, forged or of another caller.
var ErrInvalidID = fmt.Errorf("event id is not valid for this caller")

const (
	macSize    = 16
	maxIDBytes = 512
	fieldSep   = "|"
)

// Position says where in which stream a caller is.
type Position struct {
	// Engine is the name of the engine that holds the stream.
	Engine string
	// Stream is the engine's name of the stream.
	Stream string
	// Offset is the number of events that the caller has received.
	Offset uint64
}

// Signer signs and opens event ids of one stream's caller. It is not safe for
// concurrent use; make one for each stream.
type Signer struct {
	mac    hash.Hash
	prefix []byte
	buffer []byte
	digest []byte
}

// encoding refuses texts with unused bits set, so that a position has one id.
var encoding = base64.RawURLEncoding.Strict()

// NewSigner returns a signer for a caller under a key that all daemons share.
func NewSigner(key []byte, caller string) *Signer {
	mac := hmac.New(sha256.New, key)
	return &Signer{mac: mac, prefix: []byte(caller + fieldSep)}
}

// AppendID appends the id of a position to dst: base64url text without padding.
func (signer *Signer) AppendID(dst []byte, position Position) []byte {
	signer.buffer = appendPosition(signer.buffer[:0], position)
	signer.buffer = append(signer.buffer, signer.sum(signer.buffer)...)
	return encoding.AppendEncode(dst, signer.buffer)
}

// Verify returns the position of an id. It returns ErrID unless the id was
// signed under the same key for the same caller.
func (signer *Signer) Verify(id string) (Position, error) {
	if len(id) > maxIDBytes {
		return Position{}, ErrInvalidID
	}
	raw, err := encoding.DecodeString(id)
	if err != nil || len(raw) <= macSize {
		return Position{}, ErrInvalidID
	}
	body, mac := raw[:len(raw)-macSize], raw[len(raw)-macSize:]
	if !hmac.Equal(mac, signer.sum(body)) {
		return Position{}, ErrInvalidID
	}
	return parsePosition(body)
}

func (signer *Signer) sum(body []byte) []byte {
	signer.mac.Reset()
	signer.mac.Write(signer.prefix)
	signer.mac.Write(body)
	signer.digest = signer.mac.Sum(signer.digest[:0])
	return signer.digest[:macSize]
}

func appendPosition(dst []byte, position Position) []byte {
	dst = binary.AppendUvarint(dst, position.Offset)
	dst = append(dst, position.Engine...)
	dst = append(dst, fieldSep...)
	return append(dst, position.Stream...)
}

func parsePosition(body []byte) (Position, error) {
	offset, n := binary.Uvarint(body)
	if n <= 0 {
		return Position{}, ErrInvalidID
	}
	engine, stream, found := strings.Cut(string(body[n:]), fieldSep)
	if !found {
		return Position{}, ErrInvalidID
	}
	return Position{Engine: engine, Stream: stream, Offset: offset}, nil
}
