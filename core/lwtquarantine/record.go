package lwtquarantine

import (
	"slices"
	"strings"
	"time"
)

// record is what a daemon knows of a key.
type record struct {
	// answered is the number of answered requests with the key, answeredElsewhere the number that
	// other daemons have reported with crashes.
	answered, answeredElsewhere int
	// lastAnsweredSentAt is when the last of the answered requests was sent.
	lastAnsweredSentAt time.Time
	// crashes holds the crashes that the key may have caused, oldest first. Each answered request
	// removes one, as in a CUSUM test: what is sound is answered far more often than it is
	// involved in a crash.
	crashes []countedCrash
}

// countedCrash is a crash that counts for a key.
type countedCrash struct {
	// id is that of the crash in the crashLog.
	id int
	at time.Time
}

func (record *record) answer(sentAt time.Time) {
	record.answered++
	if sentAt.After(record.lastAnsweredSentAt) {
		record.lastAnsweredSentAt = sentAt
	}
	if len(record.crashes) > 0 {
		record.crashes = slices.Delete(record.crashes, 0, 1)
	}
}

// allAnswered returns the number of answered requests that are known of at any daemon.
func (record *record) allAnswered() int { return record.answered + record.answeredElsewhere }

func (record *record) answeredSince(moment time.Time) bool {
	return record.lastAnsweredSentAt.After(moment)
}

// crash counts a crash, unless it is counted already or came together with another one. Crashes
// older than ttl are dropped.
func (record *record) crash(now time.Time, id int, at time.Time, ttl time.Duration) {
	record.crashes = slices.DeleteFunc(record.crashes, func(counted countedCrash) bool { return now.Sub(counted.at) >= ttl })
	for _, counted := range record.crashes {
		if counted.id == id || at.Sub(counted.at).Abs() < crashSeparation {
			return
		}
	}
	record.crashes = append(record.crashes, countedCrash{id: id, at: at})
	slices.SortFunc(record.crashes, func(a, b countedCrash) int { return a.at.Compare(b.at) })
	if len(record.crashes) > maxCrashes {
		record.crashes = slices.Delete(record.crashes, 0, len(record.crashes)-maxCrashes)
	}
}

// recordCache holds the records of the keys that were used last, in two generations: when the newer
// one is full, it becomes the older one, and the records of that are dropped.
type recordCache struct {
	newer, older map[Key]*record
}

// maxRecords is the number of records in a generation of a recordCache.
const maxRecords = 4096

func newRecordCache() recordCache {
	return recordCache{newer: map[Key]*record{}, older: map[Key]*record{}}
}

// find returns the record of a key, or nil.
func (cache *recordCache) find(key Key) *record {
	if record, found := cache.newer[key]; found {
		return record
	}
	return cache.older[key]
}

// record returns the record of a key, which is created if there is none.
func (cache *recordCache) record(key Key) *record {
	if record, found := cache.newer[key]; found {
		return record
	}
	if len(cache.newer) >= maxRecords {
		cache.newer, cache.older = map[Key]*record{}, cache.newer
	}
	found := cache.older[key]
	if found == nil {
		found = &record{}
	}
	// The id is a part of a request's header, which would be kept with it.
	key.ID = strings.Clone(key.ID)
	cache.newer[key] = found
	return found
}
