package lwtstandin

import (
	"encoding/json"
	"strings"
	"sync"
	"time"
)

const (
	defaultCompletionTokens = 32
	charactersPerToken      = 4
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

func (request completionRequest) maxCompletionTokens() int {
	if request.MaxCompletionTokens > 0 {
		return request.MaxCompletionTokens
	}
	if request.MaxTokens > 0 {
		return request.MaxTokens
	}
	return defaultCompletionTokens
}

// engineStream is the completion of one request. Its tokens can be read until it
// expires.
type engineStream struct {
	id                string
	model             string
	prompt            string
	promptTokens      int
	prefillTokensLeft int
	completionTokens  int
	priority          int
	timestampEvents   bool
	mutex             sync.Mutex
	generatedTokens   int
	cancelled         bool
	readers           int
	idleSince         time.Time
	changed           chan struct{}
}

func newEngineStream(id string, request completionRequest, priority int) *engineStream {
	prompt := request.prompt()
	tokens := max(1, len(prompt)/charactersPerToken)
	return &engineStream{
		id:                id,
		model:             request.Model,
		prompt:            prompt,
		promptTokens:      tokens,
		prefillTokensLeft: tokens,
		completionTokens:  request.maxCompletionTokens(),
		priority:          priority,
		changed:           make(chan struct{}),
	}
}

func (stream *engineStream) generateToken(now time.Time) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	stream.generatedTokens++
	if stream.generatedTokens == stream.completionTokens && stream.readers == 0 {
		stream.idleSince = now
	}
	stream.signalChange()
}

func (stream *engineStream) signalChange() {
	close(stream.changed)
	stream.changed = make(chan struct{})
}

func (stream *engineStream) finished() bool {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	return stream.generatedTokens >= stream.completionTokens || stream.cancelled
}

func (stream *engineStream) generated() int {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	return stream.generatedTokens
}

func (stream *engineStream) cancel() {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	stream.cancelled = true
	stream.signalChange()
}

// progress returns the number of generated tokens, whether the stream was
// cancelled, and a channel that is closed at the next change.
func (stream *engineStream) progress() (generated int, cancelled bool, changed <-chan struct{}) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	return stream.generatedTokens, stream.cancelled, stream.changed
}

func (stream *engineStream) addReader() {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	stream.readers++
	stream.idleSince = time.Time{}
}

func (stream *engineStream) removeReader(now time.Time) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	stream.readers--
	if stream.readers == 0 {
		stream.idleSince = now
	}
}

// expired reports whether the stream lost its last reader, or finished without
// one, longer ago than the retention time.
func (stream *engineStream) expired(now time.Time, retention time.Duration) bool {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	return !stream.idleSince.IsZero() && now.Sub(stream.idleSince) > retention
}
