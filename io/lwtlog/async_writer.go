package lwtlog

import (
	"fmt"
	"io"
	"sync"
)

// AsyncWriter passes lines on to a writer that may be slow. Write never blocks: lines
// that find the queue full are dropped and counted.
type AsyncWriter struct {
	mutex   sync.Mutex
	waiting []byte
	spare   []byte
	dropped int
	most    int
	wake    chan struct{}
	done    chan struct{}
}

// NewAsyncWriter returns a queue of at most a number of bytes and starts its writer.
func NewAsyncWriter(w io.Writer, most int) *AsyncWriter {
	queue := &AsyncWriter{most: most, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go queue.run(w)
	return queue
}

// Write implements io.Writer.
func (queue *AsyncWriter) Write(line []byte) (int, error) {
	queue.mutex.Lock()
	if len(queue.waiting)+len(line) > queue.most {
		queue.dropped++
	} else {
		queue.waiting = append(queue.waiting, line...)
	}
	queue.mutex.Unlock()
	select {
	case queue.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes what is waiting and stops the writer.
func (queue *AsyncWriter) Close() {
	close(queue.wake)
	<-queue.done
}

func (queue *AsyncWriter) run(w io.Writer) {
	defer close(queue.done)
	for range queue.wake {
		// A log line that can't be written is lost; there is nowhere to report it.
		_, _ = w.Write(queue.take())
	}
	_, _ = w.Write(queue.take())
}

func (queue *AsyncWriter) take() []byte {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	lines := queue.waiting
	queue.waiting, queue.spare = queue.spare[:0], lines
	if queue.dropped > 0 {
		lines = fmt.Appendf(lines, "event=log-lines-dropped count=%d\n", queue.dropped)
		queue.dropped = 0
	}
	return lines
}
