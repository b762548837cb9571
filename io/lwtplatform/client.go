// Package lwtplatform is the client of the platform's table service, object
// store and VM list.
package lwtplatform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/url"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Errors of the platform's services.
var (
	// ErrUnavailable reports that no answer came. A transaction may have taken effect.
	ErrUnavailable = fmt.Errorf("the platform's store gave no answer")
	// ErrNotSent reports, together with ErrUnavailable, that the call did not
	// leave the daemon. It certainly has no effect.
	ErrNotSent = fmt.Errorf("the call was not sent")
	// ErrNotFound reports that the row or object does not exist.
	ErrNotFound = fmt.Errorf("not found in the platform's store")
	// ErrRejected reports that the store refused the request as malformed.
	ErrRejected = fmt.Errorf("the platform's store refused the request")
)

// Row is one row of the table. Version 0 means that the row does not exist.
type Row struct {
	Key     string          `json:"key"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Condition holds when a row has the given version; version 0 means absent.
type Condition struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put writes a row.
type Put struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Transaction is applied whole if all its conditions hold, else not at all.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Puts       []Put       `json:"puts"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// CommitResult tells whether a transaction was applied.
type CommitResult struct {
	Committed bool `json:"committed"`
	// Version is the version of the rows written, when committed.
	Version int64 `json:"version"`
	// Rows are the current rows of the conditions, when not committed.
	Rows []Row `json:"rows"`
}

// VM is one entry of the VM list.
type VM struct {
	Name             string `json:"name"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability-zone"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// Client calls the platform's services. It makes one attempt per call, keeps to
// the daemon's share of the store's capacity, and in an outage refuses calls at
// once but for a single probe. It is safe for concurrent use.
type Client struct {
	address string
	timeout time.Duration
	http    *fasthttp.HostClient
	mutex   sync.Mutex
	gate    gate
}

// New returns a client of the services at an address (IP:port). Each call ends
// within the timeout.
func New(address string, timeout time.Duration) *Client {
	return &Client{
		address: address,
		timeout: timeout,
		gate:    newGate(time.Now(), fleetCallsPerSecond),
		http: &fasthttp.HostClient{
			Addr:                      address,
			Dial:                      dial,
			MaxConns:                  maxConnections,
			MaxIdleConnDuration:       idleTimeout,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                neverRetry,
		},
	}
}

// SetMaxBackoff bounds the pause between two probes of a store that does not
// answer. It is called before any call.
func (client *Client) SetMaxBackoff(most time.Duration) *Client {
	client.gate.maxBackoff = most
	return client
}

// SetDaemonCount sets the number of daemons that share the store's capacity.
func (client *Client) SetDaemonCount(members int) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.gate = client.gate.withRate(fleetCallsPerSecond / float64(max(members, 1)))
}

const (
	maxConnections = 64
	dialTimeout    = time.Second
	// idleTimeout is shorter than the time for which a server keeps an idle
	// connection. A call on a connection that the server has closed counts as
	// lost, and the poll of a large fleet would meet one each time.
	idleTimeout = 2 * time.Second
	// fleetCallsPerSecond is what all daemons together may ask of the store,
	// about half of what it handles.
	fleetCallsPerSecond = 1000
)

// keepAlive finds a connection that has gone silent while a call waits on it.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

func dial(address string) (net.Conn, error) {
	var conn net.Conn
	var err error
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	if conn, err = dialer.Dial("tcp", address); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return conn, nil
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// Commit sends a transaction. On ErrUnavailable the transaction may or may not
// have been applied.
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

// Row reads one row. It returns ErrNotFound when there is none.
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

// Object reads an object, which must be JSON. It returns ErrNotFound when there
// is none.
func (client *Client) Object(hash string) ([]byte, error) {
	var content json.RawMessage
	err := client.call(fasthttp.MethodGet, "/v1/objects/"+hash, nil, &content)
	return content, err
}

// VMs reads the VM list, which lags behind reality.
func (client *Client) VMs() ([]VM, error) {
	var result struct {
		VMs []VM `json:"vms"`
	}
	err := client.call(fasthttp.MethodGet, "/v1/vms", nil, &result)
	return result.VMs, err
}

func (client *Client) call(method, path string, body []byte, into any) error {
	status, answer, err := client.Call(method, path, body, client.timeout)
	if err != nil {
		return err
	}
	return decode(status, answer, into)
}

// Call makes one call and returns the status and the body of its answer,
// whatever they say. Its errors are those of calls without an answer.
func (client *Client) Call(method, path string, body []byte, timeout time.Duration) (status int, answer []byte, err error) {
	var call admission
	if call, err = client.admit(); err != nil {
		return 0, nil, err
	}
	status, answer, err = client.send(method, path, body, timeout)
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.gate = client.gate.ended(time.Now(), call, err == nil && status < fasthttp.StatusInternalServerError, rand.Float64())
	return status, answer, err
}

func (client *Client) admit() (admission, error) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	var call admission
	client.gate, call = client.gate.admit(time.Now())
	switch call {
	case overBudget:
		return call, fmt.Errorf("%w: %w: over the daemon's budget", ErrUnavailable, ErrNotSent)
	case inOutage:
		return call, fmt.Errorf("%w: %w: waiting for the end of an outage", ErrUnavailable, ErrNotSent)
	}
	return call, nil
}

func (client *Client) send(method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + client.address + path)
	request.SetBodyRaw(body)
	if err := client.http.DoTimeout(request, response, timeout); err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	// The body returns to a pool with the response.
	return response.StatusCode(), bytes.Clone(response.Body()), nil
}

func decode(status int, answer []byte, into any) error {
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
	if err := json.Unmarshal(answer, into); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}
