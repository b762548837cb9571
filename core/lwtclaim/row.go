// Package lwtclaim decides which request may run when a request must run at most
// once.
//
// A daemon writes a claim row under the caller's idempotency key before it sends
// the first byte to a backend server. The transactions of the table let only one
// daemon win. Model batches the writes of one daemon. After a lost response, it
// recognizes its own rows by their nonces.
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
	// StateDone means that the request ran and its response is stored.
	StateDone State = "done"
	// StateReleased means that the request did not run under this nonce and never will.
	StateReleased State = "released"
)

// Retention is the time for which the row of a key is valid. VM clocks may differ
// by minutes without harm, because a daemon starts a claimed request within
// seconds or not at all.
const Retention = 24 * time.Hour

// MaxInlineBytes is the largest body that is stored in the row itself. Larger
// bodies go to the object store, so that a batch of 64 rows stays below 512 KB.
const MaxInlineBytes = 4 << 10

// Response is the stored HTTP response to a request that ran.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// ObjectHash is the hash of the body in the object store, if it is stored there.
	ObjectHash string `json:"object,omitempty"`
}

// Row is the value of a claim row.
type Row struct {
	// Nonce identifies the request that wrote the row.
	Nonce  string `json:"nonce"`
	Daemon string `json:"daemon"`
	// RequestHash distinguishes different requests with the same key.
	RequestHash string    `json:"request-hash"`
	State       State     `json:"state"`
	Opened      time.Time `json:"opened"`
	Response    *Response `json:"outcome,omitempty"`
}

// Expired reports whether the key of the row may be used again.
func (row Row) Expired(now time.Time) bool { return now.Sub(row.Opened) > Retention }

// StoredRow is a row in the table with its version. Version 0 means that there is
// no row.
type StoredRow struct {
	Key     string
	Version int64
	Row     Row
}

// Write writes a row on condition that the table holds the given version of it.
type Write struct {
	Key     string
	Version int64
	Row     Row
}

// RowKey returns the key of the table row for a caller's idempotency key.
func RowKey(caller, key string) string {
	return "claim/" + keyEscaper.Replace(caller) + "/" + keyEscaper.Replace(key)
}

// keyEscaper escapes slashes, so that a name with a slash cannot address another
// caller's row.
var keyEscaper = strings.NewReplacer("%", "%25", "/", "%2F")
