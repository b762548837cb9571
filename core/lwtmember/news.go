package lwtmember

import (
	"math/bits"
	"slices"
)

// spreadFactor times the logarithm of the number of members is the number of
// messages that carry a piece of news. At 3, a lost message or two does not
// keep the news from any member.
const spreadFactor = 3

// news is a member record to pass on.
type news struct {
	member Member
	sent   int
}

// queue holds the news to pass on, at most one record per address. It is
// immutable.
type queue []news

func (queue queue) with(member Member) queue {
	next := slices.DeleteFunc(slices.Clone(queue), func(item news) bool {
		return item.member.Address == member.Address
	})
	return append(next, news{member: member})
}

// take returns the least-sent records, at most most, and the queue after they
// were sent once more.
func (queue queue) take(most, members int) ([]Member, queue) {
	if len(queue) == 0 {
		return nil, queue
	}
	next := slices.Clone(queue)
	slices.SortStableFunc(next, func(a, b news) int { return a.sent - b.sent })
	taken := make([]Member, 0, min(most, len(next)))
	for i := range min(most, len(next)) {
		taken = append(taken, next[i].member)
		next[i].sent++
	}
	limit := spreadFactor * bits.Len(uint(members+1))
	return taken, slices.DeleteFunc(next, func(item news) bool { return item.sent >= limit })
}
