package lwtgateway

import (
	"encoding/json"
	"testing"
	"time"

	"lacewingtide/platform"
)

func memberRow(t *testing.T, name string, boot uint64, version int64) platform.Row {
	t.Helper()
	value, err := json.Marshal(member{Name: name, Boot: boot, EntryAddress: name + ":1", PeerAddress: name + ":2", Ready: true, HeartbeatSeq: version})
	if err != nil {
		t.Fatal(err)
	}
	return platform.Row{Key: name, Value: value, Version: version}
}

// told returns the state that a run of a daemon tells.
func told(name string, boot uint64) daemonState {
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

// TestDeadDaemonIsDropped guards against lookups that name a daemon which has
// long been off: its last row is read after its last message came.
func TestDeadDaemonIsDropped(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	members := newMembers(Settings{Name: "self"}, 1)
	members.observe(at(0), []platform.Row{memberRow(t, "other", 7, 1)})
	members.heardFrom(at(2.9), told("other", 7), true)
	if !isLive(members, at(3), "other") {
		t.Fatal("a daemon that was just heard is not live")
	}
	// It goes off at 3.0 s. Its row of 2.8 s is read at 6 s.
	members.observe(at(6), []platform.Row{memberRow(t, "other", 7, 2)})
	for _, seconds := range []float64{6, 8, 11, 20} {
		if isLive(members, at(seconds), "other") {
			t.Errorf("at %v s, a daemon that went off at 3 s is live", seconds)
		}
	}
}

// TestUnheardDaemon guards against a new daemon that is never named because its
// messages do not come, and against one that is named for long after its end.
func TestUnheardDaemon(t *testing.T) {
	start := time.Unix(1000, 0)
	members := newMembers(Settings{Name: "self"}, 1)
	for beat := range 5 {
		now := start.Add(time.Duration(beat) * memberInterval)
		members.observe(now, []platform.Row{memberRow(t, "other", 7, int64(beat+1))})
		if !isLive(members, now.Add(memberInterval/2), "other") {
			t.Errorf("beat %d: a daemon that writes its row is not live", beat)
		}
	}
	if isLive(members, start.Add(5*memberInterval+5*time.Second), "other") {
		t.Error("a daemon that has stopped writing is live")
	}
}

// TestRestartedDaemon guards against a late message of an earlier run that
// replaces the new one.
func TestRestartedDaemon(t *testing.T) {
	start := time.Unix(1000, 0)
	members := newMembers(Settings{Name: "self"}, 1)
	members.observe(start, []platform.Row{memberRow(t, "other", 7, 1)})
	members.observe(start.Add(time.Second), []platform.Row{memberRow(t, "other", 8, 2)})
	members.heardFrom(start.Add(1500*time.Millisecond), told("other", 7), true)
	for _, member := range members.live(start.Add(1500 * time.Millisecond)) {
		if member.Name == "other" && member.Boot != 8 {
			t.Error("a message of an earlier run replaces the new one")
		}
	}
}

// TestNewRunIsHeard guards against a daemon that is started again and gets no
// loads of the others until its row is read, which takes 6 s in a large fleet.
func TestNewRunIsHeard(t *testing.T) {
	start := time.Unix(1000, 0)
	members := newMembers(Settings{Name: "self"}, 1)
	members.observe(start, []platform.Row{memberRow(t, "other", 7, 1)})
	now := start.Add(10 * time.Second)
	members.heardFrom(now, told("other", 9), true)
	members.heardFrom(now, told("new", 3), true)
	for _, name := range []string{"other", "new"} {
		address, _ := members.Address(name)
		if !isLive(members, now, name) || address != name+":2" {
			t.Errorf("%s is heard and not live, or has the address %q", name, address)
		}
	}
}
