package lwthttp_test

import (
	"testing"

	"lacewingtide/io/lwthttptest"
)

// TestInvalidStatus guards against bytes that are taken for a response although they have no valid status.
func TestInvalidStatus(t *testing.T) { checkRejected(t, lwthttptest.InvalidStatus(lwthttptest.Body)) }

// TestInvalidFields guards against responses whose head recipients read differently: names with blanks or control characters, folded lines, ambiguous framing.
func TestInvalidFields(t *testing.T) { checkRejected(t, lwthttptest.InvalidFields(lwthttptest.Body)) }

func checkRejected(t *testing.T, responses []string) {
	t.Helper()
	for _, response := range responses {
		status, body, err := send(t, pool(), lwthttptest.Serve(t, response, lwthttptest.Close), "1")
		if err == nil {
			t.Errorf("%q is taken for a response: status %d, body %q", response, status, body)
		}
	}
}

// TestUnusualResponses guards against valid responses that are rejected.
func TestUnusualResponses(t *testing.T) {
	for _, response := range lwthttptest.Valid(lwthttptest.Body) {
		_, body, err := send(t, pool(), lwthttptest.Serve(t, response, lwthttptest.Close), "1")
		if err != nil || body != lwthttptest.Body {
			t.Errorf("%q: body %q, error %v; want %s", response, body, err, lwthttptest.Body)
		}
	}
}
