package lwtgateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtroutetable"
)

// Protocol is the protocol towards callers and backend servers.
type Protocol interface {
	// DecodeRequest decodes the headers of a caller's request.
	DecodeRequest(header *fasthttp.RequestHeader) lwtroutetable.Request
	// IsReservedHeader reports whether only the daemon may set a header (lower case).
	IsReservedHeader(name string) bool
	// IsResumeHeader reports whether a header (lower case) names the last event.
	IsResumeHeader(name string) bool
	AppendDeadline(head []byte, left time.Duration) []byte
	AppendExpectedServer(head []byte, id string) []byte
	AppendPriority(head []byte, priority int) []byte
	AppendPrefill(head []byte) []byte
	AppendKVCache(head []byte, address, handle string) []byte
	AppendResumeAfter(head []byte, event string) []byte
	// NotRun reports whether an answer says that the request was not run.
	NotRun(header *fasthttp.ResponseHeader) bool
	// ResponseRequestID returns the id of the request that an answer belongs to.
	ResponseRequestID(header *fasthttp.ResponseHeader) string
	// Signed reports whether an answer bears the server's signature.
	Signed(header *fasthttp.ResponseHeader) bool
	// ServerDraining reports whether an answer says that its server leaves.
	ServerDraining(header *fasthttp.ResponseHeader) bool
	// RetryAfter returns for how long a server that turned a request away wants no
	// other, or zero.
	RetryAfter(header *fasthttp.ResponseHeader) time.Duration
	DecodePrefill(body []byte) (handle string, err error)
	KVHandlePath(handle string) string
	ReportPath() string
	DecodeReport(body []byte) (lwtdiscovery.EngineStatus, error)
	OrderPath() string
	EncodeStageOrder(stage lwtdiscovery.Stage, holder string, fencing, accepted int64) ([]byte, error)
}
