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

// link is one open connection to a peer.
type link struct {
	network *Network
	peer    Identity
	socket  *websocket.Conn
	dialled bool
	queue   chan []byte
	closed  chan struct{}
	once    sync.Once
	// used is the time of the last message in either direction, in
	// nanoseconds since 1970.
	used atomic.Int64
}

func (network *Network) newLink(socket *websocket.Conn, peer Identity, dialled bool) *link {
	link := &link{
		network: network,
		peer:    peer,
		socket:  socket,
		dialled: dialled,
		queue:   make(chan []byte, network.options.MaxQueue),
		closed:  make(chan struct{}),
	}
	link.touch()
	return link
}

func (link *link) touch() { link.used.Store(time.Now().UnixNano()) }

func (link *link) close() {
	link.once.Do(func() {
		close(link.closed)
		// The connection is given up; an error changes nothing.
		_ = link.socket.Close()
	})
}

// offer queues a message. It reports false when the queue is full.
func (link *link) offer(raw []byte) bool {
	select {
	case link.queue <- raw:
		return true
	default:
		return false
	}
}

// serve carries messages until the connection is closed or falls silent.
func (link *link) serve() {
	link.network.counters.ConnectionsOpen.Add(1)
	defer link.network.counters.ConnectionsOpen.Add(-1)
	link.network.register(link)
	defer link.network.unregister(link)
	var writer sync.WaitGroup
	// The server reuses what the socket stands on once serve has returned.
	defer writer.Wait()
	defer link.close()
	writer.Go(link.write)
	link.read()
}

func (link *link) read() {
	options := link.network.options
	link.socket.SetReadLimit(MaxMessageBytes)
	extend := func(string) error { return link.socket.SetReadDeadline(time.Now().Add(options.SilenceTimeout)) }
	// Both sides send keep-alives, so that none needs an answer.
	link.socket.SetPingHandler(extend)
	for {
		if err := extend(""); err != nil {
			return
		}
		kind, raw, err := link.socket.ReadMessage()
		if err != nil {
			link.lost(err)
			return
		}
		if kind == websocket.BinaryMessage {
			link.touch()
			link.network.dispatch(link.peer, raw)
		}
	}
}

func (link *link) lost(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	link.network.counters.SilenceTimeouts.Add(1)
	lwtlog.Warn(link.network.options.Logger, "peer-connection-silent", "peer", link.peer.Name, "address", link.peer.Address)
}

func (link *link) write() {
	defer link.close()
	options := link.network.options
	keepAlive := time.NewTimer(options.KeepAliveInterval)
	defer keepAlive.Stop()
	for {
		kind, raw := websocket.PingMessage, []byte(nil)
		select {
		case <-link.closed:
			return
		case raw = <-link.queue:
			kind = websocket.BinaryMessage
			link.touch()
		case <-keepAlive.C:
			if link.idle(time.Now()) {
				return
			}
		}
		keepAlive.Reset(options.KeepAliveInterval)
		if err := link.send(kind, raw); err != nil {
			return
		}
	}
}

func (link *link) send(kind int, raw []byte) error {
	if err := link.socket.SetWriteDeadline(time.Now().Add(link.network.options.SilenceTimeout)); err != nil {
		return err
	}
	if kind == websocket.BinaryMessage {
		link.network.counters.MessagesSent.Add(1)
	}
	return link.socket.WriteMessage(kind, raw)
}

func (link *link) idle(now time.Time) bool {
	return link.dialled && now.UnixNano()-link.used.Load() > int64(link.network.options.IdleTimeout)
}
