package lwtquarantine

import (
	"slices"
	"strings"
	"time"
)

// segmentRecord is what a daemon knows of a segment.
type segmentRecord struct {
	// answered is the number of answered requests with the segment, answeredElsewhere the number
	// that other daemons have reported with crashes.
	answered, answeredElsewhere int
	// lastAnsweredSentAt is when the last of the answered requests was sent.
	lastAnsweredSentAt time.Time
	// crashes holds the crashes that the segment may have caused, oldest first. Each answered
	// request removes one, as in a CUSUM test: a sound segment is answered far more often than it
	// is involved in a crash.
	crashes []countedCrash
}

// countedCrash is a crash that counts for a segment.
type countedCrash struct {
	// id is that of the crash in the crashLog.
	id int
	at time.Time
}

func (record *segmentRecord) answer(sentAt time.Time) {
	record.answered++
	if sentAt.After(record.lastAnsweredSentAt) {
		record.lastAnsweredSentAt = sentAt
	}
	if len(record.crashes) > 0 {
		record.crashes = slices.Delete(record.crashes, 0, 1)
	}
}

// allAnswered returns the number of answered requests that are known of at any daemon.
func (record *segmentRecord) allAnswered() int { return record.answered + record.answeredElsewhere }

func (record *segmentRecord) answeredSince(moment time.Time) bool {
	return record.lastAnsweredSentAt.After(moment)
}

// crash counts a crash, unless it is counted already or came together with another one.
func (record *segmentRecord) crash(now time.Time, id int, at time.Time) {
	record.dropOldCrashes(now)
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

func (record *segmentRecord) dropOldCrashes(now time.Time) {
	record.crashes = slices.DeleteFunc(record.crashes, func(counted countedCrash) bool {
		return now.Sub(counted.at) >= crashTTL
	})
}

// maxSegments is the number of segments in a generation of a segmentCache.
const maxSegments = 4096

// segmentCache holds the records of the segments that were used last, in two generations: when the
// newer one is full, it becomes the older one, and the records of that are dropped.
type segmentCache struct {
	newer, older map[Key]*segmentRecord
}

func newSegmentCache() segmentCache {
	return segmentCache{newer: map[Key]*segmentRecord{}, older: map[Key]*segmentRecord{}}
}

// record returns the record of a segment, which is created if there is none.
func (cache *segmentCache) record(key Key) *segmentRecord {
	if record, found := cache.newer[key]; found {
		return record
	}
	if len(cache.newer) >= maxSegments {
		cache.newer, cache.older = map[Key]*segmentRecord{}, cache.newer
	}
	record, found := cache.older[key]
	if !found {
		record = &segmentRecord{}
	}
	// The id is a part of a request's header, which would be kept with it.
	key.Segment = strings.Clone(key.Segment)
	cache.newer[key] = record
	return record
}
