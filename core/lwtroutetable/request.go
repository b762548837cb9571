package lwtroutetable

import "time"

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
