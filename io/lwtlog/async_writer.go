package lwtlog

import (
	"fmt"
	"io"
	"sync"
)

// AsyncWriter buffers lines for a writer that may be slow. Write never blocks: lines that
// don't fit into the buffer are dropped, and their number is logged. Lines after Close are
// dropped too. It is safe for concurrent use.
type AsyncWriter struct {
	mutex   sync.Mutex
	pending []byte
	// spare is the buffer that is or was last written to w; it is reused.
	spare   []byte
	dropped int
	// maxBytes is the maximum length of pending.
	maxBytes int
	closed   bool
	wake     chan struct{}
	done     chan struct{}
}

// NewAsyncWriter returns a writer that buffers up to maxBytes and starts the goroutine
// that writes to w.
func NewAsyncWriter(w io.Writer, maxBytes int) *AsyncWriter {
	writer := &AsyncWriter{maxBytes: maxBytes, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go writer.run(w)
	return writer
}

// Write implements io.Writer. It always reports success.
func (writer *AsyncWriter) Write(line []byte) (int, error) {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	if writer.closed {
		return len(line), nil
	}
	if len(writer.pending)+len(line) > writer.maxBytes {
		writer.dropped++
	} else {
		writer.pending = append(writer.pending, line...)
	}
	select {
	case writer.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes the pending lines and stops the goroutine. It may be called more than once.
func (writer *AsyncWriter) Close() {
	writer.mutex.Lock()
	if !writer.closed {
		writer.closed = true
		close(writer.wake)
	}
	writer.mutex.Unlock()
	<-writer.done
}

func (writer *AsyncWriter) run(w io.Writer) {
	defer close(writer.done)
	for range writer.wake {
		// A write error can't be logged, so the lines are lost.
		_, _ = w.Write(writer.takePending())
	}
	_, _ = w.Write(writer.takePending())
}

func (writer *AsyncWriter) takePending() []byte {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	lines := writer.pending
	writer.pending, writer.spare = writer.spare[:0], lines
	if writer.dropped > 0 {
		lines = fmt.Appendf(lines, "event=log-lines-dropped count=%d\n", writer.dropped)
		writer.dropped = 0
	}
	return lines
}
