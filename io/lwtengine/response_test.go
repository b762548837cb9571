package lwtengine_test

import (
	"errors"
	"testing"
	"time"

	"lacewingtide/core/lwtorder"
	"lacewingtide/io/lwtengine"
	"lacewingtide/io/lwthttptest"
)

// calls are the calls whose responses an engine may send wrongly. Each returns the error of the call.
var calls = map[string]func(client *lwtengine.Client, address string) error{
	"complete": func(client *lwtengine.Client, address string) error {
		stream, err := client.Complete(address, lwtengine.CompletionRequest{StreamID: "s", Body: []byte("{}")})
		if err == nil {
			stream.Close()
		}
		return err
	},
	"resume": func(client *lwtengine.Client, address string) error {
		stream, err := client.Resume(address, "s", 0)
		if err == nil {
			stream.Close()
		}
		return err
	},
	"cancel": func(client *lwtengine.Client, address string) error { return client.Cancel(address, "s") },
	"load": func(client *lwtengine.Client, address string) error {
		_, err := client.Load(address)
		return err
	},
	"cache events": func(client *lwtengine.Client, address string) error {
		_, err := client.CacheEvents(address, 0)
		return err
	},
	"state": func(client *lwtengine.Client, address string) error {
		_, err := client.State(address)
		return err
	},
}

// TestInvalidResponses guards against bytes of an engine that are taken for a response although they are none, such as status 000 as 200.
func TestInvalidResponses(t *testing.T) {
	t.Parallel()
	for name, call := range calls {
		for _, response := range lwthttptest.InvalidStatus("{}") {
			if err := call(lwtengine.New(), lwthttptest.Serve(t, response, lwthttptest.Close)); err == nil {
				t.Errorf("%s: %q is taken for a response", name, response)
			}
		}
		for _, response := range lwthttptest.InvalidFields("{}") {
			// A stream's body is read after its head has been accepted.
			if err := call(lwtengine.New(), lwthttptest.Serve(t, response, lwthttptest.Close)); err == nil && name != "complete" && name != "resume" {
				t.Errorf("%s: %q is taken for a response", name, response)
			}
		}
	}
}

// TestFailuresOfControlCalls guards against a status other than 200 that is taken for a success of a call.
func TestFailuresOfControlCalls(t *testing.T) {
	t.Parallel()
	const failure = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\n{}"
	for name, call := range calls {
		if err := call(lwtengine.New(), lwthttptest.Serve(t, failure, lwthttptest.Close)); err == nil {
			t.Errorf("%s: no error after status 500", name)
		}
	}
}

// TestInvalidOrderResponses guards against an order that counts as accepted or refused because of bytes that are no response.
func TestInvalidOrderResponses(t *testing.T) {
	t.Parallel()
	always := func(time.Time) bool { return true }
	for _, response := range lwthttptest.Invalid("{}") {
		address := lwthttptest.ServeBeforeBody(t, "HTTP/1.1 100 Continue\r\n\r\n"+response, lwthttptest.Close)
		outcome, err := lwtengine.New().SendOrder(address, order(1, 1), always)
		// The body of the response is not read.
		if err == nil && !lwthttptest.InvalidBodyOnly(response) || outcome == lwtorder.OutcomeRefused {
			t.Errorf("%q: outcome %s, error %v; want unknown", response, outcome, err)
		}
		address = lwthttptest.ServeBeforeBody(t, response, lwthttptest.Close)
		if outcome, err := lwtengine.New().SendOrder(address, order(1, 1), always); err == nil || outcome == lwtorder.OutcomeAccepted {
			t.Errorf("%q instead of 100: outcome %s, error %v", response, outcome, err)
		}
	}
}

// TestBrokenCompletions guards against a part of a stream without a length that passes for an end, because the engine has reset the connection while the request was still being written.
func TestBrokenCompletions(t *testing.T) {
	t.Parallel()
	body := make([]byte, 4<<20)
	for range 20 {
		address := lwthttptest.ServeBeforeBody(t, "HTTP/1.1 200 OK\r\n\r\nid: s/0\ndata: 1\n\n", lwthttptest.Reset)
		stream, err := lwtengine.New().Complete(address, lwtengine.CompletionRequest{StreamID: "s", Body: body})
		if err != nil {
			continue
		}
		if _, err := stream.Next(); err != nil {
			t.Errorf("the event before the reset: %v", err)
		}
		if event, err := stream.Next(); !errors.Is(err, lwtengine.ErrOutcomeUnknown) {
			t.Errorf("event %+v, error %v; want ErrOutcomeUnknown", event, err)
		}
		stream.Close()
	}
}
