package lwtgateway

import (
	"encoding/json"
	"testing"
	"time"

	"lacewingtide/platform"
)

func memberRow(t *testing.T, name string, boot uint64, version int64) platform.Row {
	t.Helper()
	value, err := json.Marshal(member{
		Name: name, Boot: boot, EntryAddress: name + ":1", PeerAddress: name + ":2", Ready: true, HeartbeatSeq: version,
	})
	if err != nil {
		t.Fatal(err)
	}
	return platform.Row{Key: name, Value: value, Version: version}
}

// reportedState returns the state that a process of a daemon sends.
func reportedState(name string, boot uint64) daemonState {
	return daemonState{Name: name, Boot: boot, EntryAddress: name + ":1", PeerAddress: name + ":2", Ready: true}
}

func isLive(members *members, now time.Time, name string) bool {
	for _, member := range members.live(now) {
		if member.Name == name {
			return true
		}
	}
	return false
}

// TestDeadDaemonIsDropped guards against lookups that return a daemon which terminated long
// ago: its last row is read after its last message arrived.
func TestDeadDaemonIsDropped(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	members := newMembers(Settings{Name: "self"}, 1)
	members.applyRows(at(0), []platform.Row{memberRow(t, "other", 7, 1)})
	members.recordState(at(2.9), reportedState("other", 7), true)
	if !isLive(members, at(3), "other") {
		t.Fatal("a daemon that has just sent a message is not live")
	}
	// The daemon terminates at 3.0 s. Its row, written at 2.8 s, is read at 6 s.
	members.applyRows(at(6), []platform.Row{memberRow(t, "other", 7, 2)})
	for _, seconds := range []float64{6, 8, 11, 20} {
		if isLive(members, at(seconds), "other") {
			t.Errorf("at %v s, a daemon that terminated at 3 s is live", seconds)
		}
	}
}

// TestUnheardDaemon guards against a new daemon that is never considered live because its
// messages do not arrive, and against one that is considered live long after it terminated.
func TestUnheardDaemon(t *testing.T) {
	start := time.Unix(1000, 0)
	members := newMembers(Settings{Name: "self"}, 1)
	for heartbeat := range 5 {
		now := start.Add(time.Duration(heartbeat) * minMemberInterval)
		members.applyRows(now, []platform.Row{memberRow(t, "other", 7, int64(heartbeat+1))})
		if !isLive(members, now.Add(minMemberInterval/2), "other") {
			t.Errorf("heartbeat %d: a daemon that writes its row is not live", heartbeat)
		}
	}
	if isLive(members, start.Add(5*minMemberInterval+5*time.Second), "other") {
		t.Error("a daemon that has stopped writing its row is live")
	}
}

// TestRestartedDaemon guards against a late message of an earlier process that replaces
// the current one.
func TestRestartedDaemon(t *testing.T) {
	start := time.Unix(1000, 0)
	members := newMembers(Settings{Name: "self"}, 1)
	members.applyRows(start, []platform.Row{memberRow(t, "other", 7, 1)})
	members.applyRows(start.Add(time.Second), []platform.Row{memberRow(t, "other", 8, 2)})
	members.recordState(start.Add(1500*time.Millisecond), reportedState("other", 7), true)
	for _, member := range members.live(start.Add(1500 * time.Millisecond)) {
		if member.Name == "other" && member.Boot != 8 {
			t.Error("a message of an earlier process replaces the current one")
		}
	}
}

// TestNewRunIsHeard guards against a restarted daemon that receives no load reports until its
// row is read, which takes 6 s in a large fleet.
func TestNewRunIsHeard(t *testing.T) {
	start := time.Unix(1000, 0)
	members := newMembers(Settings{Name: "self"}, 1)
	members.applyRows(start, []platform.Row{memberRow(t, "other", 7, 1)})
	now := start.Add(10 * time.Second)
	members.recordState(now, reportedState("other", 9), true)
	members.recordState(now, reportedState("new", 3), true)
	for _, name := range []string{"other", "new"} {
		address, _ := members.Address(name)
		if !isLive(members, now, name) || address != name+":2" {
			t.Errorf("%s has sent its state and is not live, or has the address %q", name, address)
		}
	}
}

// TestMemberRowsOfAnOlderCopy guards against rows of a restored store that count as a sign of life, or replace a daemon by its earlier process.
func TestMemberRowsOfAnOlderCopy(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	row := func(name string, boot uint64, heartbeat, version, era int64) platform.Row {
		row := memberRow(t, name, boot, heartbeat)
		row.Version, row.Era = version, era
		return row
	}
	members := newMembers(Settings{Name: "self"}, 1)
	members.applyRows(at(0), []platform.Row{row("dead", 7, 5, 50, 1), row("restarted", 8, 1, 51, 1)})
	members.recordState(at(9), reportedState("restarted", 8), true)
	members.applyRows(at(10), []platform.Row{row("dead", 7, 3, 30, 2), row("restarted", 7, 20, 31, 2)})
	if isLive(members, at(10), "dead") {
		t.Error("a daemon that was silent for 10s is live because of its row in an older copy")
	}
	for _, member := range members.live(at(10)) {
		if member.Name == "restarted" && member.Boot != 8 {
			t.Errorf("boot %d of the row in an older copy replaces that of the current process", member.Boot)
		}
	}
	members.applyRows(at(12), nil)
	members.applyRows(at(13), []platform.Row{row("dead", 7, 6, 40, 2), row("restarted", 8, 2, 41, 2)})
	for _, name := range []string{"dead", "restarted"} {
		if !isLive(members, at(13), name) {
			t.Errorf("%s has written its row after the restore and is not live", name)
		}
	}
}
