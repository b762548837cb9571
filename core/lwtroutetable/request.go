package lwtroutetable

import "time"

// PromptSegment is a piece of a prompt that requests can share.
type PromptSegment struct {
	ID     string
	Tokens int
}

// Request is what the decisions about one attempt of a caller depend on.
type Request struct {
	ID string
	// Timeout is how long the caller waits from the arrival on. Zero means
	// that the caller named none.
	Timeout time.Duration
	Model   string
	// PromptTokens and OutputTokens are the sizes that the caller declared.
	PromptTokens int
	OutputTokens int
	// Segments lists the prompt in order. The last one belongs to the request or
	// its session alone.
	Segments []PromptSegment
	// LastEventID is the id of the last event that the caller has received.
	LastEventID string
}

// SharedPrefixTokens returns the tokens of all parts but the last.
func (request Request) SharedPrefixTokens() int {
	tokens := 0
	for _, part := range request.Segments[:max(len(request.Segments)-1, 0)] {
		tokens += part.Tokens
	}
	return tokens
}

// SharedPrefixKey names the longest shared start of the prompt. It is empty where
// nothing is shared.
func (request Request) SharedPrefixKey() string {
	if len(request.Segments) < 2 {
		return ""
	}
	return request.Segments[len(request.Segments)-2].ID
}
