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

// serviceCall is one call to a plain service. Its attempts only read it, so
// that one that is late can't see another caller's data.
type serviceCall struct {
	id         string
	caller     lwtdeclaredstate.Caller
	service    lwtdeclaredstate.Service
	header     fasthttp.RequestHeader
	target     string
	body       []byte
	idempotent bool
	key        string
	deadline   time.Time
}

// newServiceCall copies the call out of the buffers of ctx.
func newServiceCall(
	ctx *fasthttp.RequestCtx, id string, caller lwtdeclaredstate.Caller, service lwtdeclaredstate.Service, path string,
) *serviceCall {
	timeout := service.Timeout.Std()
	if timeout <= 0 {
		timeout = defaultServiceTimeout
	}
	call := &serviceCall{
		id: id, caller: caller, service: service,
		body:     bytes.Clone(ctx.PostBody()),
		key:      string(ctx.Request.Header.Peek("Idempotency-Key")),
		deadline: time.Now().Add(timeout),
	}
	ctx.Request.Header.CopyTo(&call.header)
	removeHopByHop(&call.header)
	call.header.Del("Authorization")
	original := originalPath(ctx, service.Name, path)
	// A path that a backend server may read in another way than the daemon
	// does must match the declaration in both forms.
	method := string(ctx.Method())
	call.idempotent = service.IsIdempotent(method, path) && service.IsIdempotent(method, original)
	call.target = original
	if query := ctx.URI().QueryString(); len(query) > 0 {
		call.target += "?" + string(query)
	}
	return call
}

// originalPath returns the path below the service's name as the caller wrote
// it, with its escapes.
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

// hash identifies the content of the call.
func (call *serviceCall) hash() string {
	digest := sha256.New()
	for _, part := range []string{call.service.Name, string(call.header.Method()), call.target, string(call.body)} {
		// Writing to a hash never fails. The length keeps parts apart.
		_, _ = digest.Write([]byte{byte(len(part) >> 24), byte(len(part) >> 16), byte(len(part) >> 8), byte(len(part))})
		_, _ = io.WriteString(digest, part)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// request returns a request for one backend server. The body is shared.
func (call *serviceCall) request(address string) *fasthttp.Request {
	request := &fasthttp.Request{}
	call.header.CopyTo(&request.Header)
	request.SetRequestURI(call.target)
	request.Header.SetRequestURI(call.target)
	request.Header.SetHost(address)
	request.SetBodyRaw(call.body)
	return request
}

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
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
	for _, name := range hopByHop {
		headers.Del(name)
	}
}

// writeResponse passes a backend server's answer on.
func writeResponse(ctx *fasthttp.RequestCtx, response *fasthttp.Response) {
	removeHopByHop(&response.Header)
	response.Header.Del(lwtentry.HeaderOutcome)
	response.CopyTo(&ctx.Response)
	if response.StatusCode() >= fasthttp.StatusInternalServerError {
		// The service does not say whether the call ran before it failed.
		ctx.Response.Header.Set(lwtentry.HeaderOutcome, lwtentry.OutcomeUnknown)
	}
}
