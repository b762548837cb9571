package lwtgateway

import (
	"time"

	"lacewingtide/io/lwtlog"
	"lacewingtide/io/lwtpeer"
	"lacewingtide/platform"
)

// serverKind is the kind of message that carries a serverMessage.
const serverKind = "servers"

// serverMessage carries entries of backend servers that have changed.
type serverMessage struct {
	Rows []serverRow `cbor:"1,keyasint"`
}

type serverRow struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"`
	Version int64  `cbor:"3,keyasint"`
	Deleted bool   `cbor:"4,keyasint,omitempty"`
}

// notifyServers sends changed entries to the other daemons, so that each of them
// need not read the list often.
func (gateway *Gateway) notifyServers(rows []platform.Row) {
	network := gateway.exchange.open()
	if network == nil || len(rows) == 0 {
		return
	}
	var message serverMessage
	for _, row := range rows {
		message.Rows = append(message.Rows, serverRow{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted})
	}
	// A daemon that misses the message reads the list itself.
	dropped, err := network.Broadcast(serverKind, message)
	if err != nil {
		lwtlog.Warn(gateway.logger, "servers-not-encoded", "err", err)
	}
	gateway.metrics.CountBy("servers-not-sent", dropped)
}

func (gateway *Gateway) handleServers(from lwtpeer.Identity, body []byte) {
	var message serverMessage
	if err := lwtpeer.Decode(body, &message); err != nil {
		lwtlog.Warn(gateway.logger, "servers-ignored", "daemon", from.Name, "err", err)
		return
	}
	rows := make([]platform.Row, 0, len(message.Rows))
	for _, row := range message.Rows {
		rows = append(rows, platform.Row{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted})
	}
	gateway.applyServers(time.Now(), rows, from.Name)
}
