package lwtgateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/io/lwtlog"
)

// noteAnswer takes in what the head of an answer says of its server. Request is
// empty for calls of the daemon's own.
func (gateway *Gateway) noteAnswer(server lwtdiscovery.Server, request string, header *fasthttp.ResponseHeader) {
	if gateway.wire.ServerDraining(header) && gateway.view.setLeaving(server.ID, server.StartTime) {
		gateway.logLeaving(server.ID, server.StartTime, request, "answer")
		gateway.notifyLeaving(server)
	}
	if span := gateway.wire.RetryAfter(header); span > 0 {
		gateway.view.pause(time.Now(), server, span)
		gateway.metrics.Count("server-pauses")
		lwtlog.Info(gateway.logger, "server-pause", "server", server.ID, "request", request, "span", span)
	}
}

func (gateway *Gateway) logLeaving(id string, started time.Time, request, source string) {
	gateway.metrics.Count("servers-leaving")
	lwtlog.Info(gateway.logger, "server-leaving", "server", id, "started", started.UnixMilli(), "request", request, "source", source)
}

// leavingServer names a server whose answers say that it leaves.
type leavingServer struct {
	ID string `cbor:"1,keyasint"`
	// StartedUnixMilli is the server's start in milliseconds since 1970, by its own clock.
	StartedUnixMilli int64 `cbor:"2,keyasint"`
}

// notifyLeaving tells the other daemons of a server that leaves.
func (gateway *Gateway) notifyLeaving(server lwtdiscovery.Server) {
	gateway.tellServers("", serverMessage{Leaving: []leavingServer{{ID: server.ID, StartedUnixMilli: server.StartTime.UnixMilli()}}})
}

// applyLeaving takes in which servers leave and returns those that were not known to.
func (gateway *Gateway) applyLeaving(daemon string, servers []leavingServer) (news []leavingServer) {
	for _, server := range servers {
		started := time.UnixMilli(server.StartedUnixMilli)
		if gateway.view.setLeaving(server.ID, started) {
			gateway.logLeaving(server.ID, started, "", daemon)
			news = append(news, server)
		}
	}
	return news
}
