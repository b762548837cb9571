package lwtstandin

import (
	"sync"
	"time"
)

// WeightStore is a stand-in for the platform's weight store. It serves requests one
// after another, in order, at a limited rate.
type WeightStore struct {
	mutex sync.Mutex
	// rate is the throughput in blocks per second.
	rate float64
	// nextFree is the time at which all queued requests are complete.
	nextFree time.Time
}

// NewWeightStore returns a store with a throughput in blocks per second.
func NewWeightStore(rate float64) *WeightStore { return &WeightStore{rate: rate} }

// ScheduleDelivery queues a request for a number of blocks and returns the time at
// which it completes.
func (store *WeightStore) ScheduleDelivery(now time.Time, blocks int) time.Time {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.nextFree.Before(now) {
		store.nextFree = now
	}
	store.nextFree = store.nextFree.Add(time.Duration(float64(blocks) / store.rate * float64(time.Second)))
	return store.nextFree
}
