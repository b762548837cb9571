package lwtgateway

import (
	"context"
	"encoding/json"
	"time"

	"lacewingtide/io/lwtlog"
	"lacewingtide/platform"
)

// followMembers periodically writes this daemon's row and reads the rows of all others,
// until ctx is canceled. It writes at once when several software versions of a service begin to serve.
func (gateway *Gateway) followMembers(ctx context.Context) error {
	if err := gateway.adoptMemberRows(ctx); err != nil {
		return err
	}
	writtenAt, readAt := time.Time{}, time.Now()
	var writtenEra int64
	for {
		now, era := time.Now(), gateway.storeEra.Load()
		interval := memberWriteInterval(gateway.members.count(now))
		// A store that has come back from an older copy may have lost the row.
		if now.Sub(writtenAt) >= interval || era != writtenEra {
			gateway.writeMemberRow()
			writtenAt, writtenEra = now, era
		}
		if now.Sub(readAt) >= gateway.memberReadInterval(now, interval) {
			_, _ = gateway.readMemberRows()
			readAt = now
		}
		timer := time.NewTimer(isolatedReadInterval)
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

// adoptMemberRows reads the daemons' rows for the first time. It retries until the store responds or
// ctx is canceled: the first write replaces what the process before has written.
func (gateway *Gateway) adoptMemberRows(ctx context.Context) error {
	for {
		rows, err := gateway.readMemberRows()
		if err == nil {
			gateway.observeMixedRows(rows)
			gateway.memberRowsAdopted.Store(true)
			return nil
		}
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

// writeMemberRow writes this daemon's row, unless it has not yet read that of the process before.
func (gateway *Gateway) writeMemberRow() {
	if !gateway.memberRowsAdopted.Load() {
		return
	}
	mixedUntil := map[string]int64{}
	for service, until := range gateway.view.mixedUntil(time.Now()) {
		mixedUntil[service] = until.UnixMilli()
	}
	value, err := json.Marshal(gateway.members.nextHeartbeat(gateway.serving(), mixedUntil))
	if err == nil {
		err = gateway.store.Set(platform.Row{Table: memberTable, Key: gateway.settings.Name, Value: value}, StoreTimeout)
	}
	if err != nil {
		gateway.metrics.Count("member-not-written")
		lwtlog.Debug(gateway.logger, "member-not-written", "err", err)
	}
}

// serving reports whether callers may send requests to this daemon.
func (gateway *Gateway) serving() bool {
	return gateway.drainState().startTime.IsZero() && gateway.view.ready()
}
