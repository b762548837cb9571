// Package lwtentry serves callers over HTTP: chat completions in OpenAI's
// form, plain services, and the addresses to use.
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

// StateSource gives the declared state in force. Its second result is false
// before a first state is known.
type StateSource interface {
	State() (lwtdeclaredstate.State, bool)
}

// Router chooses engines and learns what became of the work it placed.
type Router interface {
	// Pick places a request on an engine. It returns a
	// *lwtadmission.Rejection when no engine can serve it in time, and
	// lwtscorerouter.ErrNoEngine when none serves the model.
	Pick(now time.Time, request lwtscorerouter.Request) (lwtscorerouter.Choice, error)
	// RecordLoad takes a load report of an engine.
	RecordLoad(now time.Time, engine string, load lwtengine.Load)
	// RecordFirstToken tells that the first token of a placed request has come.
	RecordFirstToken(now time.Time, request lwtscorerouter.Request, choice lwtscorerouter.Choice)
	// RecordCompletion tells that a placed request has its whole answer.
	RecordCompletion(now time.Time, request lwtscorerouter.Request, choice lwtscorerouter.Choice, tokens int)
	// RecordDone tells that a placed request has left its engine; failed says that
	// the engine gave no whole answer.
	RecordDone(now time.Time, request lwtscorerouter.Request, choice lwtscorerouter.Choice, failed bool)
}

// Limiter bounds each caller's requests.
type Limiter interface {
	// Acquire admits one request and returns what to call at its end. It
	// returns a *lwtadmission.Rejection when a limit is reached.
	Acquire(now time.Time, caller lwtdeclaredstate.Caller) (release func(), err error)
}

// AddressSource answers which entry addresses a caller should use.
type AddressSource interface {
	// EntryAddresses returns addresses (IP:port), best first, and the time for which
	// the answer may be kept.
	EntryAddresses(now time.Time, caller string) (addresses []string, keep time.Duration)
}

// Observer is told the end of each request.
type Observer interface {
	Observe(now time.Time, result RequestResult)
}

// RequestResult is what became of one request.
type RequestResult struct {
	Caller           string
	Class            lwtdeclaredstate.Class
	Engine           string
	TimeToFirstToken time.Duration
	EndToEndLatency  time.Duration
	// Outcome is "done", "not-run" or "unknown".
	Outcome string
}

// Forwarder forwards calls to plain services.
type Forwarder interface {
	// Forward serves one call. Path is the path below the service's name,
	// with a leading slash.
	Forward(ctx *fasthttp.RequestCtx, requestID string, caller lwtdeclaredstate.Caller, service lwtdeclaredstate.Service, path string)
}

// Dependencies are the parts that a Server works with.
type Dependencies struct {
	StateSource   StateSource
	Router        Router
	Limiter       Limiter
	AddressSource AddressSource
	Observer      Observer
	Forwarder     Forwarder
	Engines       *lwtengine.Client
	Logger        log.Logger
	// StreamKey authenticates event ids; all daemons share it.
	StreamKey []byte
	// Name identifies the daemon in request ids.
	Name             string
	AvailabilityZone string
	// ReadTimeout bounds the time to read one request; zero means 15 s.
	ReadTimeout time.Duration
}

// Bounds of callers' requests.
const (
	maxBodyBytes    = 8 << 20
	maxHeaderBytes  = 32 << 10
	readTimeout     = 15 * time.Second
	idleTimeout     = 75 * time.Second
	maxConnections  = 16384
	servicesPath    = "/services/"
	completionsPath = "/v1/chat/completions"
)

// Server serves callers.
type Server struct {
	dependencies Dependencies
	ids          *idSource
	retries      *retries
	http         *fasthttp.Server
	draining     atomic.Bool
}

// New returns a server.
func New(dependencies Dependencies) *Server {
	server := &Server{dependencies: dependencies, ids: newIDSource(dependencies.Name), retries: newRetries()}
	if dependencies.ReadTimeout == 0 {
		dependencies.ReadTimeout = readTimeout
	}
	server.http = &fasthttp.Server{
		Handler:               server.answer,
		ErrorHandler:          handleProtocolError,
		MaxRequestBodySize:    maxBodyBytes,
		ReadBufferSize:        maxHeaderBytes,
		ReadTimeout:           dependencies.ReadTimeout,
		IdleTimeout:           idleTimeout,
		Concurrency:           maxConnections,
		NoDefaultServerHeader: true,
		Logger:                lwtlog.NewPrintfLogger(dependencies.Logger, "caller-connection-failed"),
		CloseOnShutdown:       true,
		// Bodies of calls to services pass through unchanged.
		DisablePreParseMultipartForm: true,
	}
	return server
}

// Serve answers callers on a listener until Shutdown is called.
func (server *Server) Serve(listener net.Listener) error {
	return server.http.Serve(callerListener{listener})
}

// Shutdown stops accepting connections and waits for running requests.
func (server *Server) Shutdown() error {
	return server.http.Shutdown()
}

// answer handles a request. Handlers may replace the whole answer, so that the
// connection's end is set last.
func (server *Server) answer(ctx *fasthttp.RequestCtx) {
	server.handle(ctx)
	if server.draining.Load() {
		ctx.SetConnectionClose()
	}
}

func (server *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == "/healthz" {
		return
	}
	state, known := server.dependencies.StateSource.State()
	if !known {
		writeError(ctx, errNoState)
		return
	}
	caller, known := authenticate(ctx, state)
	if !known {
		writeError(ctx, errKey)
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
		writeError(ctx, errPath)
	}
}

func (server *Server) handleAddresses(ctx *fasthttp.RequestCtx, caller lwtdeclaredstate.Caller) {
	addresses, keep := server.dependencies.AddressSource.EntryAddresses(time.Now(), caller.Name)
	writeJSON(ctx, struct {
		Addresses   []string `json:"entry-addresses"`
		KeepSeconds float64  `json:"keep-seconds"`
	}{addresses, keep.Seconds()})
}

func (server *Server) handleService(
	ctx *fasthttp.RequestCtx, state lwtdeclaredstate.State, caller lwtdeclaredstate.Caller, rest string,
) {
	name, path, _ := strings.Cut(rest, "/")
	service, found := state.Services[name]
	if !found || !contains(caller.Services, name) {
		writeError(ctx, errService)
		return
	}
	began := time.Now()
	release, err := server.dependencies.Limiter.Acquire(began, caller)
	if err != nil {
		writeError(ctx, rejectionError(err))
	} else {
		defer release()
		server.dependencies.Forwarder.Forward(ctx, server.ids.next(), caller, service, "/"+path)
	}
	server.observeService(ctx, caller, service, "/"+path, began)
}

// observeService tells the end of a call to a service: an idempotent one counts
// as a lookup, another one as an order.
func (server *Server) observeService(
	ctx *fasthttp.RequestCtx, caller lwtdeclaredstate.Caller, service lwtdeclaredstate.Service, path string, began time.Time,
) {
	now := time.Now()
	result := RequestResult{
		Caller: caller.Name, Class: lwtdeclaredstate.ClassOrder, EndToEndLatency: now.Sub(began),
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
