// Package lwtentry is the HTTP server for callers. It serves chat completions in the format
// of OpenAI's API, forwards calls to backend services, and returns the entry addresses that
// a caller should use.
package lwtentry

import (
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtscorerouter"
	"lacewingtide/io/lwtengine"
	"lacewingtide/io/lwtlog"
)

// StateSource provides the active declared state.
type StateSource interface {
	// State returns the active declared state, or false before the first one is received.
	State() (lwtdeclaredstate.State, bool)
}

// Router chooses engines and records the progress of the requests that it placed.
type Router interface {
	// Pick chooses an engine for a request. It returns a
	// *lwtadmission.Rejection when no engine can serve it in time, and
	// lwtscorerouter.ErrNoEngine when none serves the model.
	Pick(now time.Time, request lwtscorerouter.Request) (lwtscorerouter.Choice, error)
	// RecordLoad records a load report of an engine.
	RecordLoad(now time.Time, engine string, load lwtengine.Load)
	// RecordFirstToken records that the first token of a placed request has arrived.
	RecordFirstToken(now time.Time, request lwtscorerouter.Request, choice lwtscorerouter.Choice)
	// RecordCompletion records that the response to a placed request is complete, with its
	// number of output tokens.
	RecordCompletion(now time.Time, request lwtscorerouter.Request, choice lwtscorerouter.Choice, tokens int)
	// RecordDone records that a placed request is no longer in flight on its engine. If
	// failed is set, the engine did not complete the response.
	RecordDone(now time.Time, request lwtscorerouter.Request, choice lwtscorerouter.Choice, failed bool)
}

// Limiter enforces each caller's limits.
type Limiter interface {
	// Acquire admits one request and returns a function that must be called when the
	// request ends. It returns a *lwtadmission.Rejection when a limit is reached.
	Acquire(now time.Time, caller lwtdeclaredstate.Caller) (release func(), err error)
}

// AddressSource assigns entry addresses to callers.
type AddressSource interface {
	// EntryAddresses returns the addresses (IP:port) that a caller should use, best first,
	// and how long the caller may cache them.
	EntryAddresses(now time.Time, caller string) (addresses []string, ttl time.Duration)
}

// Observer records finished requests.
type Observer interface {
	// Observe is called once at the end of each request.
	Observe(now time.Time, result RequestResult)
}

// RequestResult is the outcome of one request.
type RequestResult struct {
	Caller           string
	Class            lwtdeclaredstate.Class
	Engine           string
	TimeToFirstToken time.Duration
	EndToEndLatency  time.Duration
	// Outcome is OutcomeDone, OutcomeNotRun or OutcomeUnknown.
	Outcome string
}

// Forwarder forwards calls to backend services.
type Forwarder interface {
	// Forward forwards one call and writes the response to ctx. Path is the part of the
	// URL path after the service's name, with a leading slash.
	Forward(
		ctx *fasthttp.RequestCtx, requestID string, caller lwtdeclaredstate.Caller, service lwtdeclaredstate.Service,
		path string,
	)
}

// Dependencies are the components and settings of a Server.
type Dependencies struct {
	StateSource   StateSource
	Router        Router
	Limiter       Limiter
	AddressSource AddressSource
	Observer      Observer
	Forwarder     Forwarder
	Engines       *lwtengine.Client
	Logger        log.Logger
	// StreamKey is the key that signs event IDs. All daemons share it.
	StreamKey []byte
	// Name is the daemon's name, the prefix of its request IDs.
	Name             string
	AvailabilityZone string
	// ReadTimeout is the maximum time to read one request; 0 means 15 s.
	ReadTimeout time.Duration
}

// Limits of requests and paths of the API.
const (
	maxBodyBytes    = 8 << 20
	maxHeaderBytes  = 32 << 10
	readTimeout     = 15 * time.Second
	idleTimeout     = 75 * time.Second
	maxConnections  = 16384
	servicesPath    = "/services/"
	completionsPath = "/v1/chat/completions"
)

// Server is the HTTP server for callers. It is safe for concurrent use.
type Server struct {
	dependencies Dependencies
	requestIDs   *requestIDSource
	retryBudget  *retryBudget
	http         *fasthttp.Server
	draining     atomic.Bool
}

// New returns a server. Serve starts it.
func New(dependencies Dependencies) *Server {
	server := &Server{
		dependencies: dependencies, requestIDs: newRequestIDSource(dependencies.Name), retryBudget: newRetryBudget(),
	}
	if dependencies.ReadTimeout == 0 {
		dependencies.ReadTimeout = readTimeout
	}
	server.http = &fasthttp.Server{
		Handler:               server.handleRequest,
		ErrorHandler:          handleProtocolError,
		MaxRequestBodySize:    maxBodyBytes,
		ReadBufferSize:        maxHeaderBytes,
		ReadTimeout:           dependencies.ReadTimeout,
		IdleTimeout:           idleTimeout,
		Concurrency:           maxConnections,
		NoDefaultServerHeader: true,
		Logger:                lwtlog.NewPrintfLogger(dependencies.Logger, "caller-connection-failed"),
		CloseOnShutdown:       true,
		// Bodies of service calls are forwarded unparsed.
		DisablePreParseMultipartForm: true,
	}
	return server
}

// Serve accepts connections on a listener until Shutdown is called.
func (server *Server) Serve(listener net.Listener) error {
	return server.http.Serve(callerListener{listener})
}

// Shutdown stops accepting connections and waits for requests in flight.
func (server *Server) Shutdown() error {
	return server.http.Shutdown()
}

// handleRequest handles a request. It sets Connection: close after the handler, because
// handlers may replace the whole response.
func (server *Server) handleRequest(ctx *fasthttp.RequestCtx) {
	server.route(ctx)
	if server.draining.Load() {
		ctx.SetConnectionClose()
	}
}

func (server *Server) route(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == "/healthz" {
		return
	}
	state, known := server.dependencies.StateSource.State()
	if !known {
		writeError(ctx, errNoConfiguration)
		return
	}
	caller, known := authenticate(ctx, state)
	if !known {
		writeError(ctx, errInvalidKey)
		return
	}
	switch {
	case path == completionsPath:
		server.handleCompletion(ctx, state, caller)
	case path == "/v1/models":
		handleModels(ctx, state, caller)
	case path == "/v1/entry-addresses":
		server.handleAddresses(ctx, caller)
	case strings.HasPrefix(path, servicesPath):
		server.handleService(ctx, state, caller, strings.TrimPrefix(path, servicesPath))
	default:
		writeError(ctx, errUnknownPath)
	}
}

func (server *Server) handleAddresses(ctx *fasthttp.RequestCtx, caller lwtdeclaredstate.Caller) {
	addresses, ttl := server.dependencies.AddressSource.EntryAddresses(time.Now(), caller.Name)
	writeJSON(ctx, struct {
		Addresses   []string `json:"entry-addresses"`
		KeepSeconds float64  `json:"keep-seconds"`
	}{addresses, ttl.Seconds()})
}

func (server *Server) handleService(
	ctx *fasthttp.RequestCtx, state lwtdeclaredstate.State, caller lwtdeclaredstate.Caller, servicePath string,
) {
	name, path, _ := strings.Cut(servicePath, "/")
	service, found := state.Services[name]
	if !found || !contains(caller.Services, name) {
		writeError(ctx, errUnknownService)
		return
	}
	startedAt := time.Now()
	releaseLimit, err := server.dependencies.Limiter.Acquire(startedAt, caller)
	if err != nil {
		writeError(ctx, rejectionError(err))
	} else {
		defer releaseLimit()
		server.dependencies.Forwarder.Forward(ctx, server.requestIDs.next(), caller, service, "/"+path)
	}
	server.observeServiceCall(ctx, caller, service, "/"+path, startedAt)
}

// observeServiceCall passes the outcome of a service call to the observer. Idempotent calls
// count as lookups, all others as orders.
func (server *Server) observeServiceCall(
	ctx *fasthttp.RequestCtx, caller lwtdeclaredstate.Caller, service lwtdeclaredstate.Service, path string,
	startedAt time.Time,
) {
	now := time.Now()
	result := RequestResult{
		Caller: caller.Name, Class: lwtdeclaredstate.ClassOrder, EndToEndLatency: now.Sub(startedAt),
		Outcome: string(ctx.Response.Header.Peek(HeaderOutcome)),
	}
	if service.IsIdempotent(string(ctx.Method()), path) {
		result.Class = lwtdeclaredstate.ClassLookup
	}
	if result.Outcome == "" {
		result.Outcome = OutcomeDone
	}
	server.dependencies.Observer.Observe(now, result)
}

func (server *Server) log(id, event string, keyvals ...any) {
	lwtlog.Info(server.dependencies.Logger, event, append([]any{"request", id}, keyvals...)...)
}
