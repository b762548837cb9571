package lwtclient

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	completionsPath = "/v1/chat/completions"
	// progressTimeout is the time without data after which a stream's connection counts as
	// lost. Daemons send a keep-alive every second.
	progressTimeout = 2500 * time.Millisecond
	// resumeTimeout is how long the client tries to resume a broken stream.
	resumeTimeout = 20 * time.Second
	resumeDelay   = 100 * time.Millisecond
	maxLineBytes  = 1 << 20
)

var doneMarker = []byte("[DONE]")

// Stream reads the events of a streamed chat completion. It is not safe for concurrent use.
type Stream struct {
	client       *Client
	context      context.Context
	cancel       context.CancelFunc
	request      Request
	lastEventID  string
	body         io.ReadCloser
	scanner      *bufio.Scanner
	silenceTimer *time.Timer
	ended        bool
	resumeCount  int
}

// Stream starts a streamed chat completion. Body is the request body in the format of OpenAI's
// API, with "stream": true. The caller must close the stream.
func (client *Client) Stream(ctx context.Context, body []byte, header http.Header) (*Stream, error) {
	stream := &Stream{
		client:  client,
		request: Request{Method: http.MethodPost, Path: completionsPath, Header: header.Clone(), Body: body},
	}
	if stream.request.Header == nil {
		stream.request.Header = http.Header{}
	}
	stream.context = ctx
	if err := stream.open(); err != nil {
		return nil, err
	}
	return stream, nil
}

// Close closes the stream. The daemon cancels the completion if it is not finished, unless its
// class is order.
func (stream *Stream) Close() {
	stream.silenceTimer.Stop()
	stream.cancel()
	// The connection is not used again, so an error changes nothing.
	_ = stream.body.Close()
}

// ResumeCount returns how many times the stream's connection broke and the stream had to be
// resumed.
func (stream *Stream) ResumeCount() int { return stream.resumeCount }

// Next returns the data of the next event, which is valid until the next call. It returns
// io.EOF after the last event. If the connection breaks, Next resumes the stream after the
// last received event, on another daemon if necessary.
func (stream *Stream) Next() ([]byte, error) {
	if stream.ended {
		return nil, io.EOF
	}
	for {
		data, err := stream.readEvent()
		if err != nil {
			if err := stream.resume(err); err != nil {
				return nil, err
			}
			continue
		}
		if bytes.Equal(data, doneMarker) {
			stream.ended = true
			return nil, io.EOF
		}
		return data, nil
	}
}

func (stream *Stream) open() error {
	ctx, cancel := context.WithCancel(stream.context)
	response, err := stream.client.send(ctx, stream.request)
	if err != nil {
		cancel()
		return err
	}
	stream.cancel, stream.body = cancel, response.Body
	stream.scanner = bufio.NewScanner(response.Body)
	stream.scanner.Buffer(nil, maxLineBytes)
	stream.silenceTimer = time.AfterFunc(progressTimeout, cancel)
	return nil
}

// readEvent returns the data of the next event on the connection. An event without an ID
// reports a failure from which the daemon could not recover.
func (stream *Stream) readEvent() ([]byte, error) {
	var id string
	for stream.scanner.Scan() {
		stream.silenceTimer.Reset(progressTimeout)
		line := stream.scanner.Bytes()
		if value, found := bytes.CutPrefix(line, []byte("id: ")); found {
			id = string(value)
		}
		data, found := bytes.CutPrefix(line, []byte("data: "))
		if !found {
			continue
		}
		if id == "" {
			return nil, &Error{Outcome: OutcomeUnknown, Body: bytes.Clone(data)}
		}
		stream.lastEventID = id
		return data, nil
	}
	return nil, fmt.Errorf("the stream broke: %w", errors.Join(stream.scanner.Err(), io.ErrUnexpectedEOF))
}

// resume reopens the stream after the last received event. If no event was received, it returns
// an error: the request may have run and is not sent again.
func (stream *Stream) resume(cause error) error {
	stream.Close()
	if stream.lastEventID == "" {
		return &Error{Outcome: OutcomeUnknown, cause: cause}
	}
	stream.request.Header.Set("Last-Event-ID", stream.lastEventID)
	// Resuming a stream is idempotent.
	stream.request.Idempotent = true
	stream.resumeCount++
	deadline := time.Now().Add(resumeTimeout)
	for time.Now().Before(deadline) {
		err := stream.open()
		if err == nil {
			return nil
		}
		var failure *Error
		if errors.As(err, &failure) && failure.Status >= http.StatusBadRequest &&
			failure.Status < http.StatusInternalServerError && failure.Status != http.StatusTooManyRequests {
			return err
		}
		select {
		case <-stream.context.Done():
			return stream.context.Err()
		case <-time.After(resumeDelay):
		}
	}
	return &Error{Outcome: OutcomeUnknown, cause: cause}
}
