package lwtengine

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"testing/iotest"
	"time"
)

// decodeAll returns all events of a stream as text and the error that ended it.
func decodeAll(body io.Reader) (events []string, err error) {
	stream := newStream(body, nil, func(time.Time) {})
	defer stream.Close()
	for {
		event, err := stream.Next()
		if err != nil {
			return events, err
		}
		if len(event.Data) > maxEventBytes || len(event.Data) == 0 {
			return events, fmt.Errorf("event of %d bytes", len(event.Data))
		}
		events = append(events, fmt.Sprintf("%s/%d %q", event.StreamID, event.Offset, event.Data))
	}
}

// FuzzStream guards against a decoder that panics, returns empty or oversized events, or
// returns different events when the response arrives byte by byte.
func FuzzStream(f *testing.F) {
	for _, seed := range []string{
		"id: s/0\ndata: {\"a\":1}\n\n", ": keep-alive\n\nid: s/1\r\ndata: x\r\n\r\n", "data: no id\n\n", "id: s\ndata: x\n\n",
		"id: s/99999999999999999999\ndata: x\n\n", "id: s/1\ndata: a\ndata: b\n\nid: s/2\ndata: [DONE]\n\n",
		"id: a/b/3\ndata: x\n\n", "\n\n\n", "id: s/0\ndata: cut off", "event: x\nretry: 1\nid: s/0\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		whole, wholeErr := decodeAll(bytes.NewReader(body))
		pieces, piecesErr := decodeAll(iotest.OneByteReader(bytes.NewReader(body)))
		if fmt.Sprint(whole) != fmt.Sprint(pieces) || fmt.Sprint(wholeErr) != fmt.Sprint(piecesErr) {
			t.Errorf("read at once: events %q, error %v\nread byte by byte: events %q, error %v",
				whole, wholeErr, pieces, piecesErr)
		}
	})
}
