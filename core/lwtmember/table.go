package lwtmember

import (
	"cmp"
	"slices"
	"time"
)

// record is a member and the time at which its status was received.
type record struct {
	Member
	statusSince time.Time
}

// table holds the records of all members except the daemon itself, sorted by
// address. It is immutable.
type table struct {
	records   []record
	hash      uint64
	liveCount int
}

func (table table) find(address string) (int, bool) {
	return slices.BinarySearchFunc(table.records, address, func(record record, address string) int {
		return cmp.Compare(record.Address, address)
	})
}

func (table table) get(address string) (record, bool) {
	index, found := table.find(address)
	if !found {
		return record{}, false
	}
	return table.records[index], true
}

func (table table) with(now time.Time, member Member) table {
	index, found := table.find(member.Address)
	next := table
	next.records = make([]record, 0, len(table.records)+1)
	next.records = append(next.records, table.records[:index]...)
	next.records = append(next.records, record{Member: member, statusSince: now})
	tail := index
	if found {
		next = next.counted(table.records[index].Member, -1)
		tail++
	}
	next.records = append(next.records, table.records[tail:]...)
	return next.counted(member, 1)
}

func (table table) without(remove func(record) bool) table {
	next := table
	next.records = slices.DeleteFunc(slices.Clone(table.records), remove)
	next.hash, next.liveCount = 0, 0
	for _, record := range next.records {
		next = next.counted(record.Member, 1)
	}
	return next
}

// withStatusTimesShifted returns the table with all status times moved later by
// the gap.
func (table table) withStatusTimesShifted(gap time.Duration) table {
	records := slices.Clone(table.records)
	for i := range records {
		records[i].statusSince = records[i].statusSince.Add(gap)
	}
	table.records = records
	return table
}

// counted returns the table with the hash and the live count updated for a member
// that was added (sign 1) or removed (sign -1).
func (table table) counted(member Member, sign int) table {
	table.hash ^= member.hash()
	if member.Live() {
		table.liveCount += sign
	}
	return table
}

// page returns up to limit members with addresses after the cursor, and the
// cursor of the next page, which is empty after the last page.
func (table table) page(after string, limit int) (members []Member, next string) {
	index, found := table.find(after)
	if found {
		index++
	}
	for ; index < len(table.records) && len(members) < limit; index++ {
		members = append(members, table.records[index].Member)
	}
	if index < len(table.records) {
		next = members[len(members)-1].Address
	}
	return members, next
}
