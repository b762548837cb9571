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

// engineState is the state that an engine reports.
type engineState struct {
	Incarnation int64                 `json:"incarnation"`
	Role        lwtdeclaredstate.Role `json:"role"`
	Models      []string              `json:"models"`
	Adapters    []string              `json:"adapters"`
	// Reconfiguring is true while an order is being carried out.
	Reconfiguring bool  `json:"changing"`
	Fencing       int64 `json:"fencing"`
	Sequence      int64 `json:"sequence"`
	// ActiveStreams is the number of running and waiting streams.
	ActiveStreams int                   `json:"running"`
	Config        lwtorder.EngineConfig `json:"content"`
}

// Serve handles requests on a listener until the listener is closed.
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
		writeJSON(ctx, engine.currentLoad())
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
	engine.orderPause.RLock()
	defer engine.orderPause.RUnlock()
	writeJSON(ctx, engine.currentState(time.Now()))
}

func (engine *Engine) handleCompletion(ctx *fasthttp.RequestCtx) {
	var request completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		rejectRequest(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	priority, _ := strconv.Atoi(string(ctx.Request.Header.Peek("Engine-Priority")))
	prefixHashes := requestPrefixes(ctx.PostBody())
	stream, err := engine.startStream(request, prefixHashes, string(ctx.Request.Header.Peek("Engine-Request")), priority)
	if err != nil {
		rejectRequest(ctx, fasthttp.StatusServiceUnavailable, err)
		return
	}
	engine.writeStream(ctx, stream, 0)
}

func (engine *Engine) handleStream(ctx *fasthttp.RequestCtx, id string) {
	if ctx.IsDelete() {
		if !engine.cancelStream(id) {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
		return
	}
	stream, found := engine.findStream(id)
	offset := ctx.QueryArgs().GetUintOrZero("offset")
	if !found {
		rejectRequest(ctx, fasthttp.StatusNotFound, fmt.Errorf("no stream %q", id))
		return
	}
	engine.writeStream(ctx, stream, offset)
}

// rejectRequest responds that the request did not run, with the reason.
func rejectRequest(ctx *fasthttp.RequestCtx, status int, err error) {
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set("Engine-Outcome", "not-run")
	writeJSON(ctx, struct {
		Error string `json:"error"`
	}{err.Error()})
}

func (engine *Engine) writeStream(ctx *fasthttp.RequestCtx, stream *engineStream, offset int) {
	ctx.SetContentType("text/event-stream")
	if load, err := json.Marshal(engine.currentLoad()); err == nil {
		ctx.Response.Header.SetBytesV("Engine-Load", load)
	}
	stream.addReader()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer func() { stream.removeReader(time.Now()) }()
		copyStream(w, stream, offset)
	})
}

// copyStream writes the events of a stream, from an offset on, until the stream
// ends or is cancelled, or the connection breaks.
func copyStream(w *bufio.Writer, stream *engineStream, offset int) {
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for {
		generated, cancelled, changed := stream.progress()
		for ; offset < generated; offset++ {
			writeToken(w, stream, offset)
		}
		if generated >= stream.completionTokens {
			writeEnd(w, stream, offset)
			return
		}
		if cancelled || w.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-keepAlive.C:
			// Flush returns the error of this write.
			_, _ = w.WriteString(": keep-alive\n\n")
		}
	}
}

func writeToken(w *bufio.Writer, stream *engineStream, offset int) {
	timestampField := ""
	if stream.timestampEvents {
		timestampField = fmt.Sprintf("\"written\":%d,", time.Now().UnixNano())
	}
	// Flush returns the error of this write.
	_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: {%s\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\","+
		"\"created\":0,\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":%q},"+
		"\"finish_reason\":null}]}\n\n",
		stream.id, offset, timestampField, stream.id, stream.model, Token(stream.prompt, offset))
}

// writeEnd writes the final event with the usage and the [DONE] event, unless the
// offset is beyond them.
func writeEnd(w *bufio.Writer, stream *engineStream, offset int) {
	if offset > stream.completionTokens+1 {
		return
	}
	if offset <= stream.completionTokens {
		_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\","+
			"\"created\":0,\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],"+
			"\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\n",
			stream.id, stream.completionTokens, stream.id, stream.model,
			stream.promptTokens, stream.completionTokens, stream.promptTokens+stream.completionTokens)
	}
	_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: [DONE]\n\n", stream.id, stream.completionTokens+1)
	// If Flush fails, the connection is broken, and the reader sees its end.
	_ = w.Flush()
}
