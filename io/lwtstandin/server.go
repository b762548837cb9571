package lwtstandin

import (
	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"lacewingtide/io/lwtlog"
)

// newServer returns a server that does not log broken connections, because tests
// break connections on purpose.
func newServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               handler,
		NoDefaultServerHeader: true,
		Logger:                lwtlog.NewPrintfLogger(log.NewNopLogger(), "connection-failed"),
	}
}
