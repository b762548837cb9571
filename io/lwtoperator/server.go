// Package lwtoperator implements the operator API over HTTP, with its client:
// tickets, the declared state, the status of a daemon and the burn report.
package lwtoperator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtticket"
	"lacewingtide/io/lwtlog"
	"lacewingtide/io/lwtplatform"
)

// TicketService submits and reads tickets.
type TicketService interface {
	// Submit writes a ticket to the store and returns the outcome.
	Submit(ctx context.Context, writeID, operator string, ticket lwtticket.Ticket) lwtticket.Result
	// Ticket reads an accepted ticket by its number, the revision of the declared
	// state that it created. It returns lwtplatform.ErrNotFound if the ticket does
	// not exist and lwtplatform.ErrUnavailable if that cannot be determined.
	Ticket(revision int64) (lwtticket.Record, error)
	// TicketByWriteID reads the accepted ticket with a write id. It returns the same
	// errors as Ticket.
	TicketByWriteID(writeID string) (lwtticket.Record, error)
	// ListTickets reads up to limit tickets with numbers below before, newest first.
	// If before is 0, it starts with the newest ticket.
	ListTickets(before int64, limit int) ([]lwtticket.Record, error)
	// State returns the active declared state, or false if there is none yet.
	State() (lwtdeclaredstate.State, bool)
}

// Dependencies holds the services and settings that a Server uses.
type Dependencies struct {
	// KeyHashes are the hexadecimal SHA-256 hashes of the operators' keys.
	KeyHashes []string
	Tickets   TicketService
	Status    *StatusRegistry
	Logger    log.Logger
}

// Limits of the HTTP server for operators.
const (
	// maxBodyBytes is enough for a ticket that declares a whole fleet of the target
	// size.
	maxBodyBytes   = 4 << 20
	readTimeout    = 15 * time.Second
	idleTimeout    = 75 * time.Second
	maxConnections = 64
)

// Server serves the operator API.
type Server struct {
	dependencies Dependencies
	handlers     map[string]fasthttp.RequestHandler
	http         *fasthttp.Server
}

// New returns a server for the operator API. Call Serve to start it.
func New(dependencies Dependencies) *Server {
	server := &Server{dependencies: dependencies, handlers: map[string]fasthttp.RequestHandler{}}
	server.handlers["GET /v1/status"] = server.handleStatus
	server.handlers["GET /v1/state"] = server.handleState
	server.handlers["GET /v1/tickets"] = server.handleTickets
	server.handlers["POST /v1/tickets"] = server.handleSubmit
	server.http = &fasthttp.Server{
		Handler:               server.handle,
		MaxRequestBodySize:    maxBodyBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		Concurrency:           maxConnections,
		NoDefaultServerHeader: true,
		Logger:                lwtlog.NewPrintfLogger(dependencies.Logger, "operator-connection-failed"),
		CloseOnShutdown:       true,
	}
	return server
}

// Handle registers a handler that requires an operator key. It must be called
// before Serve.
func (server *Server) Handle(method, path string, handler fasthttp.RequestHandler) {
	server.handlers[method+" "+path] = handler
}

// Serve handles requests on a listener until Shutdown.
func (server *Server) Serve(listener net.Listener) error { return server.http.Serve(listener) }

// Shutdown stops accepting connections and waits for requests in flight.
func (server *Server) Shutdown(ctx context.Context) error {
	return server.http.ShutdownWithContext(ctx)
}

const ticketPathPrefix = "/v1/tickets/"

func (server *Server) handle(ctx *fasthttp.RequestCtx) {
	operator, found := server.authenticate(ctx)
	if !found {
		writeError(ctx, fasthttp.StatusUnauthorized, "the operator key is missing or not known")
		return
	}
	ctx.SetUserValue(operatorContextKey, operator)
	method, path := string(ctx.Method()), string(ctx.Path())
	if handler, found := server.handlers[method+" "+path]; found {
		handler(ctx)
		return
	}
	if number, found := strings.CutPrefix(path, ticketPathPrefix); found && ctx.IsGet() {
		server.handleTicket(ctx, number)
		return
	}
	writeError(ctx, fasthttp.StatusNotFound, "no such method and path")
}

func (server *Server) handleStatus(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, fasthttp.StatusOK, server.dependencies.Status.Snapshot(time.Now()))
}

func (server *Server) handleState(ctx *fasthttp.RequestCtx) {
	state, found := server.dependencies.Tickets.State()
	if !found {
		writeError(ctx, fasthttp.StatusServiceUnavailable, "no configuration is in force")
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, state)
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	ctx.SetContentType("application/json")
	ctx.SetStatusCode(status)
	if err := json.NewEncoder(ctx).Encode(value); err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}

func writeError(ctx *fasthttp.RequestCtx, status int, message string) {
	writeJSON(ctx, status, struct {
		Error string `json:"error"`
	}{message})
}

// writeReadError logs a failed read of tickets and responds with status 404 if
// the ticket does not exist, 503 otherwise.
func (server *Server) writeReadError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusServiceUnavailable
	if errors.Is(err, lwtplatform.ErrNotFound) {
		status = fasthttp.StatusNotFound
	}
	lwtlog.Info(server.dependencies.Logger, "ticket-read-failed", "path", string(ctx.Path()), "err", err)
	writeError(ctx, status, err.Error())
}
