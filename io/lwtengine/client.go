// Package lwtengine is the client of model engines.
package lwtengine

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Errors of calls to an engine.
var (
	// ErrNotSent reports that no byte of the request left.
	ErrNotSent = fmt.Errorf("the request was not sent to the engine")
	// ErrRefused reports that the engine says that the request did not run.
	ErrRefused = fmt.Errorf("the engine refused the request")
	// ErrOutcomeUnknown reports that the request may have run.
	ErrOutcomeUnknown = fmt.Errorf("the engine gave no whole answer")
	// ErrStreamNotFound reports that the engine does not hold the stream.
	ErrStreamNotFound = fmt.Errorf("the engine does not hold the stream")
)

// Limits of the connections to engines.
const (
	// ProgressTimeout bounds the silence on a connection with a running stream.
	ProgressTimeout = 2500 * time.Millisecond
	dialTimeout     = time.Second
	maxConnections  = 4096
	idleTimeout     = 10 * time.Second
	readBufferSize  = 16 << 10
)

// Load is what an engine reports of its work.
type Load struct {
	Incarnation int64 `json:"incarnation"`
	Running     int   `json:"running"`
	Waiting     int   `json:"waiting"`
	// WaitingTokens are the prompt tokens still to prefill.
	WaitingTokens int `json:"waiting-tokens"`
	// FreeBlocks is the free memory in blocks of 2,048 tokens.
	FreeBlocks int `json:"free-blocks"`
	LoadDetail
}

// CompletionRequest is one completion to run on an engine.
type CompletionRequest struct {
	// StreamID names the stream; it must be unique.
	StreamID string
	// Priority orders waiting requests; a higher one goes first.
	Priority int
	// Body is the request in the form of OpenAI's chat completions.
	Body []byte
	// FreshConnection has the call use a connection of its own, so that an engine that
	// closes an idle connection can't leave it open whether the call ran.
	FreshConnection bool
}

// Client calls engines by address. It sends each request once and is safe for
// concurrent use.
type Client struct {
	mutex   sync.Mutex
	engines map[string]*fasthttp.HostClient
}

// New returns a client.
func New() *Client {
	return &Client{engines: map[string]*fasthttp.HostClient{}}
}

// Complete starts a completion and returns its event stream, which the caller
// must close.
func (client *Client) Complete(address string, call CompletionRequest) (*Stream, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + "/v1/chat/completions")
	request.Header.Set("Engine-Request", call.StreamID)
	request.Header.Set("Engine-Priority", strconv.Itoa(call.Priority))
	request.SetBodyRaw(call.Body)
	if call.FreshConnection {
		host := newHost(address)
		request.SetConnectionClose()
		return open(host, request)
	}
	return client.open(address, request)
}

// Resume reopens a stream at an offset. It returns ErrNoStream when the engine
// does not hold the stream.
func (client *Client) Resume(address, stream string, offset uint64) (*Stream, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + address + "/v1/streams/" + stream + "?offset=" + strconv.FormatUint(offset, 10))
	return client.open(address, request)
}

// Cancel ends a stream on its engine.
func (client *Client) Cancel(address, stream string) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodDelete)
	request.SetRequestURI("http://" + address + "/v1/streams/" + stream)
	return client.host(address).DoTimeout(request, response, ProgressTimeout)
}

// Load reads an engine's load report.
func (client *Client) Load(address string) (Load, error) {
	var load Load
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + "/v1/load")
	if err := client.host(address).DoTimeout(request, response, ProgressTimeout); err != nil {
		return load, fmt.Errorf("read load of %s: %w", address, err)
	}
	body := readAll(response)
	if err := json.Unmarshal(body, &load); err != nil {
		return load, fmt.Errorf("decode load of %s: %w", address, err)
	}
	return load, nil
}

func readAll(response *fasthttp.Response) []byte {
	// An incomplete body fails to decode.
	body, _ := response.BodyUncompressed()
	return body
}

func (client *Client) open(address string, request *fasthttp.Request) (*Stream, error) {
	return open(client.host(address), request)
}

func open(host *fasthttp.HostClient, request *fasthttp.Request) (*Stream, error) {
	response := fasthttp.AcquireResponse()
	if err := host.Do(request, response); err != nil {
		fasthttp.ReleaseResponse(response)
		// What silenced one connection may have silenced the idle ones too.
		host.CloseIdleConnections()
		return nil, classify(err)
	}
	switch status := response.StatusCode(); {
	case status == fasthttp.StatusOK:
		return newStream(response), nil
	case status == fasthttp.StatusNotFound && request.Header.IsGet():
		closeResponse(response)
		return nil, ErrStreamNotFound
	case string(response.Header.Peek("Engine-Outcome")) == "not-run":
		closeResponse(response)
		return nil, fmt.Errorf("%w: status %d", ErrRefused, status)
	default:
		closeResponse(response)
		return nil, fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
	}
}

func closeResponse(response *fasthttp.Response) {
	// The connection is closed or reused by the client; an error changes neither.
	_ = response.CloseBodyStream()
	fasthttp.ReleaseResponse(response)
}

func (client *Client) host(address string) *fasthttp.HostClient {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	host, found := client.engines[address]
	if !found {
		host = newHost(address)
		client.engines[address] = host
	}
	return host
}

func newHost(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		Dial:                      dial,
		MaxConns:                  maxConnections,
		MaxIdleConnDuration:       idleTimeout,
		ReadBufferSize:            readBufferSize,
		StreamResponseBody:        true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
	}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return &progressConn{Conn: conn}, nil
}
