package lwtgateway

import (
	"time"

	"lacewingtide/io/lwtlog"
	"lacewingtide/io/lwtpeer"
	"lacewingtide/platform"
)

// Kinds of message by which a daemon that cannot read the store gets the
// configuration from one that has read it.
const (
	configRequestKind = "configuration-request"
	configKind        = "configuration"
)

// configRequestInterval is the shortest time between two requests for a newer
// configuration: a reply arrives within a few milliseconds, or is lost.
const configRequestInterval = 200 * time.Millisecond

// configRequest requests the configuration in force.
type configRequest struct{}

// configMessage carries a configuration as the store holds it.
type configMessage struct {
	RowVersion int64  `cbor:"1,keyasint"`
	Value      []byte `cbor:"2,keyasint"`
}

// requestConfig requests the configuration from a daemon that has a newer one.
func (gateway *Gateway) requestConfig(now time.Time, daemon string) {
	before := gateway.configRequested.Load()
	if now.UnixNano()-before < int64(configRequestInterval) || !gateway.configRequested.CompareAndSwap(before, now.UnixNano()) {
		return
	}
	network := gateway.exchange.open()
	if network == nil {
		return
	}
	gateway.metrics.Count("configuration-requested")
	if err := network.Send(daemon, configRequestKind, configRequest{}); err != nil {
		lwtlog.Info(gateway.logger, "configuration-request-not-sent", "daemon", daemon, "err", err)
	}
}

// handleConfigRequest replies with the configuration in force.
func (gateway *Gateway) handleConfigRequest(from lwtpeer.Identity, _ []byte) {
	row, network := gateway.view.configurationRow(), gateway.exchange.open()
	if row.Version == 0 || network == nil {
		return
	}
	if err := network.Send(from.Name, configKind, configMessage{RowVersion: row.Version, Value: row.Value}); err != nil {
		// It reads the store itself when it can, or requests it again.
		lwtlog.Info(gateway.logger, "configuration-reply-not-sent", "daemon", from.Name, "err", err)
	}
}

func (gateway *Gateway) handleConfig(from lwtpeer.Identity, body []byte) {
	var message configMessage
	if err := lwtpeer.Decode(body, &message); err != nil {
		lwtlog.Warn(gateway.logger, "configuration-ignored", "daemon", from.Name, "err", err)
		return
	}
	gateway.readConfig(platform.Row{Version: message.RowVersion, Value: message.Value}, from.Name)
}

func (gateway *Gateway) readConfigRows(_ time.Time, rows []platform.Row) {
	_, key := platform.ConfigRowKey()
	for _, row := range rows {
		if row.Key == key && !row.Deleted {
			gateway.readConfig(row, "store")
		}
	}
}

// readConfig puts a configuration in force unless it is older. Source names where
// it comes from.
func (gateway *Gateway) readConfig(row platform.Row, source string) {
	config, err := platform.DecodeConfig(row.Value)
	if err != nil {
		lwtlog.Warn(gateway.logger, "configuration-ignored", "row-version", row.Version, "source", source, "err", err)
		return
	}
	applied := gateway.view.setConfig(config, row)
	lwtlog.Info(gateway.logger, "configuration-read", "config", config.Version, "row-version", row.Version, "applied", applied,
		"source", source)
}
