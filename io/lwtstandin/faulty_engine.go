package lwtstandin

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

// FaultyEngine forwards requests to an engine and injects faults into its event
// streams: it delays events, swaps adjacent events, duplicates events, and inserts
// events of streams that do not exist.
type FaultyEngine struct {
	backend  *Engine
	listener *fasthttputil.InmemoryListener
	client   *fasthttp.HostClient
}

// An event's hash modulo hashBuckets selects its fault. Below foreignBelow, a
// foreign event is inserted before it; below duplicatedBelow, it is duplicated;
// below swappedBelow, it is swapped with the next event unless it is the last;
// below delayedBelow, it is delayed.
const (
	foreignBelow    = 3
	duplicatedBelow = 6
	swappedBelow    = 9
	delayedBelow    = 10
	hashBuckets     = 16
	eventDelay      = 3 * time.Millisecond
)

// ForeignText is the content of the inserted events that belong to no stream.
const ForeignText = "FOREIGN"

// NewFaultyEngine returns a faulty engine that wraps a working one.
func NewFaultyEngine(engine *Engine) *FaultyEngine {
	listener := fasthttputil.NewInmemoryListener()
	client := &fasthttp.HostClient{
		Addr: engine.options.Name, StreamResponseBody: true, MaxConns: 1 << 14, MaxIdemponentCallAttempts: 1,
		Dial: func(string) (net.Conn, error) { return listener.Dial() },
	}
	return &FaultyEngine{backend: engine, listener: listener, client: client}
}

// Serve handles requests on a listener until the listener is closed.
func (engine *FaultyEngine) Serve(listener net.Listener) error {
	go func() { _ = engine.backend.Serve(engine.listener) }()
	// Closing an in-memory listener never fails.
	defer func() { _ = engine.listener.Close() }()
	return newServer(engine.handle).Serve(listener)
}

func (engine *FaultyEngine) handle(ctx *fasthttp.RequestCtx) {
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	ctx.Request.CopyTo(request)
	request.SetHost("engine")
	if err := engine.client.Do(request, response); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
		return
	}
	response.Header.CopyTo(&ctx.Response.Header)
	if !bytes.HasPrefix(response.Header.ContentType(), []byte("text/event-stream")) {
		ctx.SetBody(response.Body())
		return
	}
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		// A close error can be ignored: the stream was read to its end or is not
		// needed any more.
		defer func() { _ = response.CloseBodyStream() }()
		copyWithFaults(w, bufio.NewReader(response.BodyStream()))
	})
}

// copyWithFaults copies events and injects faults. The fault of an event depends
// only on its text, so that equal runs see equal faults.
func copyWithFaults(w *bufio.Writer, from *bufio.Reader) {
	var heldBack []byte
	if w.Flush() != nil { // sends the header before the first event
		return
	}
	for {
		event, err := readEvent(from)
		if err != nil {
			return
		}
		digest := fnv.New32a()
		_, _ = digest.Write(event) // writes to a hash never fail
		bucket := digest.Sum32() % hashBuckets
		last := bytes.HasSuffix(event, []byte("data: [DONE]\n\n"))
		// Flush returns the errors of these writes.
		switch {
		case bucket < foreignBelow:
			_, _ = fmt.Fprintf(w, "id: nobody-%d/%d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n",
				bucket, digest.Sum32()%8, ForeignText)
		case bucket < duplicatedBelow:
			_, _ = w.Write(event)
		case bucket < swappedBelow && heldBack == nil && !last:
			heldBack = event
			continue
		case bucket < delayedBelow:
			time.Sleep(eventDelay)
		}
		_, _ = w.Write(event)
		_, _ = w.Write(heldBack)
		heldBack = nil
		if w.Flush() != nil {
			return
		}
	}
}

// readEvent reads one event, up to and including the blank line that ends it.
func readEvent(from *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := from.ReadSlice('\n')
		if err != nil {
			return nil, err
		}
		event = append(event, line...)
		if len(line) == 1 {
			return event, nil
		}
	}
}

// ActiveStreams returns the number of running and waiting streams.
func (engine *Engine) ActiveStreams() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return len(engine.running) + len(engine.waiting)
}
