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

// FaultyEngine passes calls on to an engine and disturbs its event streams: it
// answers late, sends neighbouring events in the wrong order, repeats events,
// and mixes in events of streams that do not exist.
type FaultyEngine struct {
	engine *Engine
	behind *fasthttputil.InmemoryListener
	client *fasthttp.HostClient
}

// Shares of disturbed events, in parts of 16.
const (
	foreignPart  = 3
	repeatedPart = 6
	swappedPart  = 9
	latePart     = 10
	parts        = 16
	lateTime     = 3 * time.Millisecond
)

// ForeignText is the text of the events that belong to nobody.
const ForeignText = "FOREIGN"

// NewFaultyEngine returns a wrapper of an engine.
func NewFaultyEngine(engine *Engine) *FaultyEngine {
	behind := fasthttputil.NewInmemoryListener()
	client := &fasthttp.HostClient{
		Addr: engine.options.Name, StreamResponseBody: true, MaxConns: 1 << 14, MaxIdemponentCallAttempts: 1,
		Dial: func(string) (net.Conn, error) { return behind.Dial() },
	}
	return &FaultyEngine{engine: engine, behind: behind, client: client}
}

// Serve answers calls on a listener until it is closed.
func (engine *FaultyEngine) Serve(listener net.Listener) error {
	go func() { _ = engine.engine.Serve(engine.behind) }()
	// The listener in memory closes without an error.
	defer func() { _ = engine.behind.Close() }()
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
		// The stream is read to its end or not used again.
		defer func() { _ = response.CloseBodyStream() }()
		disturb(w, bufio.NewReader(response.BodyStream()))
	})
}

// disturb copies events. What happens to one follows from its text, so that
// equal runs are disturbed equally.
func disturb(w *bufio.Writer, from *bufio.Reader) {
	var kept []byte
	if w.Flush() != nil { // sends the header before the first event
		return
	}
	for {
		event, err := readEvent(from)
		if err != nil {
			return
		}
		digest := fnv.New32a()
		_, _ = digest.Write(event) // writing to a hash never fails
		part := digest.Sum32() % parts
		last := bytes.HasSuffix(event, []byte("data: [DONE]\n\n"))
		// A write error shows at the flush.
		switch {
		case part < foreignPart:
			_, _ = fmt.Fprintf(w, "id: nobody-%d/%d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n",
				part, digest.Sum32()%8, ForeignText)
		case part < repeatedPart:
			_, _ = w.Write(event)
		case part < swappedPart && kept == nil && !last:
			kept = event
			continue
		case part < latePart:
			time.Sleep(lateTime)
		}
		_, _ = w.Write(event)
		_, _ = w.Write(kept)
		kept = nil
		if w.Flush() != nil {
			return
		}
	}
}

// readEvent reads up to and including a blank line.
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

// ActiveStreams returns the number of streams that the engine runs or has waiting.
func (engine *Engine) ActiveStreams() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return len(engine.running) + len(engine.waiting)
}
