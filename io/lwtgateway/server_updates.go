package lwtgateway

import (
	"time"

	"lacewingtide/io/lwtlog"
	"lacewingtide/io/lwtpeer"
	"lacewingtide/platform"
)

// serversKind is the kind of messages that carry a serverMessage.
const serversKind = "servers"

// serverMessage carries changed entries of backend servers.
type serverMessage struct {
	Rows []serverRow `cbor:"1,keyasint,omitempty"`
	// Draining identifies servers whose responses say that they are draining.
	Draining []drainingServer `cbor:"2,keyasint,omitempty"`
	// Limits holds request limits that responses of servers name, or no longer name.
	Limits []serverLimit `cbor:"3,keyasint,omitempty"`
	// Crashes holds crashes of engines.
	Crashes []crashReport `cbor:"4,keyasint,omitempty"`
	// Quarantine holds decisions about prompt segments that may crash engines.
	Quarantine []quarantineEntry `cbor:"5,keyasint,omitempty"`
}

func (message serverMessage) empty() bool {
	return len(message.Rows) == 0 && len(message.Draining) == 0 && len(message.Limits) == 0 && len(message.Crashes) == 0 &&
		len(message.Quarantine) == 0
}

// serverChange is a changed entry of a backend server.
type serverChange struct {
	platform.Row
	// removalConfirmed says that a daemon has removed the server because of this change. A
	// daemon that had no outage of the store knows that the entry did not expire because of
	// an outage.
	removalConfirmed bool
}

type serverRow struct {
	Key              string `cbor:"1,keyasint"`
	Value            []byte `cbor:"2,keyasint,omitempty"`
	Version          int64  `cbor:"3,keyasint"`
	Deleted          bool   `cbor:"4,keyasint,omitempty"`
	RemovalConfirmed bool   `cbor:"5,keyasint,omitempty"`
	Era              int64  `cbor:"6,keyasint,omitempty"`
}

// announceChanges sends changed entries to the other daemons, so that they don't need to
// read the store.
func (gateway *Gateway) announceChanges(changes []serverChange) {
	if len(changes) == 0 {
		return
	}
	gateway.sendServerMessage("", encodeChanges(changes))
}

// newlyConfirmed returns the removals among the applied changes that this daemon confirms, but the
// daemon that sent them did not.
func newlyConfirmed(received, applied []serverChange) (confirmed []serverChange) {
	confirmedBySender := map[string]bool{}
	for _, change := range received {
		confirmedBySender[change.Key] = change.removalConfirmed
	}
	for _, change := range applied {
		if change.Deleted && change.removalConfirmed && !confirmedBySender[change.Key] {
			confirmed = append(confirmed, change)
		}
	}
	return confirmed
}

func encodeChanges(changes []serverChange) serverMessage {
	var message serverMessage
	for _, change := range changes {
		message.Rows = append(message.Rows, serverRow{
			Key: change.Key, Value: change.Value, Version: change.Version, Deleted: change.Deleted,
			RemovalConfirmed: change.removalConfirmed, Era: change.Era,
		})
	}
	return message
}

// sendServerMessage sends or forwards a message about servers to this daemon's recipients.
// From is the daemon that sent it to this one, or empty if this daemon originates it.
func (gateway *Gateway) sendServerMessage(from string, message serverMessage) {
	network := gateway.loadExchange.peerNetwork()
	recipients := gateway.loadExchange.recipients(time.Now(), from)
	if network == nil || len(recipients) == 0 {
		return
	}
	// A daemon that misses the message detects it by comparing server digests, and hears of leaving
	// servers again from those whose digest differs.
	dropped, err := network.Multicast(recipients, serversKind, message)
	if err != nil {
		lwtlog.Warn(gateway.logger, "servers-not-encoded", "err", err)
	}
	gateway.metrics.CountBy("servers-not-sent", dropped)
}

func (gateway *Gateway) handleServerMessage(from lwtpeer.Identity, body []byte) {
	var message serverMessage
	if err := lwtpeer.Decode(body, &message); err != nil {
		lwtlog.Warn(gateway.logger, "servers-ignored", "daemon", from.Name, "err", err)
		return
	}
	changes := make([]serverChange, 0, len(message.Rows))
	for _, row := range message.Rows {
		changes = append(changes, serverChange{
			Row: platform.Row{
				Key: row.Key, Value: row.Value, Version: row.Version, Era: row.Era, Deleted: row.Deleted,
			},
			removalConfirmed: row.RemovalConfirmed,
		})
	}
	applied := gateway.applyServerChanges(time.Now(), changes, from.Name)
	// The sender has not confirmed these to the relays that it told, so they are not only
	// forwarded.
	gateway.announceChanges(newlyConfirmed(changes, applied))
	updates := encodeChanges(applied)
	updates.Draining = gateway.applyDraining(from.Name, message.Draining)
	updates.Limits = gateway.applyLimits(from.Name, message.Limits)
	updates.Crashes = gateway.applyCrashes(from.Name, message.Crashes)
	now := time.Now()
	for _, entry := range gateway.applyQuarantine(from.Name, decodeQuarantine(now, message.Quarantine)) {
		updates.Quarantine = append(updates.Quarantine, encodeQuarantine(now, entry))
	}
	if !updates.empty() {
		gateway.sendServerMessage(from.Name, updates)
	}
}
