package lwtoperator

import (
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
)

// Errors of calls to daemons.
var (
	// ErrNoAnswer reports that no daemon gave an answer.
	ErrNoAnswer = fmt.Errorf("no daemon answered")
	// ErrRefused reports that a daemon refused the request.
	ErrRefused = fmt.Errorf("the daemon refused the request")
	// ErrNotFound reports that the ticket does not exist.
	ErrNotFound = fmt.Errorf("no such ticket")
)

// clientTimeout is longer than a daemon's own bound on a submission.
const clientTimeout = 15 * time.Second

// Client calls the operators' API of the first of several daemons that answers.
type Client struct {
	daemons []string
	key     string
	http    *fasthttp.Client
}

// NewClient returns a client that tries daemons (IP:port) in order.
func NewClient(daemons []string, key string) *Client {
	return &Client{
		daemons: daemons,
		key:     key,
		http: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false },
		},
	}
}

// Submit submits a ticket under a write id. A daemon that gives no answer may
// have stored the ticket, so the next one is tried under the same write id; the
// outcome is unknown when none answers after that.
func (client *Client) Submit(writeID string, ticket []byte) (SubmitResponse, error) {
	lost := false
	var failures []error
	for _, daemon := range client.daemons {
		status, body, err := client.call(daemon, fasthttp.MethodPost, "/v1/tickets?write-id="+url.QueryEscape(writeID), ticket)
		if err != nil {
			lost = true
			failures = append(failures, fmt.Errorf("%s: %w", daemon, err))
			continue
		}
		var answer SubmitResponse
		if err := json.Unmarshal(body, &answer); err != nil || answer.Outcome == "" {
			return answer, fmt.Errorf("%w: %s: status %d: %s", ErrRefused, daemon, status, message(body))
		}
		if answer.Outcome == lwtticket.OutcomeUnknown || answer.StoreUnavailable {
			lost = lost || answer.Outcome == lwtticket.OutcomeUnknown
			failures = append(failures, fmt.Errorf("%s: %s", daemon, answer.Reason))
			continue
		}
		return answer, nil
	}
	reason := errors.Join(failures...).Error()
	if lost {
		return newAnswer(lwtticket.Result{Outcome: lwtticket.OutcomeUnknown, WriteID: writeID, Reason: reason}), nil
	}
	return newAnswer(lwtticket.Result{Outcome: lwtticket.OutcomeRefused, WriteID: writeID, StoreUnavailable: true, Reason: reason}), nil
}

// Ticket reads a ticket by its number.
func (client *Client) Ticket(number int64) (lwtticket.Record, error) {
	var record lwtticket.Record
	err := client.get(ticketPrefix+strconv.FormatInt(number, 10), &record)
	return record, err
}

// TicketByWriteID reads a ticket by its write id.
func (client *Client) TicketByWriteID(writeID string) (lwtticket.Record, error) {
	var record lwtticket.Record
	err := client.get("/v1/tickets?write-id="+url.QueryEscape(writeID), &record)
	return record, err
}

// ListTickets reads the newest tickets below a number, newest first; before 0 stands
// for the newest.
func (client *Client) ListTickets(before int64, limit int) ([]lwtticket.Record, error) {
	var list struct {
		Tickets []lwtticket.Record `json:"tickets"`
	}
	err := client.get(fmt.Sprintf("/v1/tickets?before=%d&limit=%d", before, limit), &list)
	return list.Tickets, err
}

// State reads the declared state in force.
func (client *Client) State() (lwtdeclaredstate.State, error) {
	var state lwtdeclaredstate.State
	err := client.get("/v1/state", &state)
	return state.Indexed(), err
}

// Status reads the status as JSON objects by the name of their part.
func (client *Client) Status() (map[string]json.RawMessage, error) {
	var status map[string]json.RawMessage
	err := client.get("/v1/status", &status)
	return status, err
}

func (client *Client) get(path string, into any) error {
	var failures []error
	for _, daemon := range client.daemons {
		status, body, err := client.call(daemon, fasthttp.MethodGet, path, nil)
		switch {
		case err == nil && status == fasthttp.StatusOK:
			if err := json.Unmarshal(body, into); err != nil {
				return fmt.Errorf("decode answer of %s: %w", daemon, err)
			}
			return nil
		case err == nil && status == fasthttp.StatusNotFound:
			return fmt.Errorf("%w: %s", ErrNotFound, message(body))
		case err == nil && status < fasthttp.StatusInternalServerError:
			return fmt.Errorf("%w: %s: status %d: %s", ErrRefused, daemon, status, message(body))
		case err == nil:
			err = fmt.Errorf("status %d: %s", status, message(body))
		}
		failures = append(failures, fmt.Errorf("%s: %w", daemon, err))
	}
	return fmt.Errorf("%w: %w", ErrNoAnswer, errors.Join(failures...))
}

func (client *Client) call(daemon, method, path string, body []byte) (status int, answer []byte, err error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + daemon + path)
	request.Header.Set("Authorization", "Bearer "+client.key)
	request.SetBodyRaw(body)
	if err := client.http.DoTimeout(request, response, clientTimeout); err != nil {
		return 0, nil, err
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}

// message returns the error text of an answer.
func message(body []byte) string {
	var answer struct {
		Error string `json:"error"`
	}
	if err := json.Unmarshal(body, &answer); err == nil && answer.Error != "" {
		return answer.Error
	}
	return strings.TrimSpace(string(body))
}
