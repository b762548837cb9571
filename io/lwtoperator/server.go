// Package lwtoperator serves operators over HTTP: tickets, the status of a
// daemon and its declared state. It also holds the client of that API.
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
	// Submit takes a ticket to the store and returns what became of it.
	Submit(ctx context.Context, writeID, operator string, ticket lwtticket.Ticket) lwtticket.Result
	// Ticket reads an accepted ticket. It returns lwtplatform.ErrNotFound when
	// there is none and lwtplatform.ErrUnavailable when nobody can tell.
	Ticket(number int64) (lwtticket.Record, error)
	// TicketByWriteID reads the ticket of a write id, with the errors of Ticket.
	TicketByWriteID(writeID string) (lwtticket.Record, error)
	// ListTickets reads up to limit tickets below a number, newest first. Before 0
	// stands for the newest.
	ListTickets(before int64, limit int) ([]lwtticket.Record, error)
	// State returns the declared state in force; false before the first one.
	State() (lwtdeclaredstate.State, bool)
}

// Dependencies are the parts that a Server works with.
type Dependencies struct {
	// KeyHashes are the hexadecimal SHA-256 hashes of the operators' keys.
	KeyHashes []string
	Tickets   TicketService
	Status    *StatusRegistry
	Logger    log.Logger
}

// Bounds of operators' requests.
const (
	// maxBodyBytes holds a ticket that declares a whole fleet of the target size.
	maxBodyBytes   = 4 << 20
	readTimeout    = 15 * time.Second
	idleTimeout    = 75 * time.Second
	maxConnections = 64
)

// Server serves operators.
type Server struct {
	dependencies Dependencies
	handlers     map[string]fasthttp.RequestHandler
	http         *fasthttp.Server
}

// New returns a server.
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

// Handle adds a path for operators with a key. It must be called before Serve.
func (server *Server) Handle(method, path string, handler fasthttp.RequestHandler) {
	server.handlers[method+" "+path] = handler
}

// Serve answers requests on a listener until Shutdown.
func (server *Server) Serve(listener net.Listener) error { return server.http.Serve(listener) }

// Shutdown stops accepting connections and waits for the running requests.
func (server *Server) Shutdown(ctx context.Context) error {
	return server.http.ShutdownWithContext(ctx)
}

const ticketPrefix = "/v1/tickets/"

func (server *Server) handle(ctx *fasthttp.RequestCtx) {
	operator, found := server.authenticate(ctx)
	if !found {
		writeError(ctx, fasthttp.StatusUnauthorized, "the operator key is missing or not known")
		return
	}
	ctx.SetUserValue(operatorValue, operator)
	method, path := string(ctx.Method()), string(ctx.Path())
	if handler, found := server.handlers[method+" "+path]; found {
		handler(ctx)
		return
	}
	if number, found := strings.CutPrefix(path, ticketPrefix); found && ctx.IsGet() {
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

func (server *Server) writeReadError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusServiceUnavailable
	if errors.Is(err, lwtplatform.ErrNotFound) {
		status = fasthttp.StatusNotFound
	}
	lwtlog.Info(server.dependencies.Logger, "ticket-read-failed", "path", string(ctx.Path()), "err", err)
	writeError(ctx, status, err.Error())
}
