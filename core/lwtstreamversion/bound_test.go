package lwtstreamversion_test

import (
	"fmt"
	"testing"
	"time"

	"lacewingtide/core/lwtstreamversion"
)

// TestBoundOfStreams guards against a table that grows without end, or drops the newest streams first.
func TestBoundOfStreams(t *testing.T) {
	const most = 1 << 15
	table, now := lwtstreamversion.New(), time.Unix(1000, 0)
	for i := range 2 * most {
		now = now.Add(time.Millisecond)
		table.Begin(now, lwtstreamversion.Stream{
			Key: lwtstreamversion.KeyOf(fmt.Sprint("r", i)), Service: service, Version: "v1", ExpiresAt: now.Add(time.Hour),
		})
	}
	known := 0
	for i := range 2 * most {
		if _, found := table.Find(now, lwtstreamversion.KeyOf(fmt.Sprint("r", i))); found {
			known++
		}
	}
	if known > most {
		t.Errorf("%d streams are known, want at most %d", known, most)
	}
	for i := 2*most - most/2; i < 2*most; i++ {
		if _, found := table.Find(now, lwtstreamversion.KeyOf(fmt.Sprint("r", i))); !found {
			t.Fatalf("the %d newest of %d streams are not all known: %d is missing", most/2, 2*most, i)
		}
	}
}
