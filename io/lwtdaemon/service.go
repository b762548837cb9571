package lwtdaemon

import (
	"time"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtstate"
	"lacewingtide/io/lwtentry"
	"lacewingtide/io/lwtlog"
)

// forwarder passes calls on to plain services. Each call uses a connection of
// its own, so that a backend server that closes an idle connection can never
// leave it open whether the call ran.
type forwarder struct {
	logger log.Logger
}

func newForwarder(logger log.Logger) *forwarder { return &forwarder{logger: logger} }

// Forward implements lwtentry.Services.
func (forwarder *forwarder) Forward(
	ctx *fasthttp.RequestCtx, requestID string, caller lwtstate.Caller, service lwtstate.Service, path string,
) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	ctx.Request.CopyTo(request)
	address := service.BackendServers[0].Address
	request.SetRequestURI("http://" + address + path)
	request.URI().SetQueryStringBytes(ctx.URI().QueryString())
	request.Header.Del("Authorization")
	request.SetConnectionClose()
	client := fasthttp.HostClient{Addr: address, MaxIdemponentCallAttempts: 1}
	began := time.Now()
	err := client.DoTimeout(request, &ctx.Response, service.Timeout.Std())
	lwtlog.Info(forwarder.logger, "service-call-ended", "request", requestID, "caller", caller.Name,
		"service", service.Name, "backend-server", address, "whole", time.Since(began), "err", err)
	if err != nil {
		lwtentry.APIError{
			Status: fasthttp.StatusBadGateway, Type: "server_error", Code: "service_failed",
			Message: err.Error(), Outcome: lwtentry.OutcomeUnknown,
		}.Write(ctx)
	}
}
