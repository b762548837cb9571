package lwtclaim

import (
	"maps"
	"slices"
	"time"
)

// Submit gives a collector a batch of a daemon. Exactly one Reply follows,
// unless the collector dies.
type Submit struct {
	// From names the daemon; Batch is the daemon's number of the batch.
	From   string
	Batch  uint64
	Writes []Write
}

// Reply tells a daemon what became of its batch: Committed, Conflicted or Lost
// with the daemon's own batch number.
type Reply struct {
	To  string
	Msg Msg
}

func (Submit) isMsg() {}
func (Reply) isCmd()  {}

// Collector merges the batches of many daemons into few transactions. Claims
// stay correct whatever it does, because only the table decides: a daemon that
// gets no reply treats its batch as lost and sends it again by any way.
type Collector struct {
	options Options
	queue   []Submit
	batches map[uint64][]Submit
	last    uint64
	flushAt time.Time
	wakeAt  time.Time
}

// NewCollector returns a collector that holds nothing.
func NewCollector(options Options) Collector {
	return Collector{options: options, batches: map[uint64][]Submit{}}
}

// Update returns the collector after a message (Submit, Committed, Conflicted,
// Lost or Tick), and the commands to carry out (Commit, Reply or Wake).
func (collector Collector) Update(now time.Time, msg Msg) (Collector, []Cmd) {
	collector.batches = maps.Clone(collector.batches)
	collector.queue = slices.Clone(collector.queue)
	var cmds []Cmd
	switch msg := msg.(type) {
	case Submit:
		if len(collector.queue) == 0 {
			collector.flushAt = now.Add(collector.options.BatchWindow)
		}
		collector.queue = append(collector.queue, msg)
	case Committed:
		cmds = collector.reply(msg.Batch, func(batch uint64) Msg {
			return Committed{Batch: batch, Version: msg.Version}
		})
	case CommitUnknown:
		cmds = collector.reply(msg.Batch, func(batch uint64) Msg { return CommitUnknown{Batch: batch} })
	case Conflicted:
		collector, cmds = collector.conflicted(now, msg)
	case Tick:
		collector.wakeAt = time.Time{}
	}
	return collector.flush(now, cmds)
}

// reply ends a batch in the same way for all its daemons.
func (collector Collector) reply(batch uint64, answer func(batch uint64) Msg) []Cmd {
	cmds := make([]Cmd, 0, len(collector.batches[batch]))
	for _, submit := range collector.batches[batch] {
		cmds = append(cmds, Reply{To: submit.From, Msg: answer(submit.Batch)})
	}
	delete(collector.batches, batch)
	return cmds
}

// conflicted tells the daemons whose rows stood in the way, and sends the
// others' writes again.
func (collector Collector) conflicted(now time.Time, msg Conflicted) (Collector, []Cmd) {
	rows := make(map[string]StoredRow, len(msg.Rows))
	for _, row := range msg.Rows {
		rows[row.Key] = row
	}
	var cmds []Cmd
	var again []Submit
	for _, submit := range collector.batches[msg.Batch] {
		held := Conflicted{Batch: submit.Batch, Rows: make([]StoredRow, 0, len(submit.Writes))}
		conflict := false
		for _, write := range submit.Writes {
			held.Rows = append(held.Rows, rows[write.Key])
			conflict = conflict || rows[write.Key].Version != write.Version
		}
		if conflict {
			cmds = append(cmds, Reply{To: submit.From, Msg: held})
		} else {
			again = append(again, submit)
		}
	}
	delete(collector.batches, msg.Batch)
	if len(again) > 0 {
		collector.queue, collector.flushAt = append(again, collector.queue...), now
	}
	return collector, cmds
}

// flush sends the transactions that are due.
func (collector Collector) flush(now time.Time, cmds []Cmd) (Collector, []Cmd) {
	for len(collector.queue) > 0 && len(collector.batches) < collector.options.MaxInFlight {
		if collector.queued() < collector.options.BatchSize && now.Before(collector.flushAt) {
			if collector.wakeAt.IsZero() {
				collector.wakeAt = collector.flushAt
				cmds = append(cmds, ScheduleTick{At: collector.flushAt})
			}
			break
		}
		var commit Commit
		collector, commit = collector.send(now)
		cmds = append(cmds, commit)
	}
	return collector, cmds
}

func (collector Collector) queued() int {
	count := 0
	for _, submit := range collector.queue {
		count += len(submit.Writes)
	}
	return count
}

// send merges queued batches up to BatchSize writes. Two batches that write
// one row go into different transactions.
func (collector Collector) send(now time.Time) (Collector, Commit) {
	collector.last++
	commit := Commit{Batch: collector.last}
	keys := map[string]bool{}
	var sent, left []Submit
	for _, submit := range collector.queue {
		full := len(sent) > 0 && len(commit.Writes)+len(submit.Writes) > collector.options.BatchSize
		if full || slices.ContainsFunc(submit.Writes, func(write Write) bool { return keys[write.Key] }) {
			left = append(left, submit)
			continue
		}
		for _, write := range submit.Writes {
			keys[write.Key] = true
		}
		commit.Writes = append(commit.Writes, submit.Writes...)
		sent = append(sent, submit)
	}
	collector.queue, collector.batches[collector.last] = left, sent
	collector.flushAt = now.Add(collector.options.BatchWindow)
	return collector, commit
}
