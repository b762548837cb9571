// Package lwtclaim decides who may run a request that must run at most once.
//
// A daemon inserts a claim row under the caller's idempotency key before it
// sends the first byte. The table's transactions let one daemon win. Model
// batches the writes of one daemon and resolves lost answers by nonce.
package lwtclaim

import (
	"strings"
	"time"
)

// State is the state of a claim row.
type State string

// The states of a claim row.
const (
	// StateOpen means that the request may be running or may have run.
	StateOpen State = "open"
	// StateDone means that the request ran and its outcome is stored.
	StateDone State = "done"
	// StateReleased means that the request did not run under this nonce and never will.
	StateReleased State = "released"
)

// Retention is the time for which a key is remembered. Clocks of VMs may differ
// by minutes without harm, because a daemon starts a claimed request within
// seconds or not at all.
const Retention = 24 * time.Hour

// MaxInlineBytes is the largest body that is kept in the row itself. Larger ones
// go to the object store, so that a batch of 64 rows stays below 512 KB.
const MaxInlineBytes = 4 << 10

// Response is the stored answer to a request that ran.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// ObjectHash is the hash of the body in the object store, if it is kept there.
	ObjectHash string `json:"object,omitempty"`
}

// Row is the value of a claim row.
type Row struct {
	// Nonce identifies the request that wrote the row.
	Nonce  string `json:"nonce"`
	Daemon string `json:"daemon"`
	// RequestHash tells apart different requests under one key.
	RequestHash string    `json:"request-hash"`
	State       State     `json:"state"`
	Opened      time.Time `json:"opened"`
	Response    *Response `json:"outcome,omitempty"`
}

// Expired reports whether the key of the row may be used anew.
func (row Row) Expired(now time.Time) bool { return now.Sub(row.Opened) > Retention }

// StoredRow is a row as the table holds it. Version 0 means that there is none.
type StoredRow struct {
	Key     string
	Version int64
	Row     Row
}

// Write puts a row on condition that the table holds the given version of it.
type Write struct {
	Key     string
	Version int64
	Row     Row
}

// RowKey returns the table's key of a caller's idempotency key.
func RowKey(caller, key string) string {
	return "claim/" + escaper.Replace(caller) + "/" + escaper.Replace(key)
}

// escaper keeps a slash in a name from making it another caller's row.
var escaper = strings.NewReplacer("%", "%25", "/", "%2F")
