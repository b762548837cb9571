package lwtgateway

import (
	"context"
	"sync"
	"time"
)

// sharedRead makes one read for all callers that wait for one. It is safe for concurrent use.
type sharedRead struct {
	// interval is the minimum time between the starts of two reads.
	interval time.Duration
	read     func() error

	mutex sync.Mutex
	// last is the running read or, if there is none, the latest. It is nil before the first.
	last *readResult
}

// readResult is a read whose err is set when done is closed.
type readResult struct {
	startTime time.Time
	done      chan struct{}
	err       error
}

func newSharedRead(interval time.Duration, read func() error) *sharedRead {
	return &sharedRead{interval: interval, read: read}
}

// startedAfter waits for a read that started at or after a moment and returns its error.
func (sharedRead *sharedRead) startedAfter(ctx context.Context, moment time.Time) error {
	for {
		result := sharedRead.nextResult(time.Now(), moment)
		select {
		case <-result.done:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !result.startTime.Before(moment) {
			return result.err
		}
	}
}

// nextResult returns a read that started at or after a moment, or the one that must end before that
// one can start.
func (sharedRead *sharedRead) nextResult(now, moment time.Time) *readResult {
	sharedRead.mutex.Lock()
	defer sharedRead.mutex.Unlock()
	startTime := now
	if last := sharedRead.last; last != nil {
		if !last.startTime.Before(moment) {
			return last
		}
		select {
		case <-last.done:
		default:
			return last
		}
		if earliest := last.startTime.Add(sharedRead.interval); earliest.After(now) {
			startTime = earliest
		}
	}
	result := &readResult{startTime: startTime, done: make(chan struct{})}
	sharedRead.last = result
	go func() {
		defer close(result.done)
		time.Sleep(startTime.Sub(now))
		result.err = sharedRead.read()
	}()
	return result
}
