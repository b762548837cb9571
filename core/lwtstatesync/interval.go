package lwtstatesync

import "time"

// Bounds of the time between two reads of the head by one daemon.
const (
	minInterval = 500 * time.Millisecond
	maxInterval = 10 * time.Second
	// fleetReads is the number of reads per second of all daemons together.
	fleetReads = 40
	// jitter is the share by which an interval is shortened or lengthened, so
	// that daemons that start together do not read together.
	jitter = 0.25
)

// PollInterval returns the mean time between two reads of the head by one of a
// number of daemons. Up to 400 daemons together read at most 40 times a second.
func PollInterval(members int) time.Duration {
	return min(max(time.Duration(members)*time.Second/fleetReads, minInterval), maxInterval)
}

// jittered varies an interval by a random number in [0, 1).
func jittered(interval time.Duration, random float64) time.Duration {
	return time.Duration(float64(interval) * (1 - jitter + 2*jitter*random))
}
