package lwtdemo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/io/lwtclient"
	"lacewingtide/io/lwtstandin"
)

// Number of concurrent callers of each kind, and the size of their requests.
const (
	chatCallers      = 24
	longCallers      = 6
	orderCallers     = 4
	lookupCallers    = 4
	chatPromptTokens = 60
	chatAnswerTokens = 40
	// thinkTime is the mean time between two requests of a caller.
	thinkTime          = 150 * time.Millisecond
	maxOrderAttempts   = 5
	charactersPerToken = 4
)

// traffic sends the requests of the demo.
type traffic struct {
	fleet    *Fleet
	recorder *recorder
	client   *lwtclient.Client
	callers  sync.WaitGroup
}

func newTraffic(fleet *Fleet, recorder *recorder) *traffic {
	return &traffic{
		fleet: fleet, recorder: recorder,
		client: lwtclient.New(lwtclient.Options{Addresses: fleet.EntryAddresses(), Key: callerKey}),
	}
}

// start runs all callers until ctx ends. Each caller completes its current request.
func (traffic *traffic) start(ctx context.Context) {
	layout := traffic.fleet.layout
	traffic.runCallers(ctx, chatCallers, func(id string) {
		traffic.sendCompletion(id, lwtdeclaredstate.ClassChat, chatPromptTokens, chatAnswerTokens)
	})
	traffic.runCallers(ctx, longCallers, func(id string) {
		traffic.sendCompletion(id, layout.LongClass, layout.LongPromptTokens, layout.LongAnswerTokens)
	})
	traffic.runCallers(ctx, orderCallers, traffic.sendOrder)
	traffic.runCallers(ctx, lookupCallers, traffic.sendLookup)
}

func (traffic *traffic) wait() {
	traffic.callers.Wait()
	traffic.client.Close()
}

// runCallers starts callers that send requests with distinct ids.
func (traffic *traffic) runCallers(ctx context.Context, callers int, request func(id string)) {
	idPrefix := fmt.Sprintf("%08x", rand.Uint32())
	for caller := range callers {
		traffic.callers.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				request(fmt.Sprintf("%s-%d-%d", idPrefix, caller, i))
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(thinkTime)))
			}
		})
	}
}

// sendCompletion sends one streamed completion request and checks the text.
func (traffic *traffic) sendCompletion(id string, class lwtdeclaredstate.Class, promptTokens, answerTokens int) {
	prompt := id + strings.Repeat(" leaf", promptTokens*charactersPerToken/len(" leaf"))
	start, timeToFirstToken := time.Now(), time.Duration(0)
	text, err := traffic.streamCompletion(prompt, class, answerTokens, func() { timeToFirstToken = time.Since(start) })
	outcome := outcomeOf(err)
	if err == nil && text != lwtstandin.Answer(prompt, answerTokens) {
		traffic.recorder.recordViolation("the answer to %.40q is not its own", prompt)
	}
	traffic.recorder.recordPrompt(prompt, outcome)
	traffic.recorder.recordRequest(class, outcome, err == nil &&
		onTime(traffic.fleet.layout.objectives(), class, timeToFirstToken, time.Since(start)))
	traffic.waitRetryAfter(err)
}

// streamCompletion sends a completion request and returns the streamed text. It
// calls onFirstToken when the first token arrives.
func (traffic *traffic) streamCompletion(
	prompt string, class lwtdeclaredstate.Class, tokens int, onFirstToken func(),
) (string, error) {
	body, err := json.Marshal(struct {
		Model     string    `json:"model"`
		Messages  []message `json:"messages"`
		MaxTokens int       `json:"max_tokens"`
		Stream    bool      `json:"stream"`
	}{traffic.fleet.layout.Model, []message{{"user", prompt}}, tokens, true})
	if err != nil {
		return "", err
	}
	header := http.Header{"Lacewingtide-Class": {string(class)}}
	stream, err := traffic.client.Stream(context.Background(), body, header)
	if err != nil {
		return "", err
	}
	defer stream.Close()
	var text strings.Builder
	for {
		data, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return "", err
		}
		if text.Len() == 0 {
			onFirstToken()
		}
		if err := appendContent(&text, data); err != nil {
			return "", err
		}
	}
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func appendContent(text *strings.Builder, data []byte) error {
	var chunk struct {
		Choices []struct {
			Delta message `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return fmt.Errorf("decode event: %w", err)
	}
	for _, choice := range chunk.Choices {
		text.WriteString(choice.Delta.Content)
	}
	return nil
}

// sendOrder sends one shop order. After an error it retries with the same
// idempotency key, up to maxOrderAttempts attempts.
func (traffic *traffic) sendOrder(id string) {
	start := time.Now()
	var err error
	for range maxOrderAttempts {
		_, err = traffic.client.Do(context.Background(), lwtclient.Request{
			Method: http.MethodPost, Path: "/services/" + shopService + "/orders",
			Header: http.Header{"Idempotency-Key": {id}, "Content-Type": {"application/json"}},
			Body:   []byte(`{"item":"prism","count":2}`),
		})
		if err == nil {
			break
		}
		traffic.waitRetryAfter(err)
	}
	outcome := outcomeOf(err)
	traffic.recorder.recordOrder(id, outcome)
	traffic.recorder.recordRequest(lwtdeclaredstate.ClassOrder, outcome, err == nil &&
		onTime(traffic.fleet.layout.objectives(), lwtdeclaredstate.ClassOrder, 0, time.Since(start)))
}

func (traffic *traffic) sendLookup(id string) {
	start := time.Now()
	_, err := traffic.client.Do(context.Background(), lwtclient.Request{
		Method: http.MethodGet, Path: "/services/" + shopService + "/stock?item=" + id, Idempotent: true,
	})
	traffic.recorder.recordRequest(lwtdeclaredstate.ClassLookup, outcomeOf(err), err == nil &&
		onTime(traffic.fleet.layout.objectives(), lwtdeclaredstate.ClassLookup, 0, time.Since(start)))
	traffic.waitRetryAfter(err)
}

// waitRetryAfter waits for the Retry-After time of a rejected request.
func (traffic *traffic) waitRetryAfter(err error) {
	var failure *lwtclient.Error
	if errors.As(err, &failure) {
		time.Sleep(failure.RetryAfter)
	}
}

func outcomeOf(err error) string {
	var failure *lwtclient.Error
	switch {
	case err == nil:
		return outcomeComplete
	case errors.As(err, &failure) && failure.Outcome == lwtclient.OutcomeNotRun:
		return outcomeNotRun
	}
	return outcomeUnknown
}
