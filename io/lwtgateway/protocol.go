package lwtgateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtroutetable"
)

// Protocol encodes and decodes the HTTP headers, paths and bodies of the platform's protocol
// with callers and backend servers. Methods that append to a head append whole header lines.
type Protocol interface {
	// DecodeRequest decodes the headers of a caller's request.
	DecodeRequest(header *fasthttp.RequestHeader) lwtroutetable.Request
	// IsReservedHeader reports whether only the daemon may set a header. Name is in lower
	// case.
	IsReservedHeader(name string) bool
	// IsResumeHeader reports whether a header holds the ID of the last event that the
	// caller has received. Name is in lower case.
	IsResumeHeader(name string) bool
	AppendDeadline(head []byte, left time.Duration) []byte
	AppendExpectedServer(head []byte, id string) []byte
	AppendPriority(head []byte, priority int) []byte
	AppendPrefill(head []byte) []byte
	AppendKVCache(head []byte, address, handle string) []byte
	AppendResumeAfter(head []byte, event string) []byte
	// NotRun reports whether a response says that the request was not executed.
	NotRun(header *fasthttp.ResponseHeader) bool
	// ResponseRequestID returns the ID of the request that a response belongs to, or "" if
	// the response has none.
	ResponseRequestID(header *fasthttp.ResponseHeader) string
	// Signed reports whether a response carries the server's signature.
	Signed(header *fasthttp.ResponseHeader) bool
	// ServerDraining reports whether a response says that its server is draining.
	ServerDraining(header *fasthttp.ResponseHeader) bool
	// RetryAfter returns the backoff that a server requests after it has rejected a request,
	// or zero.
	RetryAfter(header *fasthttp.ResponseHeader) time.Duration
	DecodePrefill(body []byte) (handle string, err error)
	KVHandlePath(handle string) string
	ReportPath() string
	DecodeReport(body []byte) (lwtdiscovery.EngineStatus, error)
	OrderPath() string
	EncodeStageOrder(stage lwtdiscovery.Stage, holder string, fencing, accepted int64) ([]byte, error)
}
