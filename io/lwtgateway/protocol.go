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
	// AppendDeadline appends the time left for the request.
	AppendDeadline(head []byte, left time.Duration) []byte
	// AppendExpectedServer makes any server other than the one with this ID reject the
	// request.
	AppendExpectedServer(head []byte, id string) []byte
	// AppendPriority appends the priority at an engine, 0 (highest) to 9.
	AppendPriority(head []byte, priority int) []byte
	// AppendPrefill marks a prefill-only request.
	AppendPrefill(head []byte) []byte
	// AppendKVCache names the KV cache to start from: the address of the engine that holds
	// it and its handle.
	AppendKVCache(head []byte, address, handle string) []byte
	// AppendResumeAfter appends the ID of the last event that the caller has received.
	AppendResumeAfter(head []byte, event string) []byte
	// NotRun reports whether a response says that the request was not executed.
	NotRun(header *fasthttp.ResponseHeader) bool
	// PromisesNotRun reports whether callers read a status as a promise that the request has not
	// run and will not run, so that they send it again whatever its kind.
	PromisesNotRun(status int) bool
	// ResponseRequestID returns the ID of the request that a response belongs to, or "" if
	// the response has none.
	ResponseRequestID(header *fasthttp.ResponseHeader) string
	// Signed reports whether a response carries the server's signature and its unchanged body.
	Signed(header *fasthttp.ResponseHeader) bool
	// ServerDraining reports whether a response says that its server is draining.
	ServerDraining(header *fasthttp.ResponseHeader) bool
	// RetryAfter returns the backoff that a server requests after it has rejected a request,
	// or zero.
	RetryAfter(header *fasthttp.ResponseHeader) time.Duration
	// RequestLimit returns the number of requests per second that a server takes from all
	// daemons together, if the response names one. The error says that it is malformed.
	RequestLimit(header *fasthttp.ResponseHeader) (perSecond float64, limited bool, err error)
	// DecodePrefill returns the handle of the KV cache from the response to a prefill-only
	// request.
	DecodePrefill(body []byte) (handle string, err error)
	// KVHandlePath returns the path that frees a KV cache when called with DELETE.
	KVHandlePath(handle string) string
	// ReportPath returns the path of an engine's status report, which DecodeReport decodes.
	ReportPath() string
	DecodeReport(body []byte) (lwtdiscovery.EngineStatus, error)
	// OrderPath returns the path for orders to an engine.
	OrderPath() string
	// EncodeStageOrder encodes an order to change an engine's stage. Holder is the daemon
	// that holds the order lease, and fencing is the lease's fencing number. The engine
	// rejects the order unless it has accepted exactly accepted orders.
	EncodeStageOrder(stage lwtdiscovery.Stage, holder string, fencing, accepted int64) ([]byte, error)
}
