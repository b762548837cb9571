// Package lwtengine is the HTTP client for model engines: it runs and resumes completions,
// reads load, state and cache events, and sends orders.
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
	// ErrNotSent reports that no byte of the request was sent.
	ErrNotSent = fmt.Errorf("the request was not sent to the engine")
	// ErrRejected reports that, according to the engine, the request did not run.
	ErrRejected = fmt.Errorf("the engine refused the request")
	// ErrOutcomeUnknown reports that the request may have run.
	ErrOutcomeUnknown = fmt.Errorf("the engine gave no whole answer")
	// ErrStreamNotFound reports that the engine does not hold the stream.
	ErrStreamNotFound = fmt.Errorf("the engine does not hold the stream")
)

// Limits of connections to engines.
const (
	// ProgressTimeout is the maximum time without progress of a read or write.
	ProgressTimeout = 2500 * time.Millisecond
	dialTimeout     = time.Second
	maxConnections  = 4096
	idleTimeout     = 10 * time.Second
	readBufferSize  = 16 << 10
)

// Load is an engine's load report.
type Load struct {
	Incarnation int64 `json:"incarnation"`
	// Running is the number of streams being decoded.
	Running int `json:"running"`
	// Waiting is the number of requests whose prefill is not complete.
	Waiting int `json:"waiting"`
	// WaitingTokens is the number of prompt tokens still to prefill.
	WaitingTokens int `json:"waiting-tokens"`
	// FreeBlocks is the free memory in blocks of 2,048 tokens.
	FreeBlocks int `json:"free-blocks"`
	LoadDetail
}

// CompletionRequest is a chat completion request to an engine.
type CompletionRequest struct {
	// StreamID identifies the stream. It must be unique.
	StreamID string
	// Priority orders waiting requests; higher values run first.
	Priority int
	// Body is the request body in the format of OpenAI's chat completions API.
	Body []byte
	// FreshConnection sends the request on a new connection. On a reused one the outcome is
	// unknown if the engine closes the connection as idle when the request is sent.
	FreshConnection bool
}

// Client sends requests to engines by address (IP:port). It never retries a request and is
// safe for concurrent use.
type Client struct {
	mutex       sync.Mutex
	hostClients map[string]*fasthttp.HostClient
}

// New returns a client without open connections.
func New() *Client {
	return &Client{hostClients: map[string]*fasthttp.HostClient{}}
}

// Complete starts a completion and returns its event stream, which the caller must close. It
// returns ErrNotSent, ErrRejected or ErrOutcomeUnknown.
func (client *Client) Complete(address string, completion CompletionRequest) (*Stream, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + "/v1/chat/completions")
	request.Header.Set("Engine-Request", completion.StreamID)
	request.Header.Set("Engine-Priority", strconv.Itoa(completion.Priority))
	request.SetBodyRaw(completion.Body)
	if completion.FreshConnection {
		hostClient := newHostClient(address)
		request.SetConnectionClose()
		return openStream(hostClient, request)
	}
	return client.openStream(address, request)
}

// Resume reopens a stream at an event offset. It returns ErrStreamNotFound if the engine does
// not hold the stream.
func (client *Client) Resume(address, streamID string, offset uint64) (*Stream, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + address + "/v1/streams/" + streamID + "?offset=" + strconv.FormatUint(offset, 10))
	return client.openStream(address, request)
}

// Cancel cancels a stream on its engine.
func (client *Client) Cancel(address, streamID string) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodDelete)
	request.SetRequestURI("http://" + address + "/v1/streams/" + streamID)
	return client.hostClient(address).DoTimeout(request, response, ProgressTimeout)
}

// Load reads an engine's load report.
func (client *Client) Load(address string) (Load, error) {
	var load Load
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + "/v1/load")
	if err := client.hostClient(address).DoTimeout(request, response, ProgressTimeout); err != nil {
		return load, fmt.Errorf("read load of engine %s: %w", address, err)
	}
	body := responseBody(response)
	if err := json.Unmarshal(body, &load); err != nil {
		return load, fmt.Errorf("decode load of engine %s: %w", address, err)
	}
	return load, nil
}

func responseBody(response *fasthttp.Response) []byte {
	// Errors are ignored because an incomplete body fails to decode.
	body, _ := response.BodyUncompressed()
	return body
}

func (client *Client) openStream(address string, request *fasthttp.Request) (*Stream, error) {
	return openStream(client.hostClient(address), request)
}

func openStream(hostClient *fasthttp.HostClient, request *fasthttp.Request) (*Stream, error) {
	response := fasthttp.AcquireResponse()
	if err := hostClient.Do(request, response); err != nil {
		fasthttp.ReleaseResponse(response)
		// The cause of the failure may have broken the idle connections as well.
		hostClient.CloseIdleConnections()
		return nil, classifyError(err)
	}
	switch status := response.StatusCode(); {
	case status == fasthttp.StatusOK:
		return newStream(response), nil
	case status == fasthttp.StatusNotFound && request.Header.IsGet():
		closeResponse(response)
		return nil, ErrStreamNotFound
	case string(response.Header.Peek("Engine-Outcome")) == "not-run":
		closeResponse(response)
		return nil, fmt.Errorf("%w: status %d", ErrRejected, status)
	default:
		closeResponse(response)
		return nil, fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
	}
}

func closeResponse(response *fasthttp.Response) {
	// The HTTP client closes or reuses the connection regardless of this error.
	_ = response.CloseBodyStream()
	fasthttp.ReleaseResponse(response)
}

func (client *Client) hostClient(address string) *fasthttp.HostClient {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	hostClient, found := client.hostClients[address]
	if !found {
		hostClient = newHostClient(address)
		client.hostClients[address] = hostClient
	}
	return hostClient
}

func newHostClient(address string) *fasthttp.HostClient {
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
