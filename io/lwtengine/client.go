// Package lwtengine is the HTTP client for model engines: it runs and resumes completions,
// reads load, state and cache events, and sends orders.
package lwtengine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/io/lwthttp"
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
	// maxControlBodyBytes is the maximum size of the body of a response other than a stream.
	maxControlBodyBytes = 4 << 20
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
type Client struct{ pool *lwthttp.Pool }

// New returns a client without open connections.
func New() *Client {
	return &Client{pool: lwthttp.NewPool(lwthttp.PoolOptions{
		Limit: func(string) int { return maxConnections }, Dial: dial, KeepAlive: idleTimeout,
	})}
}

// Complete starts a completion and returns its event stream, which the caller must close. It
// returns ErrNotSent, ErrRejected or ErrOutcomeUnknown.
func (client *Client) Complete(address string, completion CompletionRequest) (*Stream, error) {
	fields := fmt.Appendf(nil, "Engine-Request: %s\r\nEngine-Priority: %d\r\n", completion.StreamID, completion.Priority)
	request := lwthttp.Request{
		Method: fasthttp.MethodPost, Address: address, Path: completionsPath, Fields: fields, Body: completion.Body,
		MaxIdle: idleTimeout,
	}
	if completion.FreshConnection {
		request.MaxIdle = 0
	}
	return client.openStream(request)
}

// Resume reopens a stream at an event offset. It returns ErrStreamNotFound if the engine does
// not hold the stream.
func (client *Client) Resume(address, streamID string, offset uint64) (*Stream, error) {
	return client.openStream(lwthttp.Request{
		Method: fasthttp.MethodGet, Address: address, Path: streamsPath + streamID + "?offset=" + strconv.FormatUint(offset, 10),
		MaxIdle: idleTimeout,
	})
}

// Paths of an engine's interface.
const (
	completionsPath = "/v1/chat/completions"
	streamsPath     = "/v1/streams/"
)

// Cancel cancels a stream on its engine.
func (client *Client) Cancel(address, streamID string) error {
	_, err := client.call(lwthttp.Request{
		Method: fasthttp.MethodDelete, Address: address, Path: streamsPath + streamID, MaxIdle: idleTimeout,
	})
	return err
}

// Load reads an engine's load report.
func (client *Client) Load(address string) (Load, error) {
	var load Load
	body, err := client.call(lwthttp.Request{
		Method: fasthttp.MethodGet, Address: address, Path: "/v1/load", MaxIdle: idleTimeout,
	})
	if err != nil {
		return load, fmt.Errorf("read load of engine %s: %w", address, err)
	}
	if err := json.Unmarshal(body, &load); err != nil {
		return load, fmt.Errorf("decode load of engine %s: %w", address, err)
	}
	return load, nil
}

// send sends a request and returns the response, whose body has not been read.
func (client *Client) send(ctx context.Context, request lwthttp.Request) (*lwthttp.Response, error) {
	response, err := client.pool.Send(ctx, request)
	if err != nil && !errors.Is(err, lwthttp.ErrNotSent) {
		// The cause of the failure may have broken the idle connections as well.
		client.pool.CloseIdle(request.Address)
	}
	return response, classifyError(err)
}

// call sends a request that an engine handles at once, and returns the body of a response with status
// 200. It ends within ProgressTimeout.
func (client *Client) call(request lwthttp.Request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), ProgressTimeout)
	defer cancel()
	response, err := client.send(ctx, request)
	if err != nil {
		return nil, err
	}
	defer func() { response.Release(time.Now()) }()
	body, err := response.ReadAll(maxControlBodyBytes)
	if err != nil {
		return nil, classifyError(err)
	}
	if status := response.Header.StatusCode(); status != fasthttp.StatusOK {
		return nil, fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
	}
	return body, nil
}

func (client *Client) openStream(request lwthttp.Request) (*Stream, error) {
	// The connection has deadlines of its own for each read and write.
	response, err := client.send(context.Background(), request)
	if err != nil {
		return nil, err
	}
	status := response.Header.StatusCode()
	if status == fasthttp.StatusOK {
		return newStream(response, lwthttp.Field(&response.Header, "Engine-Load"), response.Release), nil
	}
	response.Release(time.Now())
	switch {
	case status == fasthttp.StatusNotFound && request.Method == fasthttp.MethodGet:
		return nil, ErrStreamNotFound
	case statesNotRun(&response.Header):
		return nil, fmt.Errorf("%w: status %d", ErrRejected, status)
	}
	return nil, fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
}

// statesNotRun reports whether an engine states that it has not run what it was sent.
func statesNotRun(header *fasthttp.ResponseHeader) bool {
	return string(lwthttp.Field(header, "Engine-Outcome")) == "not-run"
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &progressConn{Conn: conn}, nil
}
