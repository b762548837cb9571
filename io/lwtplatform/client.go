// Package lwtplatform is the client of the platform's table service, object
// store and VM list.
package lwtplatform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/url"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/io/lwthttp"
)

// Errors of the platform's services.
var (
	// ErrUnavailable means that there was no valid response. A transaction may
	// nevertheless have been applied.
	ErrUnavailable = fmt.Errorf("the platform's store gave no answer")
	// ErrNotSent, together with ErrUnavailable, means that the call was not sent, so that
	// it certainly has no effect.
	ErrNotSent = fmt.Errorf("the call was not sent")
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = fmt.Errorf("not found in the platform's store")
	// ErrRejected means that the store rejected the request as malformed.
	ErrRejected = fmt.Errorf("the platform's store refused the request")
)

// Row is a row of the table. Version 0 means that the row does not exist.
type Row struct {
	Key     string          `json:"key"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Condition requires that a row has the given version; version 0 requires that it does
// not exist.
type Condition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put is the write of one row in a transaction.
type Put struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Transaction is applied atomically if all its conditions hold, and otherwise not at all.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Puts       []Put       `json:"puts"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// CommitResult is the result of a transaction.
type CommitResult struct {
	Committed bool `json:"committed"`
	// Version is the version of the written rows, if committed.
	Version int64 `json:"version"`
	// Rows holds the current rows of the conditions, if not committed.
	Rows []Row `json:"rows"`
}

// VM is an entry of the VM list.
type VM struct {
	Name             string `json:"name"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability-zone"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// Client calls the platform's services. It makes one attempt per call, limits the rate of
// calls to the daemon's share of the store's capacity, and during an outage rejects all
// calls immediately, except one probe at a time. It is safe for concurrent use.
type Client struct {
	address string
	timeout time.Duration
	pool    *lwthttp.Pool
	mutex   sync.Mutex
	limiter callLimiter
	// fleetRate is the budget of all daemons together in calls per second.
	fleetRate float64
}

// New returns a client of the services at an address (IP:port). Each call except those by
// Call, which have their own, ends within the timeout.
func New(address string, timeout time.Duration) *Client {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	return &Client{
		address: address,
		timeout: timeout,
		limiter: newCallLimiter(time.Now(), defaultFleetRate), fleetRate: defaultFleetRate,
		pool: lwthttp.NewPool(lwthttp.PoolOptions{
			Limit: func(string) int { return maxConnections }, Dial: dialer.DialContext, KeepAlive: idleTimeout,
		}),
	}
}

// SetMaxBackoff sets the maximum time between two probes during an outage and returns the
// client. It must be called before the first call.
func (client *Client) SetMaxBackoff(maxBackoff time.Duration) *Client {
	client.limiter.maxBackoff = maxBackoff
	return client
}

// SetDaemonCount sets the number of daemons that share the store's capacity.
func (client *Client) SetDaemonCount(count int) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.limiter = client.limiter.withRate(client.fleetRate / float64(max(count, 1)))
}

// SetFleetRate sets the budget of all daemons together in calls per second and returns the
// client. Zero keeps the default. It must be called before the first call.
func (client *Client) SetFleetRate(callsPerSecond float64) *Client {
	if callsPerSecond > 0 {
		client.fleetRate = callsPerSecond
		client.limiter = client.limiter.withRate(callsPerSecond)
	}
	return client
}

const (
	maxConnections = 64
	dialTimeout    = time.Second
	// maxResponseBytes is the maximum size of a response's body.
	maxResponseBytes = 64 << 20
	// idleTimeout is shorter than the time after which the server closes an idle
	// connection. A call on a closed connection counts as lost, and the infrequent polls
	// in a large fleet would hit one every time.
	idleTimeout = 2 * time.Second
	// defaultFleetRate is the budget of all daemons together in calls per second, about half
	// of the store's capacity.
	defaultFleetRate = 1000
)

// keepAlive detects a connection that goes silent while a call waits for its response.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// Commit sends a transaction. After ErrUnavailable without ErrNotSent, the transaction may
// or may not have been applied.
func (client *Client) Commit(transaction Transaction) (CommitResult, error) {
	var result CommitResult
	var body []byte
	var err error
	if body, err = json.Marshal(transaction); err != nil {
		return result, fmt.Errorf("encode transaction: %w", err)
	}
	err = client.call(fasthttp.MethodPost, "/v1/transactions", body, &result)
	return result, err
}

// Row reads one row. It returns ErrNotFound if the row does not exist.
func (client *Client) Row(key string) (Row, error) {
	var row Row
	err := client.call(fasthttp.MethodGet, "/v1/rows?key="+url.QueryEscape(key), nil, &row)
	return row, err
}

// Rows reads the rows whose keys start with a prefix, sorted by key.
func (client *Client) Rows(prefix string) ([]Row, error) {
	var result struct {
		Rows []Row `json:"rows"`
	}
	err := client.call(fasthttp.MethodGet, "/v1/rows?prefix="+url.QueryEscape(prefix), nil, &result)
	return result.Rows, err
}

// PutObject stores an object under its hash.
func (client *Client) PutObject(hash string, content []byte) error {
	return client.call(fasthttp.MethodPut, "/v1/objects/"+hash, content, nil)
}

// Object reads an object, which must be JSON. It returns ErrNotFound if the object does
// not exist.
func (client *Client) Object(hash string) ([]byte, error) {
	var content json.RawMessage
	err := client.call(fasthttp.MethodGet, "/v1/objects/"+hash, nil, &content)
	return content, err
}

// VMs reads the VM list. The list may be outdated.
func (client *Client) VMs() ([]VM, error) {
	var result struct {
		VMs []VM `json:"vms"`
	}
	err := client.call(fasthttp.MethodGet, "/v1/vms", nil, &result)
	return result.VMs, err
}

func (client *Client) call(method, path string, body []byte, into any) error {
	response, err := client.Call(method, path, body, client.timeout)
	if err != nil {
		return err
	}
	return decode(response.Status, response.Body, into)
}

// Response is the response to a call, whatever its status.
type Response struct {
	Status int
	Body   []byte
	// Header returns the value of a header, or "".
	Header func(name string) string
}

// Call makes one call and returns its response. It returns ErrUnavailable if there is none.
func (client *Client) Call(method, path string, body []byte, timeout time.Duration) (Response, error) {
	call, err := client.admit()
	if err != nil {
		return Response{}, err
	}
	response, err := client.send(method, path, body, timeout)
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.limiter = client.limiter.recordResult(time.Now(), call,
		err == nil && response.Status < fasthttp.StatusInternalServerError, rand.Float64())
	return response, err
}

func (client *Client) admit() (admission, error) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	var call admission
	client.limiter, call = client.limiter.admit(time.Now())
	switch call {
	case rejectedOverBudget:
		return call, fmt.Errorf("%w: %w: over the daemon's budget", ErrUnavailable, ErrNotSent)
	case rejectedInOutage:
		return call, fmt.Errorf("%w: %w: waiting for the end of an outage", ErrUnavailable, ErrNotSent)
	}
	return call, nil
}

func (client *Client) send(method, path string, body []byte, timeout time.Duration) (Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	header, content, err := client.pool.Call(ctx, lwthttp.Request{
		Method: method, Address: client.address, Path: path, Body: body, MaxIdle: idleTimeout,
	}, maxResponseBytes)
	if err != nil {
		return Response{}, callError(err)
	}
	return Response{
		Status: header.StatusCode(), Body: content,
		Header: func(name string) string { return string(lwthttp.Field(header, name)) },
	}, nil
}

// callError returns the error of a call without a response.
func callError(err error) error {
	if errors.Is(err, lwthttp.ErrNotSent) {
		return fmt.Errorf("%w: %w: %w", ErrUnavailable, ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

func decode(status int, response []byte, into any) error {
	switch {
	case status == fasthttp.StatusNotFound:
		return ErrNotFound
	case status >= fasthttp.StatusInternalServerError:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	case status == fasthttp.StatusConflict, status < fasthttp.StatusMultipleChoices:
	default:
		return fmt.Errorf("%w: status %d", ErrRejected, status)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(response, into); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}
