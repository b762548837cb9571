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

func (controller *groupController) executeLeaseCmd(cmd lwtlease.Cmd) {
	switch cmd := cmd.(type) {
	case lwtlease.ReadRow:
		controller.submit(controller.storePool, func() { controller.readLease(cmd) }, func() {
			controller.sendResult(groupMsg{group: cmd.Group, lease: lwtlease.RowRead{RequestID: cmd.RequestID, Failed: true}})
		})
	case lwtlease.Commit:
		controller.submit(controller.storePool, func() { controller.commitLease(cmd) }, func() {
			controller.sendResult(groupMsg{
				group: cmd.Group, lease: lwtlease.CommitResult{RequestID: cmd.RequestID, Failed: true},
			})
		})
	case lwtlease.LogLeaseChange:
		lwtlog.Info(controller.logger, string(cmd.Event), "group", cmd.Group, "fencing", cmd.Fencing)
	}
}

func (controller *groupController) readLease(cmd lwtlease.ReadRow) {
	row, err := controller.platform.Row(leaseKey(cmd.Group))
	rowRead := lwtlease.RowRead{RequestID: cmd.RequestID}
	if err == nil {
		rowRead.Row, err = lwtlease.DecodeRow(row.Value, row.Version)
	}
	if err != nil && !errors.Is(err, lwtplatform.ErrNotFound) {
		lwtlog.Warn(controller.logger, "lease-read-failed", "group", cmd.Group, "err", err)
		rowRead.Failed = true
	}
	controller.sendResult(groupMsg{group: cmd.Group, lease: rowRead})
}

func (controller *groupController) commitLease(cmd lwtlease.Commit) {
	commitResult := lwtlease.CommitResult{RequestID: cmd.RequestID, Row: cmd.Row}
	if err := controller.tryCommitLease(cmd, &commitResult); err != nil {
		lwtlog.Warn(controller.logger, "lease-write-failed", "group", cmd.Group, "err", err)
		commitResult.Failed = true
	}
	controller.sendResult(groupMsg{group: cmd.Group, lease: commitResult})
}

func (controller *groupController) tryCommitLease(cmd lwtlease.Commit, commitResult *lwtlease.CommitResult) error {
	value, err := cmd.Row.Encode()
	if err != nil {
		return err
	}
	key := leaseKey(cmd.Group)
	result, err := controller.platform.Commit(lwtplatform.Transaction{
		Conditions: []lwtplatform.Condition{{Key: key, Version: cmd.Version}},
		Puts:       []lwtplatform.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return err
	}
	commitResult.Row.Version = result.Version
	if result.Committed {
		return nil
	}
	commitResult.Conflict = true
	if len(result.Rows) != 1 {
		return fmt.Errorf("conflict on row %s: the store returned %d rows, want 1", key, len(result.Rows))
	}
	commitResult.Row, err = lwtlease.DecodeRow(result.Rows[0].Value, result.Rows[0].Version)
	return err
}

// leaseValidFor reports whether this daemon holds the lease of a group under a
// fencing number and the lease remains valid for the duration.
func (controller *groupController) leaseValidFor(
	now time.Time, group string, fencing int64, duration time.Duration,
) bool {
	controller.mutex.RLock()
	defer controller.mutex.RUnlock()
	lease := controller.groups[group].lease.Lease()
	return lease.Fencing == fencing && lease.ValidFor(now, duration)
}

// shouldRelease reports whether the lease of a group is to be released: the daemon
// is stopping, and no order that it has sent can still take effect.
func (controller *groupController) shouldRelease(name string) bool {
	controller.mutex.RLock()
	defer controller.mutex.RUnlock()
	return controller.stopping && controller.groups[name].order.Idle(time.Now())
}

// Release implements Releaser: it stops sending orders and releases the leases.
// A lease that is not released within leaseReleaseTimeout expires.
func (controller *groupController) Release(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaseReleaseTimeout)
	defer cancel()
	controller.mutex.Lock()
	controller.stopping = true
	names := make([]string, 0, len(controller.groups))
	for name := range controller.groups {
		names = append(names, name)
	}
	controller.mutex.Unlock()
	for _, name := range names {
		// Only the goroutine of Serve changes the models.
		controller.send(ctx, groupMsg{group: name, order: lwtorder.Stop{}})
	}
	for !controller.allReleased() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(lwtlease.TickInterval / 5):
		}
	}
	return nil
}

func (controller *groupController) allReleased() bool {
	controller.mutex.RLock()
	defer controller.mutex.RUnlock()
	for _, group := range controller.groups {
		if !group.lease.Released() {
			return false
		}
	}
	return true
}
