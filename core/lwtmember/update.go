package lwtmember

import (
	"math/bits"
	"slices"
)

// spreadFactor times the logarithm of the number of members is the number of
// messages that carry an update. At 3, all members learn of it even if a
// message or two are lost.
const spreadFactor = 3

// update is a member record to pass on.
type update struct {
	member Member
	sent   int
}

// queue holds the updates to pass on, at most one record per address. It is
// immutable.
type queue []update

func (queue queue) with(member Member) queue {
	next := slices.DeleteFunc(slices.Clone(queue), func(item update) bool {
		return item.member.Address == member.Address
	})
	return append(next, update{member: member})
}

// take returns the least-sent records, at most most, and the queue after they
// were sent once more.
func (queue queue) take(most, members int) ([]Member, queue) {
	if len(queue) == 0 {
		return nil, queue
	}
	next := slices.Clone(queue)
	slices.SortStableFunc(next, func(a, b update) int { return a.sent - b.sent })
	taken := make([]Member, 0, min(most, len(next)))
	for i := range min(most, len(next)) {
		taken = append(taken, next[i].member)
		next[i].sent++
	}
	limit := spreadFactor * bits.Len(uint(members+1))
	return taken, slices.DeleteFunc(next, func(item update) bool { return item.sent >= limit })
}
