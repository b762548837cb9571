package lwtoperator_test

import (
	"errors"
	"testing"

	"lacewingtide/core/lwtticket"
	"lacewingtide/io/lwthttptest"
	"lacewingtide/io/lwtoperator"
)

// TestInvalidResponses guards against bytes of a daemon that are taken for a response although they are none, and against a ticket that is called refused because of them.
func TestInvalidResponses(t *testing.T) {
	t.Parallel()
	for _, response := range lwthttptest.Invalid("{}") {
		client := lwtoperator.NewClient([]string{lwthttptest.Serve(t, response, lwthttptest.Close)}, "key")
		if status, err := client.Status(); !errors.Is(err, lwtoperator.ErrNoResponse) {
			t.Errorf("%q: status %v, error %v; want ErrNoResponse", response, status, err)
		}
		if got, err := client.Submit("w1", []byte("{}")); err != nil || got.Outcome != lwtticket.OutcomeUnknown {
			t.Errorf("%q: outcome %q, error %v; want unknown", response, got.Outcome, err)
		}
	}
}

// TestFailureWithoutAnOutcome guards against a ticket that is called refused although only the status of the response says so: a daemon that fails may have stored it.
func TestFailureWithoutAnOutcome(t *testing.T) {
	t.Parallel()
	for status, want := range map[string]lwtticket.Outcome{
		"500 Internal Server Error": lwtticket.OutcomeUnknown, "502 Bad Gateway": lwtticket.OutcomeUnknown,
		"503 Service Unavailable": lwtticket.OutcomeUnknown, "400 Bad Request": "", "401 Unauthorized": "",
	} {
		address := lwthttptest.Serve(t, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\n{}", lwthttptest.Close)
		got, err := lwtoperator.NewClient([]string{address}, "key").Submit("w1", []byte("{}"))
		if got.Outcome != want || errors.Is(err, lwtoperator.ErrRejected) != (want == "") {
			t.Errorf("status %s: outcome %q, error %v; want outcome %q", status, got.Outcome, err, want)
		}
	}
}
