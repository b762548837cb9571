package lwtdaemon_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/io/lwtentry"
	"lacewingtide/io/lwtstandin"
)

const callerKey = "caller-key-1"

// singleDaemon is one daemon with one engine on loopback.
type singleDaemon struct {
	entry string
}

func listen(tb testing.TB) net.Listener {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = listener.Close() })
	return listener
}

func newSingleDaemon(t *testing.T) singleDaemon {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	engine, engineListener := lwtstandin.NewEngine(lwtstandin.DefaultEngineOptions("e1", "m"), 1), listen(t)
	go func() { _ = engine.Serve(engineListener) }()
	go func() { _ = engine.Run(ctx) }()
	entry := startDaemon(ctx, t, lwtdeclaredstate.Change{
		Revision: 1,
		Engines: []lwtdeclaredstate.Engine{{
			Name: "e1", Address: engineListener.Addr().String(), Role: lwtdeclaredstate.RoleMixed, Models: []string{"m"},
		}},
		Models:  []lwtdeclaredstate.Model{{Name: "m", Version: "1"}},
		Callers: []lwtdeclaredstate.Caller{{Name: "c1", KeyHash: lwtentry.HashKey(callerKey), Models: []string{"m"}}},
	})
	return singleDaemon{entry: "http://" + entry}
}

func (daemon singleDaemon) post(t *testing.T, body string, headers ...string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		daemon.entry+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// TestUnstreamedAnswerIsWhole guards against an unstreamed completion that lacks
// tokens.
func TestUnstreamedAnswerIsWhole(t *testing.T) {
	response := newSingleDaemon(t).post(t, `{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":20}`)
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("status %d, want 200; error %v, body %s", response.StatusCode, err, body)
	}
	content, err := json.Marshal(lwtstandin.Answer("hello", 20))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(body, content) {
		t.Errorf("body %s does not contain the completion %s", body, content)
	}
}

// TestStreamResumesAfterAnEvent guards against tokens that are lost or repeated when a
// caller resumes an interrupted stream.
func TestStreamResumesAfterAnEvent(t *testing.T) {
	const request = `{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":20,"stream":true}`
	daemon := newSingleDaemon(t)
	first, id := readEvents(t, daemon.post(t, request).Body, 7)
	second, _ := readEvents(t, daemon.post(t, "", "Last-Event-ID", id).Body, 0)
	if got, want := first+second, lwtstandin.Answer("hello", 20); got != want {
		t.Errorf("the resumed stream has the text %q, want %q", got, want)
	}
}

// TestForgedEventIDIsRefused guards against a forged event id that gives access to
// another caller's stream.
func TestForgedEventIDIsRefused(t *testing.T) {
	response := newSingleDaemon(t).post(t, "", "Last-Event-ID", "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA")
	if response.StatusCode != http.StatusBadRequest || response.Header.Get(lwtentry.HeaderOutcome) != "not-run" {
		t.Errorf("status %d, headers %v; want status 400 and outcome not-run", response.StatusCode, response.Header)
	}
}

// readEvents reads up to maxEvents events, or all if it is 0, and returns their text
// and the last event id.
func readEvents(t *testing.T, body io.Reader, maxEvents int) (text, id string) {
	t.Helper()
	scanner := bufio.NewScanner(body)
	for events := 0; scanner.Scan(); {
		if value, found := strings.CutPrefix(scanner.Text(), "id: "); found {
			id = value
		}
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return text, id
		}
		text += eventText(t, data)
		if events++; events == maxEvents {
			return text, id
		}
	}
	t.Fatalf("the stream ended before its last event: %v", scanner.Err())
	return text, id
}

func eventText(t *testing.T, data string) string {
	t.Helper()
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		t.Fatalf("decode the event %q: %v", data, err)
	}
	if len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}
