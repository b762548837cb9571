package lwtlease_test

import (
	"fmt"
	"testing"
	"time"

	"lacewingtide/core/lwtlease"
)

const self = "d1/1"

// granted returns a model that was granted a lease by a commit that was sent and whose
// result was received at the given times.
func granted(t *testing.T, sent, received time.Time) lwtlease.Model {
	t.Helper()
	model := lwtlease.New("g1", self)
	model, cmds := model.Update(sent, lwtlease.Tick{})
	model, cmds = model.Update(sent, lwtlease.RowRead{RequestID: cmds[0].(lwtlease.ReadRow).RequestID})
	commit := cmds[0].(lwtlease.Commit)
	row := commit.Row
	row.Version = 1
	model, _ = model.Update(received, lwtlease.CommitResult{RequestID: commit.RequestID, Row: row})
	return model
}

// TestExpiryCountsFromBeforeTheRequest guards against a lease that is still valid
// when a successor takes over, because the response to the holder's write was slow.
func TestExpiryCountsFromBeforeTheRequest(t *testing.T) {
	sent := time.Now()
	lease := granted(t, sent, sent.Add(2*time.Second)).Lease()
	if want := sent.Add(9900 * time.Millisecond); !lease.Until.Equal(want) {
		t.Errorf("lease valid until %s, want %s", lease.Until, want)
	}
}

// TestSuspendedClockEndsLease guards against a lease that seems valid after the VM
// was suspended and its monotonic clock stopped.
func TestSuspendedClockEndsLease(t *testing.T) {
	sent := time.Now()
	lease := granted(t, sent, sent).Lease()
	wall := lwtlease.Lease{Fencing: lease.Fencing, Until: lease.Until}
	if !wall.Valid(sent.Add(9 * time.Second)) {
		t.Error("the lease expired early")
	}
	// Without the monotonic clock reading, times are compared by the wall clock.
	if wall.Valid(sent.Add(10 * time.Second).Round(0)) {
		t.Error("the lease is valid after its end by the wall clock")
	}
}

// TestReleasedLeaseKeepsOrdersApart guards against a successor that sends orders right after those of
// the daemon that released the lease.
func TestReleasedLeaseKeepsOrdersApart(t *testing.T) {
	for _, handover := range []time.Duration{0, 3 * time.Second} {
		seen := time.Now()
		model, _ := lwtlease.New("g1", self).Update(seen, lwtlease.SetMembers{Names: []string{self}})
		model, _ = model.Update(seen, lwtlease.SetHandover{Minimum: handover})
		released := lwtlease.Row{Version: 4, Fencing: 7}
		taken := time.Time{}
		for now := seen; taken.IsZero() && now.Before(seen.Add(time.Minute)); now = now.Add(lwtlease.TickInterval) {
			var cmds []lwtlease.Cmd
			model, cmds = model.Update(now, lwtlease.Tick{})
			for len(cmds) > 0 {
				cmd := cmds[0]
				cmds = cmds[1:]
				switch cmd := cmd.(type) {
				case lwtlease.ReadRow:
					model, cmds = model.Update(now, lwtlease.RowRead{RequestID: cmd.RequestID, Row: released})
				case lwtlease.Commit:
					taken = now
				}
			}
		}
		if wait := taken.Sub(seen); taken.IsZero() || wait < handover || wait > handover+time.Second {
			t.Errorf("taken over %s after the release was seen, want about %s", wait, handover)
		}
	}
}

// TestStandbysReadLittle guards against store reads by every daemon for every group,
// which would overload the store at the target size.
func TestStandbysReadLittle(t *testing.T) {
	now := time.Now()
	var members []string
	for i := range 100 {
		members = append(members, fmt.Sprintf("d%d/1", i))
	}
	reading := 0
	for _, member := range members {
		model, _ := lwtlease.New("g1", member).Update(now, lwtlease.SetMembers{Names: members})
		if _, cmds := model.Update(now, lwtlease.Tick{}); len(cmds) > 0 {
			reading++
		}
	}
	if reading != lwtlease.MaxCandidates {
		t.Errorf("%d daemons read, want %d", reading, lwtlease.MaxCandidates)
	}
}

// tickUntilRequest sends ticks from a time on until the model sends a request.
func tickUntilRequest(model lwtlease.Model, from time.Time) (lwtlease.Model, time.Time, lwtlease.Cmd) {
	for now := from; ; now = now.Add(lwtlease.TickInterval) {
		next, cmds := model.Update(now, lwtlease.Tick{})
		for _, cmd := range cmds {
			if _, isLog := cmd.(lwtlease.LogLeaseChange); !isLog {
				return next, now, cmd
			}
		}
		model = next
	}
}

// TestLostRenewalIsReadBack guards against treating a renewal without a response as
// granted or as rejected before the row was read.
func TestLostRenewalIsReadBack(t *testing.T) {
	start := time.Now()
	model, renewed, cmd := tickUntilRequest(granted(t, start, start), start)
	commit := cmd.(lwtlease.Commit)
	model, _ = model.Update(renewed, lwtlease.CommitResult{RequestID: commit.RequestID, Failed: true})
	if until := model.Lease().Until; !until.Equal(start.Add(9900 * time.Millisecond)) {
		t.Fatalf("the lost response changed the end of the lease to %s", until)
	}
	model, now, cmd := tickUntilRequest(model, renewed)
	row := commit.Row
	row.Version = 2
	model, _ = model.Update(now, lwtlease.RowRead{RequestID: cmd.(lwtlease.ReadRow).RequestID, Row: row})
	if until := model.Lease().Until; !until.Equal(renewed.Add(9900 * time.Millisecond)) {
		t.Errorf("lease valid until %s after the read", until)
	}
	model, now, cmd = tickUntilRequest(model, now)
	row.Holder, row.Version = "d2/1", 3
	model, _ = model.Update(now, lwtlease.CommitResult{
		RequestID: cmd.(lwtlease.Commit).RequestID, Row: row, Conflict: true,
	})
	if model.Lease().Fencing != 0 {
		t.Error("the lease is still held although the row names another holder")
	}
}
