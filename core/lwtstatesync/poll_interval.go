package lwtstatesync

import "time"

// Limits of polling the head.
const (
	minPollInterval = 500 * time.Millisecond
	maxPollInterval = 10 * time.Second
	// maxReadsPerSecond bounds the reads per second of all daemons together, for up
	// to 400 daemons. Beyond that maxPollInterval takes precedence.
	maxReadsPerSecond = 40
	// jitter is the maximum fraction by which an interval is shortened or
	// lengthened, so that daemons that start together don't poll together.
	jitter = 0.25
)

// PollInterval returns the mean time between two reads of the head by one daemon
// of a fleet with the given number of daemons. Up to 400 daemons together read at
// most 40 times per second.
func PollInterval(memberCount int) time.Duration {
	return min(max(time.Duration(memberCount)*time.Second/maxReadsPerSecond, minPollInterval), maxPollInterval)
}

// jittered applies jitter to an interval; random is uniform in [0, 1).
func jittered(interval time.Duration, random float64) time.Duration {
	return time.Duration(float64(interval) * (1 - jitter + 2*jitter*random))
}
