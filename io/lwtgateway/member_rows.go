package lwtgateway

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"lacewingtide/io/lwtlog"
	"lacewingtide/platform"
)

// followMembers periodically writes this daemon's rows and reads the daemons' rows, until ctx is
// canceled. It writes at once when several software versions of a service begin to serve, and more often
// while they do.
func (gateway *Gateway) followMembers(ctx context.Context) error {
	if err := gateway.adoptRows(ctx); err != nil {
		return err
	}
	writtenAt, readAt := time.Time{}, time.Now()
	var writtenEra int64
	for {
		now, era := time.Now(), gateway.storeEra.Load()
		interval := memberWriteInterval(gateway.members.count(now))
		mixedInterval := interval / mixedWritesPerInterval
		mixed := len(gateway.view.mixedServices(now)) > 0
		// A store that has come back from an older copy may have lost the rows.
		if now.Sub(writtenAt) >= interval || era != writtenEra ||
			mixed && now.Sub(writtenAt) >= mixedInterval && gateway.streamsUnwritten(now) {
			gateway.writeRows(StoreTimeout)
			writtenAt, writtenEra = now, era
		}
		if now.Sub(readAt) >= gateway.memberReadInterval(now, interval) {
			_, _ = gateway.readMemberRows()
			readAt = now
		}
		wait := isolatedReadInterval
		if mixed {
			wait = min(wait, mixedInterval)
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-gateway.view.mixedServicesChanged:
			writtenAt = time.Time{}
		}
		timer.Stop()
		if err := ctx.Err(); err != nil {
			return err
		}
	}
}

// mixedWritesPerInterval is how often a daemon writes its rows within the regular interval while several
// software versions of a service serve.
const mixedWritesPerInterval = 4

// adoptRows reads the daemons' rows and the streams for the first time. It retries until the store
// responds or ctx is canceled: the first write replaces what the process before has written.
func (gateway *Gateway) adoptRows(ctx context.Context) error {
	for {
		rows, err := gateway.readMemberRows()
		if err == nil {
			err = gateway.readStreamRows(true)
		}
		if err == nil {
			gateway.observeMixedRows(rows)
			gateway.rowsAdopted.Store(true)
			return nil
		}
		lwtlog.Debug(gateway.logger, "rows-not-adopted", "err", err)
		if !sleep(ctx, storeRetryDelay) {
			return ctx.Err()
		}
	}
}

// memberReadInterval returns the time between two reads of all rows. A daemon that receives
// messages from others learns from them which daemons are live, so it reads less often. While
// the relays change, those that don't know each other yet exchange no messages.
func (gateway *Gateway) memberReadInterval(now time.Time, writeInterval time.Duration) time.Duration {
	switch {
	case gateway.loadExchange.isFullMesh():
		return writeInterval
	case !gateway.loadExchange.connected(now):
		return isolatedReadInterval
	case gateway.loadExchange.readsStore(), gateway.loadExchange.relaysChanged(now):
		return storeReaderInterval
	}
	return maxMemberInterval
}

func (gateway *Gateway) readMemberRows() ([]platform.Row, error) {
	rows, _, err := gateway.store.Rows(memberTable, StoreTimeout)
	if err != nil {
		gateway.metrics.Count("members-not-read")
		lwtlog.Debug(gateway.logger, "members-not-read", "err", err)
		return nil, err
	}
	joined, malformed := gateway.members.applyRows(time.Now(), rows)
	for _, member := range joined {
		gateway.logJoined(member.Name, member.Boot, member.EntryAddress, "row")
	}
	for _, err := range malformed {
		lwtlog.Warn(gateway.logger, "daemon-row-ignored", "err", err)
	}
	return rows, nil
}

// observeMixedRows applies what the daemons' rows say of services of which several software versions
// have served. After a restart of all daemons, nobody else knows.
func (gateway *Gateway) observeMixedRows(rows []platform.Row) {
	for _, row := range rows {
		var content member
		if err := json.Unmarshal(row.Value, &content); err != nil {
			// applyRows has reported it.
			continue
		}
		for service, until := range content.MixedUntil {
			gateway.view.observeMixed([]string{service}, time.UnixMilli(until))
		}
	}
}

func (gateway *Gateway) logJoined(name string, boot uint64, entry, source string) {
	lwtlog.Info(gateway.logger, "daemon-joined", "daemon", name, "boot", boot, "entry", entry, "source", source)
}

func (gateway *Gateway) updateMembers(now time.Time, live []member) {
	names := make([]string, 0, len(live))
	for _, member := range live {
		names = append(names, member.Name)
	}
	gateway.view.setDaemons(now, names)
	gateway.store.SetDaemonCount(len(live))
	gateway.orderSender.setMembers(live)
}

// writeRows writes this daemon's row and its streams, unless it has not yet read those of the process
// before.
func (gateway *Gateway) writeRows(timeout time.Duration) {
	if !gateway.rowsAdopted.Load() {
		return
	}
	now := time.Now()
	mixedUntil := map[string]int64{}
	for service, until := range gateway.view.mixedUntil(now) {
		mixedUntil[service] = until.UnixMilli()
	}
	value, err := json.Marshal(gateway.members.nextHeartbeat(gateway.serving(), mixedUntil))
	if err == nil {
		err = gateway.commitRows(now, platform.Row{Table: memberTable, Key: gateway.settings.Name, Value: value}, timeout)
	}
	if err != nil {
		gateway.metrics.Count("member-not-written")
		lwtlog.Debug(gateway.logger, "member-not-written", "err", err)
	}
}

// commitRows writes the daemon's row and, if they have changed, its streams in one transaction.
func (gateway *Gateway) commitRows(now time.Time, memberRow platform.Row, timeout time.Duration) error {
	transaction := platform.Transaction{Put: []platform.Row{memberRow}}
	streams, err := encodeStreamRow(gateway.view.ownStreams(now))
	if err != nil {
		return err
	}
	row := platform.Row{Table: streamTable, Key: gateway.settings.Name, Value: streams}
	if !gateway.isWritten(row) {
		transaction.Put = append(transaction.Put, row)
	}
	result, err := gateway.store.Commit(transaction, timeout)
	if err == nil && result.Applied && len(transaction.Put) > 1 {
		row.Era = result.Position.Era
		gateway.writtenStreams.Store(&row)
	}
	return err
}

// isWritten reports whether the row of this daemon's streams that was last written has the content of a row,
// and the store has not come back from an older copy since.
func (gateway *Gateway) isWritten(row platform.Row) bool {
	written := gateway.writtenStreams.Load()
	return written != nil && bytes.Equal(written.Value, row.Value) && written.Era >= gateway.storeEra.Load()
}

// streamsUnwritten reports whether the store lacks a stream of this daemon.
func (gateway *Gateway) streamsUnwritten(now time.Time) bool {
	streams, err := encodeStreamRow(gateway.view.ownStreams(now))
	return err == nil && !gateway.isWritten(platform.Row{Value: streams})
}

// serving reports whether callers may send requests to this daemon.
func (gateway *Gateway) serving() bool {
	return gateway.drainState().startTime.IsZero() && gateway.view.ready()
}
