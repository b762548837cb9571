package lwtstandin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtorder"
)

const (
	keepAliveInterval = time.Second
	streamsPath       = "/v1/streams/"
)

// engineState is what an engine says of itself.
type engineState struct {
	Incarnation int64                 `json:"incarnation"`
	Role        lwtdeclaredstate.Role `json:"role"`
	Models      []string              `json:"models"`
	Adapters    []string              `json:"adapters"`
	// Changing says that an order is being carried out.
	Changing bool  `json:"changing"`
	Fencing  int64 `json:"fencing"`
	Sequence int64 `json:"sequence"`
	// Running counts the streams that run or wait.
	Running int                   `json:"running"`
	Content lwtorder.EngineConfig `json:"content"`
}

// Serve answers calls on a listener until it is closed.
func (engine *Engine) Serve(listener net.Listener) error {
	server := newServer(engine.handle)
	server.HeaderReceived = engine.startOrderTimer
	return server.Serve(listener)
}

func (engine *Engine) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/v1/chat/completions":
		engine.handleCompletion(ctx)
	case strings.HasPrefix(path, streamsPath):
		engine.handleStream(ctx, strings.TrimPrefix(path, streamsPath))
	case path == "/v1/load":
		writeJSON(ctx, engine.load())
	case path == cacheEventsPath:
		engine.handleCacheEvents(ctx)
	case path == "/v1/state":
		engine.handleState(ctx)
	case path == ordersPath:
		engine.handleOrder(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (engine *Engine) handleState(ctx *fasthttp.RequestCtx) {
	engine.gate.RLock()
	defer engine.gate.RUnlock()
	writeJSON(ctx, engine.currentState(time.Now()))
}

func (engine *Engine) handleCompletion(ctx *fasthttp.RequestCtx) {
	var request completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	priority, _ := strconv.Atoi(string(ctx.Request.Header.Peek("Engine-Priority")))
	prefixes := requestPrefixes(ctx.PostBody())
	stream, err := engine.start(request, prefixes, string(ctx.Request.Header.Peek("Engine-Request")), priority)
	if err != nil {
		refuse(ctx, fasthttp.StatusServiceUnavailable, err)
		return
	}
	engine.writeStream(ctx, stream, 0)
}

func (engine *Engine) handleStream(ctx *fasthttp.RequestCtx, id string) {
	if ctx.IsDelete() {
		if !engine.cancel(id) {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
		return
	}
	stream, found := engine.stream(id)
	offset := ctx.QueryArgs().GetUintOrZero("offset")
	if !found {
		refuse(ctx, fasthttp.StatusNotFound, fmt.Errorf("no stream %q", id))
		return
	}
	engine.writeStream(ctx, stream, offset)
}

// refuse answers that a request did not run.
func refuse(ctx *fasthttp.RequestCtx, status int, err error) {
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set("Engine-Outcome", "not-run")
	writeJSON(ctx, struct {
		Error string `json:"error"`
	}{err.Error()})
}

func (engine *Engine) writeStream(ctx *fasthttp.RequestCtx, stream *engineStream, offset int) {
	ctx.SetContentType("text/event-stream")
	if load, err := json.Marshal(engine.load()); err == nil {
		ctx.Response.Header.SetBytesV("Engine-Load", load)
	}
	stream.attach()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer func() { stream.detach(time.Now()) }()
		copyStream(w, stream, offset)
	})
}

// copyStream writes the events of a stream from an offset on until the stream
// ends or the connection breaks.
func copyStream(w *bufio.Writer, stream *engineStream, offset int) {
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for {
		made, cancelled, changed := stream.progress()
		for ; offset < made; offset++ {
			writeToken(w, stream, offset)
		}
		if made >= stream.total {
			writeEnd(w, stream, offset)
			return
		}
		if cancelled || w.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-keepAlive.C:
			// A write error shows at the next flush.
			_, _ = w.WriteString(": keep-alive\n\n")
		}
	}
}

func writeToken(w *bufio.Writer, stream *engineStream, offset int) {
	stamp := ""
	if stream.stamp {
		stamp = fmt.Sprintf("\"written\":%d,", time.Now().UnixNano())
	}
	// A write error shows at the next flush.
	_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: {%s\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\","+
		"\"created\":0,\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":%q},"+
		"\"finish_reason\":null}]}\n\n",
		stream.id, offset, stamp, stream.id, stream.model, Token(stream.prompt, offset))
}

func writeEnd(w *bufio.Writer, stream *engineStream, offset int) {
	if offset > stream.total+1 {
		return
	}
	if offset <= stream.total {
		_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\","+
			"\"created\":0,\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],"+
			"\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\n",
			stream.id, stream.total, stream.id, stream.model,
			stream.promptTokens, stream.total, stream.promptTokens+stream.total)
	}
	_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: [DONE]\n\n", stream.id, stream.total+1)
	// The connection's end shows a failed flush to the reader.
	_ = w.Flush()
}
