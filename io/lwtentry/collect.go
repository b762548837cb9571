package lwtentry

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/valyala/fasthttp"

	"lacewingtide/io/lwtengine"
)

// completionAccumulator merges the chunks of a streamed response into one message.
type completionAccumulator struct {
	text         strings.Builder
	finishReason string
	usage        json.RawMessage
}

// collect sends the complete response as one JSON body. If the stream fails, the caller
// gets an error and no part of the response.
func (relay *relay) collect(ctx *fasthttp.RequestCtx) {
	var accumulator completionAccumulator
	stopWatch := WatchDisconnect(ctx.Conn(), relay.handleDisconnect)
	err := relay.forEachEvent(func(event lwtengine.Event) error {
		relay.recordFirstToken()
		return accumulator.add(event.Data)
	})
	stopWatch()
	if err != nil {
		writeError(ctx, engineError(OutcomeUnknown, err))
	} else {
		relay.writeCollected(ctx, &accumulator)
	}
	relay.finish(err)
}

func (accumulator *completionAccumulator) add(data []byte) error {
	if bytes.Equal(data, doneMarker) {
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
		accumulator.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			accumulator.finishReason = *choice.FinishReason
		}
	}
	if len(chunk.Usage) > 0 {
		accumulator.usage = chunk.Usage
	}
	return nil
}

func (relay *relay) writeCollected(ctx *fasthttp.RequestCtx, accumulator *completionAccumulator) {
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
		ID:      "chatcmpl-" + relay.completion.id,
		Object:  "chat.completion",
		Created: relay.completion.startedAt.Unix(),
		Model:   relay.completion.request.Model,
		Choices: []choice{{Message: message{"assistant", accumulator.text.String()}, FinishReason: accumulator.finishReason}},
		Usage:   accumulator.usage,
	})
}
