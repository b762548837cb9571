package lwtgateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtroutetable"
)

// Wire is the protocol towards callers and backend servers.
type Wire interface {
	// Request decodes the headers of a caller's request.
	Request(header *fasthttp.RequestHeader) lwtroutetable.Request
	// SystemHeader reports whether only the daemon may set a header (lower case).
	SystemHeader(name string) bool
	// ResumeHeader reports whether a header (lower case) names the last event.
	ResumeHeader(name string) bool
	AppendDeadline(head []byte, left time.Duration) []byte
	AppendServer(head []byte, id string) []byte
	AppendPriority(head []byte, priority int) []byte
	AppendPrefill(head []byte) []byte
	AppendMemory(head []byte, address, handle string) []byte
	AppendResume(head []byte, event string) []byte
	// NotRun reports whether an answer says that the request was not run.
	NotRun(header *fasthttp.ResponseHeader) bool
	// AnswerID returns the id of the request that an answer belongs to.
	AnswerID(header *fasthttp.ResponseHeader) string
	// Sealed reports whether an answer bears the server's signature.
	Sealed(header *fasthttp.ResponseHeader) bool
	// Leaving reports whether an answer says that its server leaves.
	Leaving(header *fasthttp.ResponseHeader) bool
	// Pause returns for how long a server that turned a request away wants no
	// other, or zero.
	Pause(header *fasthttp.ResponseHeader) time.Duration
	DecodePrefill(body []byte) (handle string, err error)
	HandlePath(handle string) string
	ReportPath() string
	DecodeReport(body []byte) (lwtdiscovery.Report, error)
	OrderPath() string
	EncodeStageOrder(stage lwtdiscovery.Stage, holder string, fencing, accepted int64) ([]byte, error)
}
