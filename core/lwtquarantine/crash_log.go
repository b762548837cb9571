package lwtquarantine

import (
	"maps"
	"slices"
	"time"
)

// maxLoggedCrashes bounds the crashes in a crashLog.
const maxLoggedCrashes = 512

// crashLog holds the latest crashes with the segments that daemons have reported for each. It
// numbers the crashes; the numbers are known to this daemon only.
type crashLog struct {
	crashes map[int]*loggedCrash
	lastID  int
}

type loggedCrash struct {
	service, serverID string
	at                time.Time
	suspects          map[Key]bool
}

func newCrashLog() crashLog { return crashLog{crashes: map[int]*loggedCrash{}} }

// find returns the number of a crash, which is logged if it has not been reported before.
func (crashLog *crashLog) find(now time.Time, report Crash) (id int) {
	for id, logged := range crashLog.crashes {
		if logged.serverID == report.ServerID && logged.service == report.Service &&
			logged.at.Sub(report.At).Abs() < crashWindow {
			return id
		}
	}
	crashLog.evict(now)
	crashLog.lastID++
	crashLog.crashes[crashLog.lastID] = &loggedCrash{
		service: report.Service, serverID: report.ServerID, at: report.At, suspects: map[Key]bool{},
	}
	return crashLog.lastID
}

// evict removes the crashes that no longer count, and the first one if there are too many.
func (crashLog *crashLog) evict(now time.Time) {
	maps.DeleteFunc(crashLog.crashes, func(_ int, logged *loggedCrash) bool { return now.Sub(logged.at) >= crashTTL })
	if len(crashLog.crashes) >= maxLoggedCrashes {
		delete(crashLog.crashes, slices.Min(slices.Collect(maps.Keys(crashLog.crashes))))
	}
}

// add adds a suspect to a crash and reports whether it is new.
func (crashLog *crashLog) add(id int, key Key) bool {
	suspects := crashLog.crashes[id].suspects
	if suspects[key] {
		return false
	}
	suspects[key] = true
	return true
}

// suspects returns the suspects of a crash, none if it is no longer logged.
func (crashLog *crashLog) suspects(id int) []Key {
	logged, found := crashLog.crashes[id]
	if !found {
		return nil
	}
	return slices.Collect(maps.Keys(logged.suspects))
}
