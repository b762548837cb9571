package lwtroutetable

import "time"

// Part is a piece of a prompt that requests can share.
type Part struct {
	ID     string
	Tokens int
}

// Request is what the decisions about one attempt of a caller depend on.
type Request struct {
	ID string
	// Deadline is how long the caller waits from the arrival on. Zero means
	// that the caller named none.
	Deadline time.Duration
	Model    string
	// PromptTokens and OutputTokens are the sizes that the caller declared.
	PromptTokens int
	OutputTokens int
	// Parts lists the prompt in order. The last one belongs to the request or
	// its session alone.
	Parts []Part
	// ResumeAfter is the id of the last event that the caller has received.
	ResumeAfter string
}

// SharedTokens returns the tokens of all parts but the last.
func (request Request) SharedTokens() int {
	tokens := 0
	for _, part := range request.Parts[:max(len(request.Parts)-1, 0)] {
		tokens += part.Tokens
	}
	return tokens
}

// SharedKey names the longest shared start of the prompt. It is empty where
// nothing is shared.
func (request Request) SharedKey() string {
	if len(request.Parts) < 2 {
		return ""
	}
	return request.Parts[len(request.Parts)-2].ID
}
