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
	Rows []serverRow `cbor:"1,keyasint,omitempty"`
	// Leaving names servers whose answers say that they leave.
	Leaving []leavingServer `cbor:"2,keyasint,omitempty"`
}

// serverChange is a changed entry of a backend server.
type serverChange struct {
	platform.Row
	// dropped says that a daemon has dropped the server for it. A daemon that had no
	// outage of the store knows that the entry has not lapsed because of one.
	dropped bool
}

type serverRow struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint,omitempty"`
	Version int64  `cbor:"3,keyasint"`
	Deleted bool   `cbor:"4,keyasint,omitempty"`
	Dropped bool   `cbor:"5,keyasint,omitempty"`
}

// notifyServers sends changed entries to the other daemons, so that they need not
// read the list.
func (gateway *Gateway) notifyServers(changes []serverChange) {
	if len(changes) == 0 {
		return
	}
	gateway.tellServers("", encodeChanges(changes))
}

func encodeChanges(changes []serverChange) serverMessage {
	var message serverMessage
	for _, change := range changes {
		message.Rows = append(message.Rows, serverRow{
			Key: change.Key, Value: change.Value, Version: change.Version, Deleted: change.Deleted, Dropped: change.dropped,
		})
	}
	return message
}

// tellServers sends a message on servers to the daemons that have not got it from
// another one. From is the daemon that it came from, or empty.
func (gateway *Gateway) tellServers(from string, message serverMessage) {
	network := gateway.exchange.open()
	to := gateway.exchange.audience(time.Now(), from)
	if network == nil || len(to) == 0 {
		return
	}
	// A daemon that misses the message notices that its servers differ.
	lost, err := network.Multicast(to, serverKind, message)
	if err != nil {
		lwtlog.Warn(gateway.logger, "servers-not-encoded", "err", err)
	}
	gateway.metrics.CountBy("servers-not-sent", lost)
}

func (gateway *Gateway) handleServers(from lwtpeer.Identity, body []byte) {
	var message serverMessage
	if err := lwtpeer.Decode(body, &message); err != nil {
		lwtlog.Warn(gateway.logger, "servers-ignored", "daemon", from.Name, "err", err)
		return
	}
	changes := make([]serverChange, 0, len(message.Rows))
	for _, row := range message.Rows {
		changes = append(changes, serverChange{
			Row:     platform.Row{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted},
			dropped: row.Dropped,
		})
	}
	news := encodeChanges(gateway.applyServers(time.Now(), changes, from.Name))
	news.Leaving = gateway.applyLeaving(from.Name, message.Leaving)
	if len(news.Rows) > 0 || len(news.Leaving) > 0 {
		gateway.tellServers(from.Name, news)
	}
}
