package lwtclaim

import (
	"maps"
	"slices"
	"time"
)

// Submit passes a daemon's batch to a Collector. Exactly one Reply follows, unless
// the collector crashes.
type Submit struct {
	// From is the name of the daemon. Batch is the daemon's own number of the
	// batch.
	From   string
	Batch  uint64
	Writes []Write
}

// Reply sends a daemon the result of its batch: Committed, Conflicted or
// CommitUnknown with the daemon's own batch number.
type Reply struct {
	To  string
	Msg Msg
}

func (Submit) isMsg() {}
func (Reply) isCmd()  {}

// Collector merges the batches of many daemons into few transactions. It is not
// needed for correctness, because only the table decides who holds a claim: a
// daemon that gets no reply treats the result as unknown and sends the writes
// again, through any collector or directly.
type Collector struct {
	options   Options
	queue     []Submit
	batches   map[uint64][]Submit
	lastBatch uint64
	flushAt   time.Time
	tickAt    time.Time
}

// NewCollector returns a collector without batches.
func NewCollector(options Options) Collector {
	return Collector{options: options, batches: map[uint64][]Submit{}}
}

// Update returns the collector after a message (Submit, Committed, Conflicted,
// CommitUnknown or Tick), and the commands to execute (Commit, Reply or
// ScheduleTick).
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
		collector, cmds = collector.handleConflicted(now, msg)
	case Tick:
		collector.tickAt = time.Time{}
	}
	return collector.flush(now, cmds)
}

// reply removes a batch and sends the same kind of result to all its daemons.
func (collector Collector) reply(batch uint64, result func(batch uint64) Msg) []Cmd {
	cmds := make([]Cmd, 0, len(collector.batches[batch]))
	for _, submit := range collector.batches[batch] {
		cmds = append(cmds, Reply{To: submit.From, Msg: result(submit.Batch)})
	}
	delete(collector.batches, batch)
	return cmds
}

// handleConflicted replies to the daemons whose own writes conflicted, and queues the
// writes of the others again.
func (collector Collector) handleConflicted(now time.Time, msg Conflicted) (Collector, []Cmd) {
	rows := make(map[string]StoredRow, len(msg.Rows))
	for _, row := range msg.Rows {
		rows[row.Key] = row
	}
	var cmds []Cmd
	var retry []Submit
	for _, submit := range collector.batches[msg.Batch] {
		conflicted := Conflicted{Batch: submit.Batch, Rows: make([]StoredRow, 0, len(submit.Writes))}
		conflict := false
		for _, write := range submit.Writes {
			conflicted.Rows = append(conflicted.Rows, rows[write.Key])
			conflict = conflict || rows[write.Key].Version != write.Version
		}
		if conflict {
			cmds = append(cmds, Reply{To: submit.From, Msg: conflicted})
		} else {
			retry = append(retry, submit)
		}
	}
	delete(collector.batches, msg.Batch)
	if len(retry) > 0 {
		collector.queue, collector.flushAt = append(retry, collector.queue...), now
	}
	return collector, cmds
}

// flush sends all transactions that are due.
func (collector Collector) flush(now time.Time, cmds []Cmd) (Collector, []Cmd) {
	for len(collector.queue) > 0 && len(collector.batches) < collector.options.MaxInFlight {
		if collector.queuedWrites() < collector.options.BatchSize && now.Before(collector.flushAt) {
			if collector.tickAt.IsZero() {
				collector.tickAt = collector.flushAt
				cmds = append(cmds, ScheduleTick{At: collector.flushAt})
			}
			break
		}
		var commit Commit
		collector, commit = collector.sendBatch(now)
		cmds = append(cmds, commit)
	}
	return collector, cmds
}

func (collector Collector) queuedWrites() int {
	count := 0
	for _, submit := range collector.queue {
		count += len(submit.Writes)
	}
	return count
}

// sendBatch merges queued batches into a transaction of up to BatchSize writes.
// Two batches that write the same row go into different transactions.
func (collector Collector) sendBatch(now time.Time) (Collector, Commit) {
	collector.lastBatch++
	commit := Commit{Batch: collector.lastBatch}
	keys := map[string]bool{}
	var sent, remaining []Submit
	for _, submit := range collector.queue {
		full := len(sent) > 0 && len(commit.Writes)+len(submit.Writes) > collector.options.BatchSize
		if full || slices.ContainsFunc(submit.Writes, func(write Write) bool { return keys[write.Key] }) {
			remaining = append(remaining, submit)
			continue
		}
		for _, write := range submit.Writes {
			keys[write.Key] = true
		}
		commit.Writes = append(commit.Writes, submit.Writes...)
		sent = append(sent, submit)
	}
	collector.queue, collector.batches[collector.lastBatch] = remaining, sent
	collector.flushAt = now.Add(collector.options.BatchWindow)
	return collector, commit
}
