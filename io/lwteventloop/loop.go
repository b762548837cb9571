// Package lwteventloop runs the pure models of core: it passes messages to a model one at
// a time and executes the commands that the model returns.
package lwteventloop

import (
	"context"
	"sync"
	"time"
)

// Model is a pure state machine. Update returns the next model and the
// commands to execute. It does no I/O and keeps no reference to msg.
type Model[M any, Msg any, Cmd any] interface {
	Update(now time.Time, msg Msg) (M, []Cmd)
}

// Loop owns a model and a queue of messages for it. It is safe for concurrent use.
type Loop[M Model[M, Msg, Cmd], Msg any, Cmd any] struct {
	messages chan Msg
	execute  func(context.Context, Cmd)
	mutex    sync.RWMutex
	model    M
}

// New returns a loop with an initial model and a queue of the given number of messages.
// It passes each command to execute, which must not block: it starts the work, and the
// work sends its result as a message.
func New[M Model[M, Msg, Cmd], Msg any, Cmd any](
	model M, queueSize int, execute func(context.Context, Cmd),
) *Loop[M, Msg, Cmd] {
	return &Loop[M, Msg, Cmd]{messages: make(chan Msg, queueSize), execute: execute, model: model}
}

// Send queues a message, waiting while the queue is full. It returns false if ctx ends
// first.
func (loop *Loop[M, Msg, Cmd]) Send(ctx context.Context, msg Msg) bool {
	select {
	case loop.messages <- msg:
		return true
	case <-ctx.Done():
		return false
	}
}

// TrySend queues a message if the queue is not full, and reports whether it did.
func (loop *Loop[M, Msg, Cmd]) TrySend(msg Msg) bool {
	select {
	case loop.messages <- msg:
		return true
	default:
		return false
	}
}

// Model returns the current model.
func (loop *Loop[M, Msg, Cmd]) Model() M {
	loop.mutex.RLock()
	defer loop.mutex.RUnlock()
	return loop.model
}

// Serve updates the model with each message until ctx ends. It implements
// suture.Service.
func (loop *Loop[M, Msg, Cmd]) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case msg := <-loop.messages:
			loop.update(ctx, msg)
		}
	}
}

func (loop *Loop[M, Msg, Cmd]) update(ctx context.Context, msg Msg) {
	next, cmds := loop.model.Update(time.Now(), msg)
	loop.mutex.Lock()
	loop.model = next
	loop.mutex.Unlock()
	for _, cmd := range cmds {
		loop.execute(ctx, cmd)
	}
}

// Tick calls send with the current time at each interval until ctx ends. Ticks that occur
// while send blocks, as on a full queue, are dropped except for one.
func Tick(ctx context.Context, interval time.Duration, send func(time.Time)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			send(now)
		}
	}
}
