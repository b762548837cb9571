package lwtmember

import (
	"cmp"
	"slices"
	"time"
)

// record is a member and when its status was learned.
type record struct {
	Member
	since time.Time
}

// table holds the records of all members but the daemon itself, sorted by
// address. It is immutable.
type table struct {
	records []record
	sum     uint64
	live    int
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
	next.records = append(next.records, record{Member: member, since: now})
	rest := index
	if found {
		next = next.counted(table.records[index].Member, -1)
		rest++
	}
	next.records = append(next.records, table.records[rest:]...)
	return next.counted(member, 1)
}

func (table table) without(forget func(record) bool) table {
	next := table
	next.records = slices.DeleteFunc(slices.Clone(table.records), forget)
	next.sum, next.live = 0, 0
	for _, record := range next.records {
		next = next.counted(record.Member, 1)
	}
	return next
}

// shifted returns the table with every status learned later by a gap.
func (table table) shifted(gap time.Duration) table {
	records := slices.Clone(table.records)
	for i := range records {
		records[i].since = records[i].since.Add(gap)
	}
	table.records = records
	return table
}

func (table table) counted(member Member, sign int) table {
	table.sum ^= member.hash()
	if member.Live() {
		table.live += sign
	}
	return table
}

// page returns at most most members with addresses after a cursor, and the
// cursor of the next page, which is empty after the last one.
func (table table) page(after string, most int) (members []Member, next string) {
	index, found := table.find(after)
	if found {
		index++
	}
	for ; index < len(table.records) && len(members) < most; index++ {
		members = append(members, table.records[index].Member)
	}
	if index < len(table.records) {
		next = members[len(members)-1].Address
	}
	return members, next
}
