package lwtentry

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/valyala/fasthttp"

	"lacewingtide/io/lwtengine"
)

// collected gathers the chunks of an answer into one message.
type collected struct {
	text   strings.Builder
	finish string
	usage  json.RawMessage
}

// collect relays the whole answer as one JSON body. The caller sees nothing of
// an answer that is not whole.
func (relay *relay) collect(ctx *fasthttp.RequestCtx) {
	var answer collected
	stop := WatchDisconnect(ctx.Conn(), relay.callerGone)
	err := relay.each(func(event lwtengine.Event) error {
		relay.markFirst()
		return answer.add(event.Data)
	})
	stop()
	if err != nil {
		writeError(ctx, engineError(OutcomeUnknown, err))
	} else {
		relay.writeCollected(ctx, &answer)
	}
	relay.end(err)
}

func (answer *collected) add(data []byte) error {
	if bytes.Equal(data, endMark) {
		return nil
	}
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
			FinishReason *string `json:"finish_reason"`
		} `json:"choices"`
		Usage json.RawMessage `json:"usage"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return err
	}
	for _, choice := range chunk.Choices {
		answer.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			answer.finish = *choice.FinishReason
		}
	}
	if len(chunk.Usage) > 0 {
		answer.usage = chunk.Usage
	}
	return nil
}

func (relay *relay) writeCollected(ctx *fasthttp.RequestCtx, answer *collected) {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type choice struct {
		Index        int     `json:"index"`
		Message      message `json:"message"`
		FinishReason string  `json:"finish_reason"`
	}
	writeJSON(ctx, struct {
		ID      string          `json:"id"`
		Object  string          `json:"object"`
		Created int64           `json:"created"`
		Model   string          `json:"model"`
		Choices []choice        `json:"choices"`
		Usage   json.RawMessage `json:"usage,omitempty"`
	}{
		ID:      "chatcmpl-" + relay.call.id,
		Object:  "chat.completion",
		Created: relay.call.began.Unix(),
		Model:   relay.call.request.Model,
		Choices: []choice{{Message: message{"assistant", answer.text.String()}, FinishReason: answer.finish}},
		Usage:   answer.usage,
	})
}
