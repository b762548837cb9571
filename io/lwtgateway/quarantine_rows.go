package lwtgateway

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtquarantine"
	"lacewingtide/io/lwtlog"
	"lacewingtide/platform"
)

// quarantineTable is the store table with one row for each entry of the quarantine.
const quarantineTable = "quarantine"

const (
	// quarantinePollTimeout is the long-poll time for changes of the quarantine.
	quarantinePollTimeout = 5 * time.Second
	// quarantineRepairInterval is the time between two checks whether the store lacks an entry.
	quarantineRepairInterval = 500 * time.Millisecond
	// quarantineRepairDelay is how long the store may lack an entry before daemons other than the
	// one that made it write it.
	quarantineRepairDelay = time.Second
	// quarantineWriteTries bounds the attempts to write a row that others write too.
	quarantineWriteTries = 3
	// maxRowKeyBytes is the store's limit of a row's key.
	maxRowKeyBytes = 200
)

// quarantineRow is the content of a row. Its times are in milliseconds since the Unix epoch, by the
// clock of the daemon that wrote it.
type quarantineRow struct {
	Service string `json:"service"`
	// Kind is requestRowKind, or empty for segments.
	Kind string `json:"kind,omitempty"`
	// Segment is the id of the entry's key.
	Segment          string `json:"segment"`
	Revision         int    `json:"revision"`
	Lifted           bool   `json:"lifted,omitempty"`
	Answered         bool   `json:"answered,omitempty"`
	TieID            uint64 `json:"tie-id,omitempty"`
	ProbeUnixMilli   int64  `json:"probe-at"`
	ExpiresUnixMilli int64  `json:"expires-at"`
}

const requestRowKind = "request"

func quarantineRowKey(key lwtquarantine.Key) string {
	rowKey := key.Service + "/" + key.ID
	if key.Kind == lwtquarantine.Request {
		rowKey = key.Service + "/" + requestRowKind + ":" + key.ID
	}
	if len(rowKey) > maxRowKeyBytes {
		return fmt.Sprintf("%016x", xxhash.Sum64String(rowKey))
	}
	return rowKey
}

func encodeQuarantineRow(entry lwtquarantine.Entry) (platform.Row, error) {
	content := quarantineRow{
		Service: entry.Service, Segment: entry.ID, Revision: entry.Revision, Lifted: entry.Lifted,
		Answered: entry.Answered, TieID: entry.TieID, ProbeUnixMilli: entry.ProbeAt.UnixMilli(), ExpiresUnixMilli: entry.ExpiresAt.UnixMilli(),
	}
	if entry.Kind == lwtquarantine.Request {
		content.Kind = requestRowKind
	}
	value, err := json.Marshal(content)
	if err != nil {
		return platform.Row{}, fmt.Errorf("encode quarantine: %w", err)
	}
	return platform.Row{Table: quarantineTable, Key: quarantineRowKey(entry.Key), Value: value}, nil
}

func decodeQuarantineRow(now time.Time, row platform.Row) (lwtquarantine.Entry, error) {
	var content quarantineRow
	if err := json.Unmarshal(row.Value, &content); err != nil {
		return lwtquarantine.Entry{}, fmt.Errorf("decode quarantine row %s: %w", row.Key, err)
	}
	key := lwtquarantine.Key{Service: content.Service, ID: content.Segment}
	if content.Kind == requestRowKind {
		key.Kind = lwtquarantine.Request
	}
	return lwtquarantine.Entry{
		Key:      key,
		Revision: content.Revision, Lifted: content.Lifted, Answered: content.Answered, TieID: content.TieID, FirstCrashAt: now,
		ProbeAt: time.UnixMilli(content.ProbeUnixMilli), ExpiresAt: time.UnixMilli(content.ExpiresUnixMilli),
	}, nil
}

// quarantineRows holds what the store has of the quarantine. It is safe for concurrent use.
type quarantineRows struct {
	mutex sync.Mutex
	rows  map[string]platform.Row
	// missingSince holds, by row key, since when the store lacks an entry that this daemon has.
	missingSince map[string]time.Time
	// read is closed after the first attempt to read the table.
	read     chan struct{}
	readOnce sync.Once
}

func newQuarantineRows() *quarantineRows {
	return &quarantineRows{
		rows: map[string]platform.Row{}, missingSince: map[string]time.Time{}, read: make(chan struct{}),
	}
}

// followQuarantine keeps the quarantine up to date with the store until ctx is canceled.
func (gateway *Gateway) followQuarantine(ctx context.Context) error {
	tableFollower := &tableFollower{
		gateway: gateway, table: quarantineTable, pollTimeout: quarantinePollTimeout,
		coveredUntil:  &gateway.lastStoreContact,
		applySnapshot: gateway.applyQuarantineSnapshot, applyChanges: gateway.applyQuarantineRows,
		onRecovered: func(lwtdiscovery.Outage) {},
	}
	tableFollower.poll()
	gateway.quarantineRows.readOnce.Do(func() { close(gateway.quarantineRows.read) })
	go func() {
		_ = runEvery(ctx, quarantineRepairInterval, gateway.repairQuarantine)
	}()
	return tableFollower.run(ctx, func() time.Duration {
		tableFollower.pollTimeout = quarantinePollTimeout
		if !gateway.loadExchange.readsStore() {
			tableFollower.pollTimeout = 0
			return idleInterval
		}
		return 0
	})
}

func (gateway *Gateway) applyQuarantineSnapshot(now time.Time, rows []platform.Row) {
	gateway.quarantineRows.mutex.Lock()
	gateway.quarantineRows.rows = map[string]platform.Row{}
	gateway.quarantineRows.mutex.Unlock()
	gateway.applyQuarantineRows(now, rows)
}

func (gateway *Gateway) applyQuarantineRows(now time.Time, rows []platform.Row) {
	var entries []lwtquarantine.Entry
	for _, row := range rows {
		gateway.quarantineRows.set(row)
		if row.Deleted {
			continue
		}
		entry, err := decodeQuarantineRow(now, row)
		if err != nil {
			lwtlog.Warn(gateway.logger, "quarantine-row-ignored", "row-version", row.Version, "err", err)
			continue
		}
		entries = append(entries, entry)
	}
	changed := gateway.applyQuarantine("store", entries)
	if len(changed) == 0 {
		return
	}
	var message serverMessage
	for _, entry := range changed {
		message.Quarantine = append(message.Quarantine, encodeQuarantine(now, entry))
	}
	gateway.sendServerMessage("", message)
}

func (quarantineRows *quarantineRows) set(row platform.Row) {
	quarantineRows.mutex.Lock()
	defer quarantineRows.mutex.Unlock()
	if row.Deleted {
		delete(quarantineRows.rows, row.Key)
		return
	}
	row.Table = quarantineTable
	quarantineRows.rows[row.Key] = row
}

// holds reports whether a row has an entry or one that supersedes it. Era is the store's: what was read or
// written before it came back from an older copy may be gone, also while a poll of the table goes on.
func (quarantineRows *quarantineRows) holds(now time.Time, era int64, entry lwtquarantine.Entry) bool {
	quarantineRows.mutex.Lock()
	defer quarantineRows.mutex.Unlock()
	return quarantineRows.holdsLocked(now, era, entry)
}

func (quarantineRows *quarantineRows) holdsLocked(now time.Time, era int64, entry lwtquarantine.Entry) bool {
	row, found := quarantineRows.rows[quarantineRowKey(entry.Key)]
	if !found || row.Era < era {
		return false
	}
	stored, err := decodeQuarantineRow(now, row)
	return err == nil && !entry.Supersedes(stored)
}

// overdue returns the entries that the store has lacked for quarantineRepairDelay.
func (quarantineRows *quarantineRows) overdue(now time.Time, era int64, entries []lwtquarantine.Entry) []lwtquarantine.Entry {
	quarantineRows.mutex.Lock()
	defer quarantineRows.mutex.Unlock()
	missing := map[string]time.Time{}
	var overdue []lwtquarantine.Entry
	for _, entry := range entries {
		if quarantineRows.holdsLocked(now, era, entry) {
			continue
		}
		key := quarantineRowKey(entry.Key)
		since, known := quarantineRows.missingSince[key]
		if !known {
			since = now
		}
		missing[key] = since
		if now.Sub(since) >= quarantineRepairDelay {
			overdue = append(overdue, entry)
		}
	}
	quarantineRows.missingSince = missing
	return overdue
}

// expired returns the rows whose entries have expired.
func (quarantineRows *quarantineRows) expired(now time.Time) (rows []platform.Row) {
	quarantineRows.mutex.Lock()
	defer quarantineRows.mutex.Unlock()
	for _, row := range quarantineRows.rows {
		if entry, err := decodeQuarantineRow(now, row); err != nil || !now.Before(entry.ExpiresAt) {
			rows = append(rows, row)
		}
	}
	return rows
}

// repairQuarantine writes entries that the store lacks, because the daemon that made them could not
// reach it or because the store has lost them, and removes expired rows.
func (gateway *Gateway) repairQuarantine(now time.Time) {
	if !gateway.loadExchange.readsStore() {
		return
	}
	gateway.storeQuarantine(gateway.quarantineRows.overdue(now, gateway.storeEra.Load(), gateway.view.quarantineEntries(now)))
	for _, row := range gateway.quarantineRows.expired(now) {
		if err := gateway.store.Remove(row, StoreTimeout); err != nil {
			lwtlog.Info(gateway.logger, "quarantine-row-not-removed", "key", row.Key, "err", err)
			continue
		}
		gateway.quarantineRows.set(platform.Row{Key: row.Key, Deleted: true})
	}
}

// storeQuarantine writes entries to the store, unless it holds newer ones.
func (gateway *Gateway) storeQuarantine(entries []lwtquarantine.Entry) {
	for _, entry := range entries {
		if err := gateway.storeQuarantineEntry(entry); err != nil {
			// A daemon that reads the store writes it later.
			lwtlog.Info(gateway.logger, "quarantine-not-stored", "key", quarantineRowKey(entry.Key), "revision", entry.Revision, "err", err)
		}
	}
}

func (gateway *Gateway) storeQuarantineEntry(entry lwtquarantine.Entry) error {
	row, err := encodeQuarantineRow(entry)
	if err != nil {
		return err
	}
	for range quarantineWriteTries {
		current, applied, err := gateway.store.CompareAndSwap(row, StoreTimeout)
		if err != nil {
			return err
		}
		gateway.quarantineRows.set(current)
		if applied || gateway.quarantineRows.holds(time.Now(), gateway.storeEra.Load(), entry) {
			return nil
		}
		row.Version = current.Version
	}
	return fmt.Errorf("row %s is written by others", row.Key)
}
