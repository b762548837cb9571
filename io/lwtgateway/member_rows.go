package lwtgateway

import (
	"context"
	"encoding/json"
	"time"

	"lacewingtide/io/lwtlog"
	"lacewingtide/platform"
)

// followMembers writes this daemon's row and reads those of all others.
func (gateway *Gateway) followMembers(ctx context.Context) error {
	for {
		gateway.refreshMembers()
		if !pause(ctx, gateway.members.interval()) {
			return ctx.Err()
		}
	}
}

func (gateway *Gateway) refreshMembers() {
	gateway.writeMember()
	rows, _, err := gateway.store.Rows(memberTable, StoreTimeout)
	if err != nil {
		gateway.metrics.Count("members-not-read")
		lwtlog.Debug(gateway.logger, "members-not-read", "err", err)
		return
	}
	now := time.Now()
	joined, broken := gateway.members.observe(now, rows)
	for _, member := range joined {
		gateway.logJoined(member.Name, member.Boot, member.Entry, "row")
	}
	for _, err := range broken {
		lwtlog.Warn(gateway.logger, "daemon-row-ignored", "err", err)
	}
	gateway.memberCount(now)
}

func (gateway *Gateway) logJoined(name string, boot uint64, entry, source string) {
	lwtlog.Info(gateway.logger, "daemon-joined", "daemon", name, "boot", boot, "entry", entry, "source", source)
}

func (gateway *Gateway) memberCount(now time.Time) {
	live := gateway.members.live(now)
	gateway.view.setDaemons(len(live))
	gateway.orders.setMembers(live)
}

func (gateway *Gateway) writeMember() {
	value, err := json.Marshal(gateway.members.nextBeat(gateway.serving()))
	if err == nil {
		err = gateway.store.Set(platform.Row{Table: memberTable, Key: gateway.settings.Name, Value: value}, StoreTimeout)
	}
	if err != nil {
		gateway.metrics.Count("member-not-written")
		lwtlog.Debug(gateway.logger, "member-not-written", "err", err)
	}
}

// serving reports whether callers may use this daemon.
func (gateway *Gateway) serving() bool {
	return gateway.leaveState().start.IsZero() && gateway.view.ready()
}
