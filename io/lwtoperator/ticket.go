package lwtoperator

import (
	"context"
	"crypto/rand"
	"regexp"
	"strconv"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtticket"
)

// Page sizes of the ticket list.
const (
	defaultListLimit = 20
	maxListLimit     = 100
)

var validWriteID = regexp.MustCompile(`^[A-Za-z0-9-]{1,64}$`)

// NewWriteID returns a new random write id.
func NewWriteID() string { return rand.Text() }

// SubmitResponse is the JSON response to a submitted ticket.
type SubmitResponse struct {
	lwtticket.Result
	// ShowCommand is the command that shows the outcome later, if it is unknown.
	ShowCommand string `json:"show,omitempty"`
}

func newSubmitResponse(result lwtticket.Result) SubmitResponse {
	response := SubmitResponse{Result: result}
	if result.Outcome == lwtticket.OutcomeUnknown {
		response.ShowCommand = ShowCommand(result.WriteID)
	}
	return response
}

// ShowCommand returns the command that shows the ticket with a write id.
func ShowCommand(writeID string) string { return "lacewingtide ticket show --write-id " + writeID }

func (server *Server) handleSubmit(ctx *fasthttp.RequestCtx) {
	writeID := string(ctx.QueryArgs().Peek("write-id"))
	if writeID == "" {
		writeID = NewWriteID()
	}
	if !validWriteID.MatchString(writeID) {
		writeError(ctx, fasthttp.StatusBadRequest, "write-id must be 1 to 64 letters, digits or hyphens")
		return
	}
	// Ignore the problems that Parse reports: Submit reports them too and refuses the
	// ticket.
	ticket, _ := lwtticket.Parse(ctx.PostBody())
	operator, _ := ctx.UserValue(operatorContextKey).(string)
	// The submission continues if the operator's connection is lost. The operator
	// can read the outcome with the write id.
	result := server.dependencies.Tickets.Submit(context.Background(), writeID, operator, ticket)
	writeJSON(ctx, httpStatus(result), newSubmitResponse(result))
}

func httpStatus(result lwtticket.Result) int {
	switch {
	case result.Outcome == lwtticket.OutcomeAccepted:
		return fasthttp.StatusCreated
	case result.Outcome == lwtticket.OutcomeUnknown, result.StoreUnavailable:
		return fasthttp.StatusServiceUnavailable
	case len(result.Problems) > 0:
		return fasthttp.StatusUnprocessableEntity
	default:
		return fasthttp.StatusConflict
	}
}

func (server *Server) handleTicket(ctx *fasthttp.RequestCtx, text string) {
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil || revision < 1 {
		writeError(ctx, fasthttp.StatusBadRequest, "a ticket has a number from 1")
		return
	}
	var record lwtticket.Record
	if record, err = server.dependencies.Tickets.Ticket(revision); err != nil {
		server.writeReadError(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, record)
}

func (server *Server) handleTickets(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	if writeID := string(args.Peek("write-id")); writeID != "" {
		var record lwtticket.Record
		var err error
		if record, err = server.dependencies.Tickets.TicketByWriteID(writeID); err != nil {
			server.writeReadError(ctx, err)
			return
		}
		writeJSON(ctx, fasthttp.StatusOK, record)
		return
	}
	before, limit := args.GetUintOrZero("before"), args.GetUintOrZero("limit")
	if limit == 0 {
		limit = defaultListLimit
	}
	var records []lwtticket.Record
	var err error
	if records, err = server.dependencies.Tickets.ListTickets(int64(before), min(limit, maxListLimit)); err != nil {
		server.writeReadError(ctx, err)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, struct {
		Tickets []lwtticket.Record `json:"tickets"`
	}{records})
}
