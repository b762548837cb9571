package lwtsendlimit

import "time"

const (
	// burstTime is the time at its rate for which a bucket saves up requests. A bucket with a
	// lower rate than one request in this time holds one request.
	burstTime = time.Second
	// initialPause is the time at its rate that a new bucket owes: a server that names a limit
	// is still busy with the requests that it was sent before.
	initialPause = time.Second
)

// bucket is a token bucket with one token per request. It is immutable.
type bucket struct {
	tokens, perSecond float64
	updatedAt         time.Time
}

func newBucket(now time.Time, perSecond float64) bucket {
	return bucket{tokens: -perSecond * initialPause.Seconds(), perSecond: perSecond, updatedAt: now}
}

// at returns the bucket with the tokens that have accrued until now.
func (bucket bucket) at(now time.Time) bucket {
	capacity := max(bucket.perSecond*burstTime.Seconds(), 1)
	elapsed := max(now.Sub(bucket.updatedAt), 0)
	bucket.tokens = min(bucket.tokens+bucket.perSecond*elapsed.Seconds(), capacity)
	bucket.updatedAt = now
	return bucket
}

// withRate returns the bucket with another rate from now on.
func (bucket bucket) withRate(now time.Time, perSecond float64) bucket {
	bucket = bucket.at(now)
	bucket.perSecond = perSecond
	return bucket
}

func (bucket bucket) withSpent() bucket {
	bucket.tokens--
	return bucket
}

func (bucket bucket) available() bool { return bucket.perSecond > 0 && bucket.tokens >= 1 }

// nextAt returns when a token is available, or zero if none accrue.
func (bucket bucket) nextAt() time.Time {
	if bucket.perSecond <= 0 {
		return time.Time{}
	}
	return bucket.updatedAt.Add(time.Duration(max(1-bucket.tokens, 0) / bucket.perSecond * float64(time.Second)))
}
