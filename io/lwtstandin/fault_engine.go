package lwtstandin

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// FaultEngine passes calls on to an engine and disturbs its event streams: it
// answers late, sends neighbouring events in the wrong order, repeats events,
// and mixes in events of streams that do not exist.
type FaultEngine struct {
	target string
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

// NewFaultEngine returns a wrapper of the engine at an address.
func NewFaultEngine(target string) *FaultEngine {
	client := &fasthttp.HostClient{
		Addr: target, StreamResponseBody: true, MaxConns: 1 << 14, MaxIdemponentCallAttempts: 1,
	}
	return &FaultEngine{target: target, client: client}
}

// Serve answers calls on a listener until it is closed.
func (engine *FaultEngine) Serve(listener net.Listener) error {
	return (&fasthttp.Server{Handler: engine.handle, NoDefaultServerHeader: true}).Serve(listener)
}

func (engine *FaultEngine) handle(ctx *fasthttp.RequestCtx) {
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	ctx.Request.CopyTo(request)
	request.SetHost(engine.target)
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
