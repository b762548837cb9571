package lwtservingsim

import (
	"container/heap"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtscorerouter"
)

// Limits of an engine model. The speeds are those of
// lwtscorerouter.DefaultCostModel; they were set before the first measurement and are
// not adjusted to results.
const (
	maxRunning   = 256
	memoryBlocks = 256
	// cacheBlocks is the memory for the prefix cache, in blocks.
	cacheBlocks = 32
)

// job is one request in one run.
type job struct {
	arrival *Arrival
	daemon  int
	request lwtscorerouter.Request
	choice  lwtscorerouter.Choice
	// promptLeft are the prompt tokens still to prefill.
	promptLeft int
	priority   int
	engine     *engine
	decodeAt   *engine
	sentAt     int64
	firstAt    int64
	doneAt     int64
	attempts   int
	rejected   bool
	cut        bool
	abandoned  bool
	starts     int
}

// engine models one engine with continuous batching and chunked prefill: a
// step prefills up to a chunk of the waiting prompts, by priority, and decodes
// a token of each running stream.
type engine struct {
	name        string
	role        lwtdeclaredstate.Role
	rates       lwtscorerouter.CostModel
	incarnation int64
	down        bool
	changing    bool
	declared    lwtdeclaredstate.Engine
	// target is the role that the planner wants; empty when none.
	target lwtdeclaredstate.Role
	// next is the end of the step in progress; 0 when none.
	next     int64
	steps    int64
	stepTime time.Duration
	queues   [lwtscorerouter.NumPriorities][]*job
	waiting  [lwtscorerouter.NumPriorities]int // prompt tokens in queues
	// inbound are the requests whose KV cache will be moved here.
	inbound int
	// fresh are the streams whose first token the current step makes.
	fresh   []*job
	filled  []*job // prompts that the current step completes
	ready   []*job // prefilled, waiting for memory or a stream slot
	running streamHeap
	memory  int // tokens reserved by running streams
	cache   prefixCache
	report  lwtscorerouter.LoadReport
}

func newEngine(declared lwtdeclaredstate.Engine, rates lwtscorerouter.CostModel) *engine {
	return &engine{
		name: declared.Name, role: declared.Role, declared: declared, rates: rates,
		incarnation: 1, cache: newPrefixCache(cacheBlocks),
	}
}

// enqueue adds a request. It reports false when the engine does not run it.
func (engine *engine) enqueue(j *job) bool {
	if engine.down || engine.changing {
		return false
	}
	saved := engine.cache.lookup(j.arrival.PrefixHashes)
	j.promptLeft = max(1, j.arrival.PromptTokens-saved*lwtscorerouter.BlockTokens)
	engine.queues[j.priority] = append(engine.queues[j.priority], j)
	engine.waiting[j.priority] += j.promptLeft
	return true
}

// begin starts a step and returns its duration; 0 when there is no work.
func (engine *engine) begin(now int64) time.Duration {
	engine.admitReady()
	chunk := engine.prefill(now)
	if chunk == 0 && len(engine.running) == 0 {
		return 0
	}
	return engine.rates.StepTime(len(engine.running), chunk)
}

func (engine *engine) prefill(now int64) int {
	left := engine.rates.PrefillChunk
	switch engine.role {
	case lwtdeclaredstate.RoleDecode:
		return 0
	case lwtdeclaredstate.RoleMixed:
		left = engine.rates.MixedChunk
	}
	total := 0
	for priority := lwtscorerouter.NumPriorities - 1; priority >= 0 && left > 0; priority-- {
		for len(engine.queues[priority]) > 0 && left > 0 {
			head := engine.queues[priority][0]
			if now > head.arrival.At+int64(head.arrival.whole) {
				head.abandoned = true
				if head.decodeAt != engine {
					head.decodeAt.inbound--
				}
				engine.waiting[priority] -= head.promptLeft
				engine.queues[priority] = engine.queues[priority][1:]
				continue
			}
			tokens := min(left, head.promptLeft)
			head.promptLeft -= tokens
			engine.waiting[priority] -= tokens
			left -= tokens
			total += tokens
			if head.promptLeft == 0 {
				engine.queues[priority] = engine.queues[priority][1:]
				engine.filled = append(engine.filled, head)
			}
		}
	}
	return total
}

// admitReady moves prefilled requests into the batch as far as slots and
// memory allow.
func (engine *engine) admitReady() {
	for len(engine.ready) > 0 {
		head := engine.ready[0]
		tokens := head.arrival.PromptTokens + head.arrival.OutputTokens
		if len(engine.running) >= maxRunning || engine.memory+tokens > memoryBlocks*lwtscorerouter.BlockTokens {
			return
		}
		engine.ready = engine.ready[1:]
		engine.memory += tokens
		if head.firstAt == 0 {
			engine.fresh = append(engine.fresh, head)
		}
		heap.Push(&engine.running, stream{head, engine.steps + int64(head.arrival.OutputTokens)})
	}
}

// finished removes the streams that end with the current step.
func (engine *engine) finished() []*job {
	var done []*job
	for len(engine.running) > 0 && engine.running[0].lastStep <= engine.steps {
		ended := heap.Pop(&engine.running).(stream).job
		engine.memory -= ended.arrival.PromptTokens + ended.arrival.OutputTokens
		done = append(done, ended)
	}
	return done
}

// snapshot returns the load report of this moment.
func (engine *engine) snapshot() lwtscorerouter.LoadReport {
	report := lwtscorerouter.LoadReport{
		Incarnation: engine.incarnation, Role: engine.role, Reconfiguring: engine.changing,
		Running:     len(engine.running) + len(engine.ready),
		FreeBlocks:  memoryBlocks - (engine.memory+engine.readyTokens())/lwtscorerouter.BlockTokens,
		PrefillRate: engine.rates.PrefillRate,
	}
	report.WaitingTokens = engine.waiting
	for _, queue := range engine.queues {
		report.Waiting += len(queue)
	}
	return report
}

// busy reports whether any request is on the engine.
func (engine *engine) busy() bool {
	if len(engine.running)+len(engine.ready)+len(engine.filled)+engine.inbound > 0 {
		return true
	}
	for _, queue := range engine.queues {
		if len(queue) > 0 {
			return true
		}
	}
	return false
}

// crash loses all work and returns it.
func (engine *engine) crash() []*job {
	lost := append(append([]*job(nil), engine.ready...), engine.filled...)
	for priority := range engine.queues {
		lost = append(lost, engine.queues[priority]...)
		engine.queues[priority] = nil
	}
	for _, stream := range engine.running {
		lost = append(lost, stream.job)
	}
	for _, j := range lost {
		if j.engine == engine && j.decodeAt != engine {
			j.decodeAt.inbound--
		}
	}
	engine.ready, engine.filled, engine.running, engine.fresh, engine.memory = nil, nil, nil, nil, 0
	engine.waiting = [lwtscorerouter.NumPriorities]int{}
	engine.cache = newPrefixCache(cacheBlocks)
	engine.down = true
	engine.incarnation++
	return lost
}

// stream is a running stream and the step in which it ends.
type stream struct {
	job      *job
	lastStep int64
}

// streamHeap orders streams by their end.
type streamHeap []stream

// Len implements heap.Interface.
func (streams streamHeap) Len() int { return len(streams) }

// Less implements heap.Interface.
func (streams streamHeap) Less(i, j int) bool { return streams[i].lastStep < streams[j].lastStep }

// Swap implements heap.Interface.
func (streams streamHeap) Swap(i, j int) { streams[i], streams[j] = streams[j], streams[i] }

// Push implements heap.Interface.
func (streams *streamHeap) Push(value any) { *streams = append(*streams, value.(stream)) }

// Pop implements heap.Interface.
func (streams *streamHeap) Pop() any {
	last := len(*streams) - 1
	value := (*streams)[last]
	*streams = (*streams)[:last]
	return value
}

func (streams *streamHeap) add(added stream) { heap.Push(streams, added) }

func (engine *engine) waitingRequests() int {
	count := 0
	for _, queue := range engine.queues {
		count += len(queue)
	}
	return count
}

func (engine *engine) readyTokens() int {
	tokens := 0
	for _, j := range engine.ready {
		tokens += j.arrival.PromptTokens + j.arrival.OutputTokens
	}
	return tokens
}
