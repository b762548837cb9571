package lwtgateway

import (
	"time"

	"lacewingtide/io/lwtlog"
	"lacewingtide/io/lwtpeer"
	"lacewingtide/platform"
)

// Kinds of messages through which a daemon that cannot read the store gets the
// configuration from one that has read it.
const (
	configRequestKind = "configuration-request"
	configKind        = "configuration"
)

// configRequestInterval is the minimum time between two requests for a newer configuration.
// A reply arrives within a few milliseconds or is lost.
const configRequestInterval = 200 * time.Millisecond

// configRequest requests the active configuration.
type configRequest struct{}

// configMessage carries a configuration in the encoding of the store.
type configMessage struct {
	RowVersion int64  `cbor:"1,keyasint"`
	Value      []byte `cbor:"2,keyasint"`
}

// requestConfig requests the configuration from a daemon that has a newer one, at most once
// per configRequestInterval.
func (gateway *Gateway) requestConfig(now time.Time, daemon string) {
	requestedAt := gateway.configRequestedAt.Load()
	if now.UnixNano()-requestedAt < int64(configRequestInterval) ||
		!gateway.configRequestedAt.CompareAndSwap(requestedAt, now.UnixNano()) {
		return
	}
	network := gateway.loadExchange.peerNetwork()
	if network == nil {
		return
	}
	gateway.metrics.Count("configuration-requested")
	if err := network.Send(daemon, configRequestKind, configRequest{}); err != nil {
		lwtlog.Info(gateway.logger, "configuration-request-not-sent", "daemon", daemon, "err", err)
	}
}

// handleConfigRequest replies with the active configuration.
func (gateway *Gateway) handleConfigRequest(from lwtpeer.Identity, _ []byte) {
	row, network := gateway.view.configurationRow(), gateway.loadExchange.peerNetwork()
	if row.Version == 0 || network == nil {
		return
	}
	if err := network.Send(from.Name, configKind, configMessage{RowVersion: row.Version, Value: row.Value}); err != nil {
		// The other daemon reads the store when it can, or sends another request.
		lwtlog.Info(gateway.logger, "configuration-reply-not-sent", "daemon", from.Name, "err", err)
	}
}

func (gateway *Gateway) handleConfig(from lwtpeer.Identity, body []byte) {
	var message configMessage
	if err := lwtpeer.Decode(body, &message); err != nil {
		lwtlog.Warn(gateway.logger, "configuration-ignored", "daemon", from.Name, "err", err)
		return
	}
	gateway.applyConfig(platform.Row{Version: message.RowVersion, Value: message.Value}, from.Name)
}

func (gateway *Gateway) applyConfigRows(_ time.Time, rows []platform.Row) {
	_, key := platform.ConfigRowKey()
	for _, row := range rows {
		if row.Key == key && !row.Deleted {
			gateway.applyConfig(row, "store")
		}
	}
}

// applyConfig activates a configuration unless the active one is at least as new. Source
// is logged: "store", or the name of the daemon that sent the configuration.
func (gateway *Gateway) applyConfig(row platform.Row, source string) {
	config, err := platform.DecodeConfig(row.Value)
	if err != nil {
		lwtlog.Warn(gateway.logger, "configuration-ignored", "row-version", row.Version, "source", source, "err", err)
		return
	}
	applied := gateway.view.setConfig(config, row)
	lwtlog.Info(gateway.logger, "configuration-read", "config", config.Version, "row-version", row.Version,
		"applied", applied, "source", source)
}
