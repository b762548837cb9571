package lwtpeer

import (
	"errors"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"

	"lacewingtide/io/lwtlog"
)

// connection is an authenticated connection to a peer, either dialled or accepted.
type connection struct {
	network   *Network
	peer      Identity
	socket    *websocket.Conn
	dialled   bool
	queue     chan []byte
	closed    chan struct{}
	closeOnce sync.Once
	// lastMessageAt is the time of the last message in either direction, in nanoseconds since
	// the Unix epoch.
	lastMessageAt atomic.Int64
}

func (network *Network) newConnection(socket *websocket.Conn, peer Identity, dialled bool) *connection {
	connection := &connection{
		network: network,
		peer:    peer,
		socket:  socket,
		dialled: dialled,
		queue:   make(chan []byte, network.options.MaxQueue),
		closed:  make(chan struct{}),
	}
	connection.recordMessage()
	return connection
}

func (connection *connection) recordMessage() { connection.lastMessageAt.Store(time.Now().UnixNano()) }

func (connection *connection) close() {
	connection.closeOnce.Do(func() {
		close(connection.closed)
		// The connection is not used again, so an error changes nothing.
		_ = connection.socket.Close()
	})
}

// tryEnqueue queues a message unless the queue is full, and reports whether it did.
func (connection *connection) tryEnqueue(raw []byte) bool {
	select {
	case connection.queue <- raw:
		return true
	default:
		return false
	}
}

// run sends and receives messages until the connection is closed, fails or times out.
func (connection *connection) run() {
	connection.network.counters.ConnectionsOpen.Add(1)
	defer connection.network.counters.ConnectionsOpen.Add(-1)
	connection.network.register(connection)
	defer connection.network.unregister(connection)
	var writer sync.WaitGroup
	// The writer must have stopped before run returns, because the server then reuses the
	// connection underneath the socket.
	defer writer.Wait()
	defer connection.close()
	writer.Go(connection.writeLoop)
	connection.readLoop()
}

func (connection *connection) readLoop() {
	options := connection.network.options
	connection.socket.SetReadLimit(MaxMessageBytes)
	extendDeadline := func(string) error {
		return connection.socket.SetReadDeadline(time.Now().Add(options.SilenceTimeout))
	}
	// Both sides send pings, so no pong is needed.
	connection.socket.SetPingHandler(extendDeadline)
	for {
		if err := extendDeadline(""); err != nil {
			return
		}
		kind, raw, err := connection.socket.ReadMessage()
		if err != nil {
			connection.recordReadError(err)
			return
		}
		if kind == websocket.BinaryMessage {
			connection.recordMessage()
			connection.network.dispatch(connection.peer, raw)
		}
	}
}

// recordReadError counts and logs a silence timeout. Other errors are not recorded.
func (connection *connection) recordReadError(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	connection.network.counters.SilenceTimeouts.Add(1)
	lwtlog.Warn(connection.network.options.Logger, "peer-connection-silent", "peer", connection.peer.Name,
		"address", connection.peer.Address)
}

// writeLoop sends the queued messages, and pings when there are none. It closes a connection
// that is idle.
func (connection *connection) writeLoop() {
	defer connection.close()
	options := connection.network.options
	keepAlive := time.NewTimer(options.KeepAliveInterval)
	defer keepAlive.Stop()
	for {
		kind, raw := websocket.PingMessage, []byte(nil)
		select {
		case <-connection.closed:
			return
		case raw = <-connection.queue:
			kind = websocket.BinaryMessage
			connection.recordMessage()
		case <-keepAlive.C:
			if connection.isIdle(time.Now()) {
				return
			}
		}
		keepAlive.Reset(options.KeepAliveInterval)
		if err := connection.send(kind, raw); err != nil {
			return
		}
	}
}

func (connection *connection) send(kind int, raw []byte) error {
	if err := connection.socket.SetWriteDeadline(time.Now().Add(connection.network.options.SilenceTimeout)); err != nil {
		return err
	}
	if kind == websocket.BinaryMessage {
		connection.network.counters.MessagesSent.Add(1)
	}
	return connection.socket.WriteMessage(kind, raw)
}

// isIdle reports whether this side dialled the connection and no message was sent or received
// for IdleTimeout.
func (connection *connection) isIdle(now time.Time) bool {
	return connection.dialled &&
		now.UnixNano()-connection.lastMessageAt.Load() > int64(connection.network.options.IdleTimeout)
}
