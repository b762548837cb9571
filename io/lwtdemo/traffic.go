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

// Numbers of callers at work at the same time, and the work of each.
const (
	chatCallers   = 24
	longCallers   = 6
	orderCallers  = 4
	lookupCallers = 4
	chatPrompt    = 60
	chatAnswer    = 40
	// thinkTime is the mean pause between two requests of a caller.
	thinkTime   = 150 * time.Millisecond
	orderTries  = 5
	tokenLength = 4
)

// traffic is the load of the demo.
type traffic struct {
	fleet  *Fleet
	scores *scores
	client *lwtclient.Client
	group  sync.WaitGroup
}

func newTraffic(fleet *Fleet, scores *scores) *traffic {
	return &traffic{
		fleet: fleet, scores: scores,
		client: lwtclient.New(lwtclient.Options{Addresses: fleet.EntryAddresses(), Key: callerKey}),
	}
}

// start runs all callers until ctx ends; each finishes the request it is at.
func (traffic *traffic) start(ctx context.Context) {
	layout := traffic.fleet.layout
	traffic.run(ctx, chatCallers, func(id string) {
		traffic.complete(id, lwtdeclaredstate.ClassChat, chatPrompt, chatAnswer)
	})
	traffic.run(ctx, longCallers, func(id string) {
		traffic.complete(id, layout.LongClass, layout.LongPromptTokens, layout.LongAnswerTokens)
	})
	traffic.run(ctx, orderCallers, traffic.order)
	traffic.run(ctx, lookupCallers, traffic.lookup)
}

func (traffic *traffic) wait() {
	traffic.group.Wait()
	traffic.client.Close()
}

func (traffic *traffic) run(ctx context.Context, callers int, request func(id string)) {
	kind := fmt.Sprintf("%08x", rand.Uint32())
	for caller := range callers {
		traffic.group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				request(fmt.Sprintf("%s-%d-%d", kind, caller, i))
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(thinkTime)))
			}
		})
	}
}

// complete sends one streamed completion and checks its answer.
func (traffic *traffic) complete(id string, class lwtdeclaredstate.Class, promptTokens, answerTokens int) {
	prompt := id + strings.Repeat(" leaf", promptTokens*tokenLength/len(" leaf"))
	began, first := time.Now(), time.Duration(0)
	text, err := traffic.answer(prompt, class, answerTokens, func() { first = time.Since(began) })
	outcome := outcomeOf(err)
	if err == nil && text != lwtstandin.Answer(prompt, answerTokens) {
		traffic.scores.violate("the answer to %.40q is not its own", prompt)
	}
	traffic.scores.addPrompt(prompt, outcome)
	traffic.scores.add(class, outcome, err == nil &&
		onTime(traffic.fleet.layout.objectives(), class, first, time.Since(began)))
	traffic.rest(err)
}

func (traffic *traffic) answer(prompt string, class lwtdeclaredstate.Class, tokens int, began func()) (string, error) {
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
			began()
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

// order sends one shop order, again under the same key while its outcome is
// unknown.
func (traffic *traffic) order(id string) {
	began := time.Now()
	var err error
	for range orderTries {
		_, err = traffic.client.Do(context.Background(), lwtclient.Request{
			Method: http.MethodPost, Path: "/services/" + shopService + "/orders",
			Header: http.Header{"Idempotency-Key": {id}, "Content-Type": {"application/json"}},
			Body:   []byte(`{"item":"prism","count":2}`),
		})
		if err == nil {
			break
		}
		traffic.rest(err)
	}
	outcome := outcomeOf(err)
	traffic.scores.addOrder(id, outcome)
	traffic.scores.add(lwtdeclaredstate.ClassOrder, outcome, err == nil &&
		onTime(traffic.fleet.layout.objectives(), lwtdeclaredstate.ClassOrder, 0, time.Since(began)))
}

func (traffic *traffic) lookup(id string) {
	began := time.Now()
	_, err := traffic.client.Do(context.Background(), lwtclient.Request{
		Method: http.MethodGet, Path: "/services/" + shopService + "/stock?item=" + id, Idempotent: true,
	})
	traffic.scores.add(lwtdeclaredstate.ClassLookup, outcomeOf(err), err == nil &&
		onTime(traffic.fleet.layout.objectives(), lwtdeclaredstate.ClassLookup, 0, time.Since(began)))
	traffic.rest(err)
}

// rest waits as long as a refusal asks for.
func (traffic *traffic) rest(err error) {
	var failure *lwtclient.Error
	if errors.As(err, &failure) {
		time.Sleep(failure.RetryAfter)
	}
}

func outcomeOf(err error) string {
	var failure *lwtclient.Error
	switch {
	case err == nil:
		return outcomeWhole
	case errors.As(err, &failure) && failure.Outcome == lwtclient.OutcomeNotRun:
		return outcomeNotRun
	}
	return outcomeUnknown
}
