package lwtstandin

import (
	"encoding/json"
	"strings"
	"sync"
	"time"
)

const (
	defaultAnswerTokens = 32
	charactersPerToken  = 4
)

type completionRequest struct {
	Model               string          `json:"model"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       json.RawMessage `json:"stream_options"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func (request completionRequest) prompt() string {
	var prompt strings.Builder
	for _, message := range request.Messages {
		var text string
		if err := json.Unmarshal(message.Content, &text); err != nil {
			text = string(message.Content)
		}
		prompt.WriteString(text)
	}
	return prompt.String()
}

func (request completionRequest) answerTokens() int {
	if request.MaxCompletionTokens > 0 {
		return request.MaxCompletionTokens
	}
	if request.MaxTokens > 0 {
		return request.MaxTokens
	}
	return defaultAnswerTokens
}

// engineStream is one answer. Its tokens stay readable until it expires.
type engineStream struct {
	id           string
	model        string
	prompt       string
	promptTokens int
	promptLeft   int
	total        int
	priority     int
	stamp        bool
	mutex        sync.Mutex
	made         int
	cancelled    bool
	readers      int
	idleSince    time.Time
	changed      chan struct{}
}

func newEngineStream(id string, request completionRequest, priority int) *engineStream {
	prompt := request.prompt()
	tokens := max(1, len(prompt)/charactersPerToken)
	return &engineStream{
		id:           id,
		model:        request.Model,
		prompt:       prompt,
		promptTokens: tokens,
		promptLeft:   tokens,
		total:        request.answerTokens(),
		priority:     priority,
		changed:      make(chan struct{}),
	}
}

func (stream *engineStream) append(now time.Time) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	stream.made++
	if stream.made == stream.total && stream.readers == 0 {
		stream.idleSince = now
	}
	stream.broadcast()
}

func (stream *engineStream) broadcast() {
	close(stream.changed)
	stream.changed = make(chan struct{})
}

func (stream *engineStream) finished() bool {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	return stream.made >= stream.total || stream.cancelled
}

func (stream *engineStream) length() int {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	return stream.made
}

func (stream *engineStream) cancel() {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	stream.cancelled = true
	stream.broadcast()
}

// progress returns the number of tokens made, and a channel that is closed at
// the next change.
func (stream *engineStream) progress() (made int, cancelled bool, changed <-chan struct{}) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	return stream.made, stream.cancelled, stream.changed
}

func (stream *engineStream) attach() {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	stream.readers++
	stream.idleSince = time.Time{}
}

func (stream *engineStream) detach(now time.Time) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	stream.readers--
	if stream.readers == 0 {
		stream.idleSince = now
	}
}

func (stream *engineStream) expired(now time.Time, keep time.Duration) bool {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	return !stream.idleSince.IsZero() && now.Sub(stream.idleSince) > keep
}
