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
	// progressTimeout is the silence after which a stream's connection counts
	// as lost. Daemons send a keep-alive each second.
	progressTimeout = 2500 * time.Millisecond
	// resumeTime bounds the tries to take up a broken stream.
	resumeTime  = 20 * time.Second
	resumePause = 100 * time.Millisecond
	maxLine     = 1 << 20
)

var endMark = []byte("[DONE]")

// Stream is a chat completion whose events come one by one. It is not safe for
// concurrent use.
type Stream struct {
	client  *Client
	context context.Context
	cancel  context.CancelFunc
	request Request
	id      string
	body    io.ReadCloser
	scanner *bufio.Scanner
	silent  *time.Timer
	ended   bool
	resumed int
}

// Stream starts a streamed chat completion. Body is the request in the form of
// OpenAI's API with "stream": true.
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

// Close ends the reading. The daemon cancels an answer that is not complete.
func (stream *Stream) Close() {
	stream.silent.Stop()
	stream.cancel()
	// The connection is given up.
	_ = stream.body.Close()
}

// ResumeCount returns how often the stream was taken up again.
func (stream *Stream) ResumeCount() int { return stream.resumed }

// Next returns the data of the next event, valid until the next call. It
// returns io.EOF after the last one. A broken connection is taken up on
// another daemon after the last event that came.
func (stream *Stream) Next() ([]byte, error) {
	if stream.ended {
		return nil, io.EOF
	}
	for {
		data, err := stream.read()
		if err != nil {
			if err := stream.resume(err); err != nil {
				return nil, err
			}
			continue
		}
		if bytes.Equal(data, endMark) {
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
	stream.scanner.Buffer(nil, maxLine)
	stream.silent = time.AfterFunc(progressTimeout, cancel)
	return nil
}

// read returns the data of the next event on the connection. An event without
// an id reports a failure that the daemon could not recover from.
func (stream *Stream) read() ([]byte, error) {
	var id string
	for stream.scanner.Scan() {
		stream.silent.Reset(progressTimeout)
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
		stream.id = id
		return data, nil
	}
	return nil, fmt.Errorf("the stream broke: %w", errors.Join(stream.scanner.Err(), io.ErrUnexpectedEOF))
}

// resume takes the stream up after the last event. Without one, the request
// may have run and is not sent again.
func (stream *Stream) resume(cause error) error {
	stream.Close()
	if stream.id == "" {
		return &Error{Outcome: OutcomeUnknown, cause: cause}
	}
	stream.request.Header.Set("Last-Event-ID", stream.id)
	// Taking up a stream again may be repeated.
	stream.request.Idempotent = true
	stream.resumed++
	until := time.Now().Add(resumeTime)
	for time.Now().Before(until) {
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
		case <-time.After(resumePause):
		}
	}
	return &Error{Outcome: OutcomeUnknown, cause: cause}
}
