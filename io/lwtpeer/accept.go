package lwtpeer

import (
	"time"

	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"

	"lacewingtide/io/lwtlog"
)

const (
	path        = "/v1/peer"
	bufferBytes = 2 << 10
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

// accept takes one peer's connection. Those above the bound of hellos in
// progress are told to come back; they do so with jitter.
func (network *Network) accept(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != path {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if int(network.counters.ConnectionsOpen.Load()) >= network.options.MaxConnections {
		network.counters.ConnectionsRefused.Add(1)
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	upgrader := websocket.FastHTTPUpgrader{
		ReadBufferSize:  bufferBytes,
		WriteBufferPool: &buffers,
		WriteBufferSize: bufferBytes,
	}
	if err := upgrader.Upgrade(ctx, network.greet); err != nil {
		network.counters.ConnectionsRefused.Add(1)
	}
}

func (network *Network) greet(socket *websocket.Conn) {
	link, err := network.acceptLink(socket)
	if err != nil {
		network.counters.ConnectionsRefused.Add(1)
		lwtlog.Warn(network.options.Logger, "peer-refused", "remote", socket.RemoteAddr(), "err", err)
		// The peer learns from the closed connection.
		_ = socket.Close()
		return
	}
	link.serve()
}

func (network *Network) acceptLink(socket *websocket.Conn) (*link, error) {
	select {
	case network.greetings <- struct{}{}:
		defer func() { <-network.greetings }()
	case <-time.After(network.options.DialTimeout):
		return nil, ErrDropped
	}
	if err := socket.NetConn().SetDeadline(time.Now().Add(network.options.DialTimeout)); err != nil {
		return nil, err
	}
	identity, err := greetAsAcceptor(socket, network.options.Identity, network.options.Key)
	if err != nil {
		return nil, err
	}
	return network.newLink(socket, identity, false), nil
}
