package lwtstandin

import (
	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"lacewingtide/io/lwtlog"
)

// newServer returns a server whose broken connections are not reported: tests
// break them on purpose.
func newServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               handler,
		NoDefaultServerHeader: true,
		Logger:                lwtlog.NewPrintfLogger(log.NewNopLogger(), "connection-failed"),
	}
}
