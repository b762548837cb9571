package lwtquarantine

import (
	"maps"
	"slices"
	"time"
)

// maxLoggedCrashes bounds the crashes in a crashLog.
const maxLoggedCrashes = 512

// crashLog holds the latest crashes with what daemons have reported for each. It numbers the
// crashes; the numbers are known to this daemon only.
type crashLog struct {
	crashes map[int]*loggedCrash
	lastID  int
}

type loggedCrash struct {
	service, serverID string
	at                time.Time
	// suspects holds all keys that may have caused the crash.
	suspects map[Key]bool
	// requests holds, by segment, the suspected requests with it.
	requests map[Key][]Key
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
		service: report.Service, serverID: report.ServerID, at: report.At,
		suspects: map[Key]bool{}, requests: map[Key][]Key{},
	}
	return crashLog.lastID
}

// evict removes the crashes that no longer count, and the first one if there are too many.
func (crashLog *crashLog) evict(now time.Time) {
	maps.DeleteFunc(crashLog.crashes, func(_ int, logged *loggedCrash) bool { return now.Sub(logged.at) >= requestCrashTTL })
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

// addRequest notes for the segments of a suspected request that it has them.
func (crashLog *crashLog) addRequest(id int, request Key, segments []string) {
	requests := crashLog.crashes[id].requests
	for _, segment := range segments {
		key := Key{Service: request.Service, ID: segment}
		if !slices.Contains(requests[key], request) {
			requests[key] = append(requests[key], request)
		}
	}
}

// suspects returns the suspects of a crash, none if it is no longer logged.
func (crashLog *crashLog) suspects(id int) []Key {
	logged, found := crashLog.crashes[id]
	if !found {
		return nil
	}
	return slices.Collect(maps.Keys(logged.suspects))
}

// shared returns the number of crashes that each of two keys may have caused.
func (crashLog *crashLog) shared(a, b Key) (count int) {
	for _, logged := range crashLog.crashes {
		if logged.suspects[a] && logged.suspects[b] {
			count++
		}
	}
	return count
}

// requestsWith returns the suspected requests of a crash that have a segment, none if they were not
// reported or the crash is no longer logged.
func (crashLog *crashLog) requestsWith(id int, segment Key) []Key {
	logged, found := crashLog.crashes[id]
	if !found {
		return nil
	}
	return logged.requests[segment]
}
