package lwtgateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestSharedRead guards against a caller that is given the result of a read that began before it asked, and
// against a read for each caller.
func TestSharedRead(t *testing.T) {
	const interval = 20 * time.Millisecond
	var reads atomic.Int64
	var lastStart atomic.Int64
	failure := errors.New("read failed")
	sharedRead := newSharedRead(interval, func() error {
		reads.Add(1)
		lastStart.Store(time.Now().UnixNano())
		time.Sleep(5 * time.Millisecond)
		return failure
	})
	began := time.Now()
	var callers sync.WaitGroup
	for range 50 {
		callers.Go(func() {
			for range 4 {
				asked := time.Now()
				if err := sharedRead.startedAfter(context.Background(), asked); !errors.Is(err, failure) {
					t.Errorf("error %v, want %v", err, failure)
				}
				if lastStart.Load() < asked.UnixNano() {
					t.Error("the read began before the caller asked")
				}
			}
		})
	}
	callers.Wait()
	if most := int64(time.Since(began)/interval) + 2; reads.Load() > most {
		t.Errorf("%d reads in %v, want at most %d", reads.Load(), time.Since(began), most)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := sharedRead.startedAfter(ctx, time.Now().Add(time.Hour)); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want %v", err, context.Canceled)
	}
}
