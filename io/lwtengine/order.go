package lwtengine

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtorder"
	"lacewingtide/io/lwthttp"
)

// ErrLeaseTooShort reports that an order's body was not sent because the lease had expired or
// had too little time left.
var ErrLeaseTooShort = errors.New("the lease does not last for the order")

// State reads an engine's state over a new connection, so that a broken idle connection can't
// delay it.
func (client *Client) State(address string) (lwtorder.EngineState, error) {
	content, err := client.call(lwthttp.Request{Method: fasthttp.MethodGet, Address: address, Path: "/v1/state"})
	if err != nil {
		return lwtorder.EngineState{}, fmt.Errorf("read the state of engine %s: %w", address, err)
	}
	var body struct {
		Incarnation int64                 `json:"incarnation"`
		Content     lwtorder.EngineConfig `json:"content"`
		Changing    bool                  `json:"changing"`
		Running     int                   `json:"running"`
		Fencing     int64                 `json:"fencing"`
		Sequence    int64                 `json:"sequence"`
	}
	if err := json.Unmarshal(content, &body); err != nil {
		return lwtorder.EngineState{}, fmt.Errorf("decode the state of engine %s: %w", address, err)
	}
	return lwtorder.EngineState{
		Incarnation: body.Incarnation, Config: body.Content, Reconfiguring: body.Changing, ActiveStreams: body.Running,
		LastOrder: lwtorder.OrderNumber{Fencing: body.Fencing, Sequence: body.Sequence},
	}, nil
}

// SendOrder sends an order over a new connection. It sends the body only after the engine's
// 100 Continue and only if maySend then returns true. The engine discards an order whose body
// is not complete within its order read timeout after the 100 Continue. However long the body
// is delayed after maySend, the order therefore takes effect within that timeout or not at
// all.
func (client *Client) SendOrder(
	address string, order lwtorder.Order, maySend func(now time.Time) bool,
) (lwtorder.Outcome, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return lwtorder.OutcomeNotSent, fmt.Errorf("encode order: %w", err)
	}
	conn, err := dialNewConn(address)
	if err != nil {
		return lwtorder.OutcomeNotSent, err
	}
	defer closeConn(conn)
	reader := bufio.NewReader(conn)
	if outcome, err := sendOrderHead(conn, reader, address, len(body)); err != nil {
		return outcome, err
	}
	if !maySend(time.Now()) {
		return lwtorder.OutcomeNotSent, ErrLeaseTooShort
	}
	if _, err := conn.Write(body); err != nil {
		return lwtorder.OutcomeUnknown, fmt.Errorf("send order to %s: %w", address, err)
	}
	return readOrderOutcome(reader, address)
}

// sendOrderHead sends the request head of an order and waits for the engine's 100 Continue.
func sendOrderHead(conn net.Conn, reader *bufio.Reader, address string, length int) (lwtorder.Outcome, error) {
	if _, err := fmt.Fprintf(conn, "POST /v1/orders HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n", address, length); err != nil {
		return lwtorder.OutcomeNotSent, fmt.Errorf("send head of order to %s: %w", address, err)
	}
	var header fasthttp.ResponseHeader
	if err := lwthttp.ReadHead(reader, &header); err != nil {
		return lwtorder.OutcomeNotSent, fmt.Errorf("wait for 100 Continue from %s: %w", address, err)
	}
	if status := header.StatusCode(); status != fasthttp.StatusContinue {
		return lwtorder.OutcomeRefused, fmt.Errorf("send head of order to %s: status %d", address, status)
	}
	return "", nil
}

func readOrderOutcome(reader *bufio.Reader, address string) (lwtorder.Outcome, error) {
	var header fasthttp.ResponseHeader
	if err := lwthttp.ReadHead(reader, &header); err != nil {
		return lwtorder.OutcomeUnknown, fmt.Errorf("read order response from %s: %w", address, err)
	}
	switch status := header.StatusCode(); {
	case status == fasthttp.StatusOK || status == fasthttp.StatusAccepted:
		return lwtorder.OutcomeAccepted, nil
	case statesNotRun(&header):
		return lwtorder.OutcomeRefused, fmt.Errorf("order to %s refused: status %d", address, status)
	default:
		return lwtorder.OutcomeUnknown, fmt.Errorf("outcome of order to %s unknown: status %d", address, status)
	}
}

func dialNewConn(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := conn.SetDeadline(time.Now().Add(ProgressTimeout)); err != nil {
		closeConn(conn)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return conn, nil
}

func closeConn(conn net.Conn) {
	// The connection is not used again, so an error changes nothing.
	_ = conn.Close()
}
