package lwtgateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/io/lwtlog"
)

// recordResponse applies what a response's headers say about its server: that it is
// draining, that it requests a backoff, or that it limits its request rate. SentAt is when the
// request was sent. RequestID is empty for control requests.
func (gateway *Gateway) recordResponse(
	server lwtdiscovery.Server, requestID string, sentAt time.Time, header *fasthttp.ResponseHeader,
) {
	if gateway.protocol.ServerDraining(header) && gateway.view.setDraining(server.ID, server.StartTime) {
		gateway.logServerDraining(server.ID, server.StartTime, requestID, "answer")
		gateway.announceDraining(server)
	}
	if backoff := gateway.protocol.RetryAfter(header); backoff > 0 {
		gateway.view.setBackoff(time.Now(), server, backoff)
		gateway.metrics.Count("server-pauses")
		lwtlog.Info(gateway.logger, "server-pause", "server", server.ID, "request", requestID, "span", backoff)
	}
	perSecond, limited, err := gateway.protocol.RequestLimit(header)
	if err != nil {
		// It neither sets nor ends a limit.
		lwtlog.Warn(gateway.logger, "server-limit-ignored", "server", server.ID, "request", requestID, "err", err)
		return
	}
	gateway.recordLimit(server, requestID, sentAt, perSecond, limited)
}

func (gateway *Gateway) logServerDraining(id string, started time.Time, requestID, source string) {
	gateway.metrics.Count("servers-leaving")
	lwtlog.Info(gateway.logger, "server-leaving", "server", id, "started", started.UnixMilli(), "request", requestID,
		"source", source)
}

// drainingServer identifies a server whose responses say that it is draining.
type drainingServer struct {
	ID string `cbor:"1,keyasint"`
	// StartedUnixMilli is the server's start time in milliseconds since the Unix epoch, by
	// its own clock.
	StartedUnixMilli int64 `cbor:"2,keyasint"`
}

// announceDraining reports a draining server to the other daemons.
func (gateway *Gateway) announceDraining(server lwtdiscovery.Server) {
	gateway.sendServerMessage("", serverMessage{
		Draining: []drainingServer{{ID: server.ID, StartedUnixMilli: server.StartTime.UnixMilli()}},
	})
}

// syncDraining sends all servers whose responses say that they are draining to a daemon whose servers
// differ. It may have missed the announcement, or have joined since. Digest is that of its servers.
func (gateway *Gateway) syncDraining(now time.Time, daemon string, digest uint64) {
	if digest == gateway.view.digest() {
		return
	}
	var message serverMessage
	for _, server := range gateway.view.reportedDraining() {
		message.Draining = append(message.Draining, drainingServer{ID: server.ID, StartedUnixMilli: server.StartTime.UnixMilli()})
	}
	network := gateway.loadExchange.peerNetwork()
	if network == nil || len(message.Draining) == 0 || !gateway.loadExchange.syncDue(now, daemon, syncedDraining) {
		return
	}
	gateway.metrics.Count("draining-synced")
	if err := network.Send(daemon, serversKind, message); err != nil {
		lwtlog.Info(gateway.logger, "draining-not-sent", "daemon", daemon, "err", err)
	}
}

// applyDraining marks servers as draining and returns those that were not yet marked.
func (gateway *Gateway) applyDraining(daemon string, servers []drainingServer) (updated []drainingServer) {
	for _, server := range servers {
		started := time.UnixMilli(server.StartedUnixMilli)
		if gateway.view.setDraining(server.ID, started) {
			gateway.logServerDraining(server.ID, started, "", daemon)
			updated = append(updated, server)
		}
	}
	return updated
}
