package lwtroutetable

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"
)

// PromptSegment is a segment of a prompt that several requests can share.
type PromptSegment struct {
	ID     string
	Tokens int
}

// Request holds the properties of a caller's request that routing and placement depend on.
type Request struct {
	ID string
	// Timeout is how long the caller waits after the arrival. Zero means that the caller did
	// not say.
	Timeout time.Duration
	Model   string
	// PromptTokens and OutputTokens are the token counts that the caller declared.
	PromptTokens int
	OutputTokens int
	// Segments lists the segments of the prompt in order. The last one belongs only to this
	// request or its session.
	Segments []PromptSegment
	// LastEventID is the id of the last event that the caller has received.
	LastEventID string
	// BegunBy is the ID of the request that brought the caller the first event, if the request
	// resumes its stream.
	BegunBy string
	// Fingerprint identifies the content of the request; see Content. It is empty if it is not
	// known.
	Fingerprint string
}

// Content holds what makes a request the same one when its caller submits it again, with another
// ID and the time that is left.
type Content struct {
	Method, Host, Target []byte
	// Credentials is the Authorization header, which tells callers apart.
	Credentials []byte
	Model       string
	Body        []byte
}

// fingerprintBytes is the number of bytes of a fingerprint's hash.
const fingerprintBytes = 16

// Fingerprint returns a hash of the content, in hexadecimal. Nobody can make a request with the
// fingerprint of another one on purpose.
func (content Content) Fingerprint() string {
	hash := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{
		content.Method, content.Host, content.Target, content.Credentials, []byte(content.Model), content.Body,
	} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes])
}

// SharedSegments returns the segments that other requests may have too: all but the last.
func (request Request) SharedSegments() []PromptSegment {
	return request.Segments[:max(len(request.Segments)-1, 0)]
}

// SharedPrefixTokens returns the number of tokens in all segments but the last.
func (request Request) SharedPrefixTokens() int {
	tokens := 0
	for _, segment := range request.SharedSegments() {
		tokens += segment.Tokens
	}
	return tokens
}

// SharedPrefixKey returns the key of the longest shared prefix of the prompt, or "" if no
// segment is shared.
func (request Request) SharedPrefixKey() string {
	if len(request.Segments) < 2 {
		return ""
	}
	return request.Segments[len(request.Segments)-2].ID
}
