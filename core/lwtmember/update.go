package lwtmember

import (
	"math/bits"
	"slices"
)

// retransmitFactor times the binary logarithm of the number of members is the
// number of messages in which a daemon sends an update. With 3, all members
// receive the update even if one or two messages are lost.
const retransmitFactor = 3

// update is a member record to disseminate and the number of messages that have
// carried it.
type update struct {
	member    Member
	sendCount int
}

// queue holds the updates to disseminate, at most one record per address. It is
// immutable.
type queue []update

func (queue queue) with(member Member) queue {
	next := slices.DeleteFunc(slices.Clone(queue), func(item update) bool {
		return item.member.Address == member.Address
	})
	return append(next, update{member: member})
}

// take returns up to limit of the least-sent records, and the queue with their
// send counts incremented. Updates that were sent often enough for the given
// number of members are dropped from it.
func (queue queue) take(limit, members int) ([]Member, queue) {
	if len(queue) == 0 {
		return nil, queue
	}
	next := slices.Clone(queue)
	slices.SortStableFunc(next, func(a, b update) int { return a.sendCount - b.sendCount })
	taken := make([]Member, 0, min(limit, len(next)))
	for i := range min(limit, len(next)) {
		taken = append(taken, next[i].member)
		next[i].sendCount++
	}
	maxSends := retransmitFactor * bits.Len(uint(members+1))
	return taken, slices.DeleteFunc(next, func(item update) bool { return item.sendCount >= maxSends })
}
