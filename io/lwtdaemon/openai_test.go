package lwtdaemon_test

import (
	"errors"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"lacewingtide/io/lwtstandin"
)

func conversation() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:               "m",
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage("which prism fits?")},
		MaxCompletionTokens: openai.Int(24),
	}
}

// TestOpenAIClient guards against responses that an existing client of the OpenAI API
// can't decode.
func TestOpenAIClient(t *testing.T) {
	daemon := newSingleDaemon(t)
	client := openai.NewClient(option.WithBaseURL(daemon.entry+"/v1"), option.WithAPIKey(callerKey))
	want := lwtstandin.Answer("which prism fits?", 24)

	completion, err := client.Chat.Completions.New(t.Context(), conversation())
	if err != nil {
		t.Fatal(err)
	}
	if got := completion.Choices[0].Message.Content; got != want {
		t.Errorf("unstreamed completion %q, want %q", got, want)
	}
	if completion.Usage.CompletionTokens != 24 {
		t.Errorf("usage %+v, want 24 completion tokens", completion.Usage)
	}

	stream := client.Chat.Completions.NewStreaming(t.Context(), conversation())
	accumulator := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		accumulator.AddChunk(stream.Current())
	}
	if stream.Err() != nil {
		t.Fatal(stream.Err())
	}
	if got := accumulator.Choices[0].Message.Content; got != want {
		t.Errorf("streamed completion %q, want %q", got, want)
	}

	models, err := client.Models.List(t.Context())
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != "m" {
		t.Errorf("models %+v, error %v; want only m", models, err)
	}
}

// TestOpenAIClientReadsErrors guards against errors that a client of the OpenAI API
// can't decode.
func TestOpenAIClientReadsErrors(t *testing.T) {
	daemon := newSingleDaemon(t)
	client := openai.NewClient(option.WithBaseURL(daemon.entry+"/v1"), option.WithAPIKey(callerKey),
		option.WithMaxRetries(0))
	params := conversation()
	params.Model = "no-such-model"
	_, err := client.Chat.Completions.New(t.Context(), params)
	var failure *openai.Error
	if !errors.As(err, &failure) || failure.Code != "model_not_found" || failure.Param != "model" ||
		failure.StatusCode != 404 {
		t.Errorf("error %v, want model_not_found with status 404", err)
	}
}
