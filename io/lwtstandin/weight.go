package lwtstandin

import (
	"sync"
	"time"
)

// WeightStore is a stand-in for the platform's weight store. It delivers
// weights in the order of the requests, at a limited total rate.
type WeightStore struct {
	mutex sync.Mutex
	// rate is in blocks per second.
	rate float64
	free time.Time
}

// NewWeightStore returns a store that delivers a number of blocks per second.
func NewWeightStore(rate float64) *WeightStore { return &WeightStore{rate: rate} }

// ScheduleDelivery returns when a request made now for a number of blocks is served.
func (store *WeightStore) ScheduleDelivery(now time.Time, blocks int) time.Time {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.free.Before(now) {
		store.free = now
	}
	store.free = store.free.Add(time.Duration(float64(blocks) / store.rate * float64(time.Second)))
	return store.free
}
