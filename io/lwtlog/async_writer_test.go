package lwtlog_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"lacewingtide/io/lwtlog"
)

// TestWritesDuringAndAfterClose guards against a process that panics in its last moments because a request still logs a line, and against lines from before the end that are lost.
func TestWritesDuringAndAfterClose(t *testing.T) {
	for range 50 {
		var output bytes.Buffer
		writer := lwtlog.NewAsyncWriter(&output, 1<<20)
		_, _ = fmt.Fprintln(writer, "event=before")
		var running sync.WaitGroup
		for range 4 {
			running.Go(func() {
				for range 200 {
					_, _ = fmt.Fprintln(writer, "event=during")
				}
			})
		}
		writer.Close()
		running.Wait()
		if n, err := fmt.Fprintln(writer, "event=after"); n == 0 || err != nil {
			t.Fatalf("a line after the end: %d bytes, error %v", n, err)
		}
		writer.Close()
		if !strings.HasPrefix(output.String(), "event=before\n") || strings.Contains(output.String(), "event=after") {
			t.Fatalf("output %.100q", output.String())
		}
	}
}
