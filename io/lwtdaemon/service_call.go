package lwtdaemon

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/io/lwtentry"
)

// defaultServiceTimeout bounds the attempts of a service that declares no timeout.
const defaultServiceTimeout = 10 * time.Second

// serviceCall is a copy of one call to a service. Attempts only read it. It shares
// no buffers with the server, so that an attempt that outlives the request can't
// see another caller's data.
type serviceCall struct {
	requestID      string
	caller         lwtdeclaredstate.Caller
	service        lwtdeclaredstate.Service
	header         fasthttp.RequestHeader
	requestURI     string
	body           []byte
	idempotent     bool
	idempotencyKey string
	deadline       time.Time
}

// newServiceCall copies the call from the buffers of ctx, which are reused for
// later requests.
func newServiceCall(
	ctx *fasthttp.RequestCtx, id string, caller lwtdeclaredstate.Caller, service lwtdeclaredstate.Service, path string,
) *serviceCall {
	timeout := service.Timeout.Std()
	if timeout <= 0 {
		timeout = defaultServiceTimeout
	}
	call := &serviceCall{
		requestID: id, caller: caller, service: service,
		body:           bytes.Clone(ctx.PostBody()),
		idempotencyKey: string(ctx.Request.Header.Peek("Idempotency-Key")),
		deadline:       time.Now().Add(timeout),
	}
	ctx.Request.Header.CopyTo(&call.header)
	removeHopByHop(&call.header)
	call.header.Del("Authorization")
	original := originalPath(ctx, service.Name, path)
	// A backend server may interpret escapes in a path differently from the
	// daemon, so both forms of the path must match the declaration.
	method := string(ctx.Method())
	call.idempotent = service.IsIdempotent(method, path) && service.IsIdempotent(method, original)
	call.requestURI = original
	if query := ctx.URI().QueryString(); len(query) > 0 {
		call.requestURI += "?" + string(query)
	}
	return call
}

// originalPath returns the path after the service's name as the caller sent it,
// without decoding its escapes.
func originalPath(ctx *fasthttp.RequestCtx, service, path string) string {
	original, found := strings.CutPrefix(string(ctx.URI().PathOriginal()), "/services/"+service)
	switch {
	case found && original == "":
		return "/"
	case found && original[0] == '/':
		return original
	}
	var uri fasthttp.URI
	uri.SetPath(path)
	return string(uri.Path())
}

// hash returns the hexadecimal SHA-256 hash of the service name, method, request
// URI and body.
func (call *serviceCall) hash() string {
	digest := sha256.New()
	for _, part := range []string{call.service.Name, string(call.header.Method()), call.requestURI, string(call.body)} {
		// Writing to a hash never fails. The length prefix separates the parts.
		_, _ = digest.Write([]byte{byte(len(part) >> 24), byte(len(part) >> 16), byte(len(part) >> 8), byte(len(part))})
		_, _ = io.WriteString(digest, part)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// head returns the head of a request to one backend server.
func (call *serviceCall) head(address string) []byte {
	var header fasthttp.RequestHeader
	call.header.CopyTo(&header)
	header.SetRequestURI(call.requestURI)
	header.SetHost(address)
	if len(call.body) > 0 || !header.IsGet() && !header.IsHead() {
		header.SetContentLength(len(call.body))
	}
	return header.AppendBytes(nil)
}

// hopByHopHeaders are the headers that apply to a single connection and are not
// forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

type headers interface {
	Peek(name string) []byte
	Del(name string)
}

func removeHopByHop(headers headers) {
	for _, name := range strings.Split(string(headers.Peek("Connection")), ",") {
		if name = strings.TrimSpace(name); name != "" {
			headers.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		headers.Del(name)
	}
}

// writeResponse forwards a backend server's response to the caller.
func writeResponse(ctx *fasthttp.RequestCtx, response *fasthttp.Response) {
	removeHopByHop(&response.Header)
	response.Header.Del(lwtentry.HeaderOutcome)
	response.CopyTo(&ctx.Response)
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		// The response does not state that the call did not run, whatever its status promises.
		ctx.Response.Header.Set(lwtentry.HeaderOutcome, lwtentry.OutcomeUnknown)
	}
}
