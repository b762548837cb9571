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
	var written, read time.Time
	for {
		now := time.Now()
		interval := intervalOf(gateway.members.count(now))
		if now.Sub(written) >= interval {
			gateway.writeMember()
			written = now
		}
		if now.Sub(read) >= gateway.memberReadInterval(now, interval) {
			gateway.readMembers()
			read = now
		}
		if !pause(ctx, unheardInterval) {
			return ctx.Err()
		}
	}
}

// memberReadInterval returns the time between two reads of all rows. Daemons that
// hear others learn from them who lives.
func (gateway *Gateway) memberReadInterval(now time.Time, written time.Duration) time.Duration {
	switch {
	case gateway.exchange.mesh():
		return written
	case !gateway.exchange.connected(now):
		return unheardInterval
	case gateway.exchange.reads():
		return readerInterval
	}
	return maxMemberInterval
}

func (gateway *Gateway) readMembers() {
	rows, _, err := gateway.store.Rows(memberTable, StoreTimeout)
	if err != nil {
		gateway.metrics.Count("members-not-read")
		lwtlog.Debug(gateway.logger, "members-not-read", "err", err)
		return
	}
	joined, broken := gateway.members.observe(time.Now(), rows)
	for _, member := range joined {
		gateway.logJoined(member.Name, member.Boot, member.EntryAddress, "row")
	}
	for _, err := range broken {
		lwtlog.Warn(gateway.logger, "daemon-row-ignored", "err", err)
	}
}

func (gateway *Gateway) logJoined(name string, boot uint64, entry, source string) {
	lwtlog.Info(gateway.logger, "daemon-joined", "daemon", name, "boot", boot, "entry", entry, "source", source)
}

func (gateway *Gateway) memberCount(live []member) {
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
