package lwtdaemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lacewingtide/core/lwtlease"
	"lacewingtide/core/lwtorder"
	"lacewingtide/io/lwtlog"
	"lacewingtide/io/lwtplatform"
)

func leaseKey(group string) string { return "lease/" + group }

func (authority *authority) executeLease(cmd lwtlease.Cmd) {
	switch cmd := cmd.(type) {
	case lwtlease.ReadRow:
		authority.submit(authority.storeCalls, func() { authority.readLease(cmd) }, func() {
			authority.answer(groupMsg{group: cmd.Group, lease: lwtlease.RowRead{RequestID: cmd.RequestID, Failed: true}})
		})
	case lwtlease.Commit:
		authority.submit(authority.storeCalls, func() { authority.commitLease(cmd) }, func() {
			authority.answer(groupMsg{group: cmd.Group, lease: lwtlease.CommitResult{RequestID: cmd.RequestID, Failed: true}})
		})
	case lwtlease.LogLeaseChange:
		lwtlog.Info(authority.logger, string(cmd.Event), "group", cmd.Group, "fencing", cmd.Fencing)
	}
}

func (authority *authority) readLease(cmd lwtlease.ReadRow) {
	row, err := authority.platform.Row(leaseKey(cmd.Group))
	answer := lwtlease.RowRead{RequestID: cmd.RequestID}
	if err == nil {
		answer.Row, err = lwtlease.DecodeRow(row.Value, row.Version)
	}
	if err != nil && !errors.Is(err, lwtplatform.ErrNotFound) {
		lwtlog.Warn(authority.logger, "lease-read-failed", "group", cmd.Group, "err", err)
		answer.Failed = true
	}
	authority.answer(groupMsg{group: cmd.Group, lease: answer})
}

func (authority *authority) commitLease(cmd lwtlease.Commit) {
	answer := lwtlease.CommitResult{RequestID: cmd.RequestID, Row: cmd.Row}
	if err := authority.tryCommit(cmd, &answer); err != nil {
		lwtlog.Warn(authority.logger, "lease-write-failed", "group", cmd.Group, "err", err)
		answer.Failed = true
	}
	authority.answer(groupMsg{group: cmd.Group, lease: answer})
}

func (authority *authority) tryCommit(cmd lwtlease.Commit, answer *lwtlease.CommitResult) error {
	value, err := cmd.Row.Encode()
	if err != nil {
		return err
	}
	key := leaseKey(cmd.Group)
	result, err := authority.platform.Commit(lwtplatform.Transaction{
		Conditions: []lwtplatform.Condition{{Key: key, Version: cmd.Version}},
		Puts:       []lwtplatform.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return err
	}
	answer.Row.Version = result.Version
	if result.Committed {
		return nil
	}
	answer.Conflict = true
	if len(result.Rows) != 1 {
		return fmt.Errorf("conflict without the lease row")
	}
	answer.Row, err = lwtlease.DecodeRow(result.Rows[0].Value, result.Rows[0].Version)
	return err
}

// mayOrder reports whether the lease with a fencing number lasts for a span.
func (authority *authority) mayOrder(now time.Time, name string, fencing int64, span time.Duration) bool {
	authority.mutex.RLock()
	defer authority.mutex.RUnlock()
	lease := authority.groups[name].lease.Lease()
	return lease.Fencing == fencing && lease.ValidFor(now, span)
}

// shouldRelease reports whether a lease is to be given up: the daemon stops, and
// no order that it sent can take effect any more.
func (authority *authority) shouldRelease(name string) bool {
	authority.mutex.RLock()
	defer authority.mutex.RUnlock()
	return authority.stopping && authority.groups[name].order.Idle(time.Now())
}

// Release implements Releaser: it stops sending orders and releases the leases.
// A lease that is not released within leaseReleaseTimeout ends by itself.
func (authority *authority) Release(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaseReleaseTimeout)
	defer cancel()
	authority.mutex.Lock()
	authority.stopping = true
	names := make([]string, 0, len(authority.groups))
	for name := range authority.groups {
		names = append(names, name)
	}
	authority.mutex.Unlock()
	for _, name := range names {
		// Only the part's own goroutine changes the models.
		authority.send(ctx, groupMsg{group: name, order: lwtorder.Stop{}})
	}
	for !authority.released() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(lwtlease.TickInterval / 5):
		}
	}
	return nil
}

func (authority *authority) released() bool {
	authority.mutex.RLock()
	defer authority.mutex.RUnlock()
	for _, group := range authority.groups {
		if !group.lease.Released() {
			return false
		}
	}
	return true
}
