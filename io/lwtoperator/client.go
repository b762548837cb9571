package lwtoperator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtticket"
	"lacewingtide/io/lwthttp"
)

// Errors of calls to daemons.
var (
	// ErrNoResponse reports that no daemon responded to the request.
	ErrNoResponse = fmt.Errorf("no daemon answered")
	// ErrRejected reports that a daemon rejected the request.
	ErrRejected = fmt.Errorf("the daemon refused the request")
	// ErrNotFound reports that the ticket does not exist.
	ErrNotFound = fmt.Errorf("no such ticket")
)

const (
	// clientTimeout is longer than a daemon's own timeout for a submission, so that
	// the daemon's response arrives first.
	clientTimeout        = 15 * time.Second
	maxClientConnections = 16
	// maxIdle is how long a connection may be idle before a call. A daemon closes it later.
	maxIdle = time.Second
	// maxResponseBytes is the maximum size of a response's body. The largest is the declared state.
	maxResponseBytes = 64 << 20
)

// Client calls the operator API. It tries several daemons in order and uses the
// first one that responds.
type Client struct {
	daemons []string
	key     string
	pool    *lwthttp.Pool
}

// NewClient returns a client that tries daemons (IP:port) in order.
func NewClient(daemons []string, key string) *Client {
	return &Client{
		daemons: daemons, key: key,
		pool: lwthttp.NewPool(lwthttp.PoolOptions{Limit: func(string) int { return maxClientConnections }}),
	}
}

// Submit submits a ticket with a write id. A daemon that does not respond may have
// stored the ticket, so the next daemon is tried with the same write id. If no
// other daemon reports a definite outcome either, the outcome is unknown.
func (client *Client) Submit(writeID string, ticket []byte) (SubmitResponse, error) {
	maybeStored := false
	var failures []error
	for _, daemon := range client.daemons {
		status, body, err := client.call(daemon, fasthttp.MethodPost, "/v1/tickets?write-id="+url.QueryEscape(writeID),
			ticket)
		if err != nil {
			maybeStored = true
			failures = append(failures, fmt.Errorf("%s: %w", daemon, err))
			continue
		}
		var response SubmitResponse
		if err := json.Unmarshal(body, &response); err != nil || response.Outcome == "" {
			err := fmt.Errorf("%s: status %d: %s", daemon, status, errorMessage(body))
			if status >= fasthttp.StatusBadRequest && status < fasthttp.StatusInternalServerError {
				return response, fmt.Errorf("%w: %w", ErrRejected, err)
			}
			// Without an outcome, no other status says what became of the ticket.
			maybeStored = true
			failures = append(failures, err)
			continue
		}
		if response.Outcome == lwtticket.OutcomeUnknown || response.StoreUnavailable {
			maybeStored = maybeStored || response.Outcome == lwtticket.OutcomeUnknown
			failures = append(failures, fmt.Errorf("%s: %s", daemon, response.Reason))
			continue
		}
		return response, nil
	}
	reason := errors.Join(failures...).Error()
	if maybeStored {
		return newSubmitResponse(lwtticket.Result{Outcome: lwtticket.OutcomeUnknown, WriteID: writeID, Reason: reason}), nil
	}
	return newSubmitResponse(lwtticket.Result{
		Outcome: lwtticket.OutcomeRefused, WriteID: writeID, StoreUnavailable: true, Reason: reason,
	}), nil
}

// Ticket reads a ticket by its number, the revision of the declared state that it
// created.
func (client *Client) Ticket(revision int64) (lwtticket.Record, error) {
	var record lwtticket.Record
	err := client.get(ticketPathPrefix+strconv.FormatInt(revision, 10), &record)
	return record, err
}

// TicketByWriteID reads a ticket by its write id.
func (client *Client) TicketByWriteID(writeID string) (lwtticket.Record, error) {
	var record lwtticket.Record
	err := client.get("/v1/tickets?write-id="+url.QueryEscape(writeID), &record)
	return record, err
}

// ListTickets reads up to limit tickets with numbers below before, newest first. If
// before is 0, it starts with the newest ticket.
func (client *Client) ListTickets(before int64, limit int) ([]lwtticket.Record, error) {
	var list struct {
		Tickets []lwtticket.Record `json:"tickets"`
	}
	err := client.get(fmt.Sprintf("/v1/tickets?before=%d&limit=%d", before, limit), &list)
	return list.Tickets, err
}

// State reads the active declared state.
func (client *Client) State() (lwtdeclaredstate.State, error) {
	var state lwtdeclaredstate.State
	err := client.get("/v1/state", &state)
	return state.Indexed(), err
}

// Status reads the entries of a daemon's status by name, each in JSON.
func (client *Client) Status() (map[string]json.RawMessage, error) {
	var status map[string]json.RawMessage
	err := client.get("/v1/status", &status)
	return status, err
}

// get reads path from the first daemon that responds and decodes its JSON into
// result. A status of 500 or above counts as no response.
func (client *Client) get(path string, result any) error {
	var failures []error
	for _, daemon := range client.daemons {
		status, body, err := client.call(daemon, fasthttp.MethodGet, path, nil)
		switch {
		case err == nil && status == fasthttp.StatusOK:
			if err := json.Unmarshal(body, result); err != nil {
				return fmt.Errorf("decode answer of %s: %w", daemon, err)
			}
			return nil
		case err == nil && status == fasthttp.StatusNotFound:
			return fmt.Errorf("%w: %s", ErrNotFound, errorMessage(body))
		case err == nil && status < fasthttp.StatusInternalServerError:
			return fmt.Errorf("%w: %s: status %d: %s", ErrRejected, daemon, status, errorMessage(body))
		case err == nil:
			err = fmt.Errorf("status %d: %s", status, errorMessage(body))
		}
		failures = append(failures, fmt.Errorf("%s: %w", daemon, err))
	}
	return fmt.Errorf("%w: %w", ErrNoResponse, errors.Join(failures...))
}

func (client *Client) call(daemon, method, path string, body []byte) (status int, responseBody []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	header, responseBody, err := client.pool.Call(ctx, lwthttp.Request{
		Method: method, Address: daemon, Path: path, Fields: []byte("Authorization: Bearer " + client.key + "\r\n"), Body: body,
		MaxIdle: maxIdle,
	}, maxResponseBytes)
	if err != nil {
		return 0, nil, err
	}
	return header.StatusCode(), responseBody, nil
}

// errorMessage returns the error text of a response body, or the whole body if it
// is not a JSON error.
func errorMessage(body []byte) string {
	var response struct {
		Error string `json:"error"`
	}
	if err := json.Unmarshal(body, &response); err == nil && response.Error != "" {
		return response.Error
	}
	return strings.TrimSpace(string(body))
}
