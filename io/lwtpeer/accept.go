package lwtpeer

import (
	"time"

	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"

	"lacewingtide/io/lwtlog"
)

const (
	peerPath          = "/v1/peer"
	socketBufferBytes = 2 << 10
)

func (network *Network) server() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               network.accept,
		ReadTimeout:           network.options.DialTimeout,
		MaxRequestBodySize:    1,
		Concurrency:           network.options.MaxConnections,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		Logger:                lwtlog.NewPrintfLogger(network.options.Logger, "peer-connection-failed"),
	}
}

// accept upgrades a peer's connection to a WebSocket. When MaxConnections are open it responds
// with status 503, and the peer retries with jittered backoff.
func (network *Network) accept(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != peerPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if int(network.counters.ConnectionsOpen.Load()) >= network.options.MaxConnections {
		network.counters.ConnectionsRefused.Add(1)
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	upgrader := websocket.FastHTTPUpgrader{
		ReadBufferSize:  socketBufferBytes,
		WriteBufferPool: &writeBufferPool,
		WriteBufferSize: socketBufferBytes,
	}
	if err := upgrader.Upgrade(ctx, network.serveAccepted); err != nil {
		network.counters.ConnectionsRefused.Add(1)
	}
}

// serveAccepted authenticates an accepted connection and serves it until it is closed.
func (network *Network) serveAccepted(socket *websocket.Conn) {
	connection, err := network.acceptConnection(socket)
	if err != nil {
		network.counters.ConnectionsRefused.Add(1)
		lwtlog.Warn(network.options.Logger, "peer-refused", "remote", socket.RemoteAddr(), "err", err)
		// Closing the connection is the response to the peer; an error changes nothing.
		_ = socket.Close()
		return
	}
	connection.run()
}

func (network *Network) acceptConnection(socket *websocket.Conn) (*connection, error) {
	select {
	case network.handshakeSlots <- struct{}{}:
		defer func() { <-network.handshakeSlots }()
	case <-time.After(network.options.DialTimeout):
		return nil, ErrDropped
	}
	if err := socket.NetConn().SetDeadline(time.Now().Add(network.options.DialTimeout)); err != nil {
		return nil, err
	}
	identity, err := handshakeAsAcceptor(socket, network.options.Identity, network.currentKey())
	if err != nil {
		return nil, err
	}
	return network.newConnection(socket, identity, false), nil
}
