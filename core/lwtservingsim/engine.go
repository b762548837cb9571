package lwtservingsim

import (
	"container/heap"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtscorerouter"
)

// Limits of a simulated engine. Its speed is lwtscorerouter.DefaultCostModel, which
// must not be tuned to the results of the simulation.
const (
	maxStreams   = 256
	memoryBlocks = 256
	// prefixCacheBlocks is the capacity of the prefix cache.
	prefixCacheBlocks = 32
)

// job is one request in one run. Its times are in nanoseconds of virtual time; 0
// means not yet.
type job struct {
	arrival     *Arrival
	daemonIndex int
	request     lwtscorerouter.Request
	choice      lwtscorerouter.Choice
	// remainingPromptTokens is the number of prompt tokens still to prefill.
	remainingPromptTokens int
	priority              int
	prefillEngine         *engine
	decodeEngine          *engine
	sentAt                int64
	firstTokenAt          int64
	finishedAt            int64
	attempts              int
	rejected              bool
	interrupted           bool
	abandoned             bool
	startCount            int
}

// engine simulates one engine with continuous batching and chunked prefill. Each
// step prefills up to one chunk of the waiting prompts, by priority, and decodes
// one token of each running stream.
type engine struct {
	name          string
	role          lwtdeclaredstate.Role
	costModel     lwtscorerouter.CostModel
	incarnation   int64
	down          bool
	reconfiguring bool
	declared      lwtdeclaredstate.Engine
	// targetRole is the new role of a role change in progress, or empty.
	targetRole lwtdeclaredstate.Role
	// stepEnd is when the step in progress ends; 0 when the engine is idle.
	stepEnd       int64
	stepCount     int64
	stepDuration  time.Duration
	queues        [lwtscorerouter.NumPriorities][]*job
	waitingTokens [lwtscorerouter.NumPriorities]int // prompt tokens in queues
	// inboundTransfers is the number of requests that prefill elsewhere and will
	// transfer their KV cache to this engine.
	inboundTransfers int
	// startingStreams are the streams whose first token the current step decodes.
	startingStreams    []*job
	prefillsCompleting []*job // prompts that the current step completes
	readyToDecode      []*job // prefilled, waiting for memory or a stream slot
	running            streamHeap
	reservedTokens     int // tokens reserved by running streams
	cache              prefixCache
	lastReport         lwtscorerouter.LoadReport
}

func newEngine(declared lwtdeclaredstate.Engine, costModel lwtscorerouter.CostModel) *engine {
	return &engine{
		name: declared.Name, role: declared.Role, declared: declared, costModel: costModel,
		incarnation: 1, cache: newPrefixCache(prefixCacheBlocks),
	}
}

// enqueue queues a request for prefill. It returns false when the engine is down or
// changing its role.
func (engine *engine) enqueue(job *job) bool {
	if engine.down || engine.reconfiguring {
		return false
	}
	cachedBlocks := engine.cache.lookup(job.arrival.PrefixHashes)
	job.remainingPromptTokens = max(1, job.arrival.PromptTokens-cachedBlocks*lwtscorerouter.BlockTokens)
	engine.queues[job.priority] = append(engine.queues[job.priority], job)
	engine.waitingTokens[job.priority] += job.remainingPromptTokens
	return true
}

// beginStep starts a step and returns its duration, or 0 when there is no work.
func (engine *engine) beginStep(now int64) time.Duration {
	engine.startReadyStreams()
	chunk := engine.prefillChunk(now)
	if chunk == 0 && len(engine.running) == 0 {
		return 0
	}
	return engine.costModel.StepTime(len(engine.running), chunk)
}

// prefillChunk prefills up to one chunk of the waiting prompts and returns the
// number of tokens. Callers abandon requests that wait beyond their end-to-end
// deadline; those are dropped.
func (engine *engine) prefillChunk(now int64) int {
	left := engine.costModel.PrefillChunk
	switch engine.role {
	case lwtdeclaredstate.RoleDecode:
		return 0
	case lwtdeclaredstate.RoleMixed:
		left = engine.costModel.MixedChunk
	}
	total := 0
	for priority := lwtscorerouter.NumPriorities - 1; priority >= 0 && left > 0; priority-- {
		for len(engine.queues[priority]) > 0 && left > 0 {
			head := engine.queues[priority][0]
			if now > head.arrival.At+int64(head.arrival.maxEndToEndLatency) {
				head.abandoned = true
				if head.decodeEngine != engine {
					head.decodeEngine.inboundTransfers--
				}
				engine.waitingTokens[priority] -= head.remainingPromptTokens
				engine.queues[priority] = engine.queues[priority][1:]
				continue
			}
			tokens := min(left, head.remainingPromptTokens)
			head.remainingPromptTokens -= tokens
			engine.waitingTokens[priority] -= tokens
			left -= tokens
			total += tokens
			if head.remainingPromptTokens == 0 {
				engine.queues[priority] = engine.queues[priority][1:]
				engine.prefillsCompleting = append(engine.prefillsCompleting, head)
			}
		}
	}
	return total
}

// startReadyStreams adds prefilled requests to the decode batch while stream slots
// and memory are available.
func (engine *engine) startReadyStreams() {
	for len(engine.readyToDecode) > 0 {
		head := engine.readyToDecode[0]
		tokens := head.arrival.PromptTokens + head.arrival.OutputTokens
		if len(engine.running) >= maxStreams || engine.reservedTokens+tokens > memoryBlocks*lwtscorerouter.BlockTokens {
			return
		}
		engine.readyToDecode = engine.readyToDecode[1:]
		engine.reservedTokens += tokens
		if head.firstTokenAt == 0 {
			engine.startingStreams = append(engine.startingStreams, head)
		}
		heap.Push(&engine.running, stream{head, engine.stepCount + int64(head.arrival.OutputTokens)})
	}
}

// popFinished removes and returns the streams that end with the current step.
func (engine *engine) popFinished() []*job {
	var done []*job
	for len(engine.running) > 0 && engine.running[0].endStep <= engine.stepCount {
		ended := heap.Pop(&engine.running).(stream).job
		engine.reservedTokens -= ended.arrival.PromptTokens + ended.arrival.OutputTokens
		done = append(done, ended)
	}
	return done
}

// loadReport returns the engine's current load.
func (engine *engine) loadReport() lwtscorerouter.LoadReport {
	report := lwtscorerouter.LoadReport{
		Incarnation: engine.incarnation, Role: engine.role, Reconfiguring: engine.reconfiguring,
		Running:     len(engine.running) + len(engine.readyToDecode),
		FreeBlocks:  memoryBlocks - (engine.reservedTokens+engine.readyTokens())/lwtscorerouter.BlockTokens,
		PrefillRate: engine.costModel.PrefillRate,
	}
	report.WaitingTokens = engine.waitingTokens
	for _, queue := range engine.queues {
		report.Waiting += len(queue)
	}
	return report
}

// hasWork reports whether any request is on the engine or will be transferred to
// it.
func (engine *engine) hasWork() bool {
	if len(engine.running)+len(engine.readyToDecode)+len(engine.prefillsCompleting)+engine.inboundTransfers > 0 {
		return true
	}
	for _, queue := range engine.queues {
		if len(queue) > 0 {
			return true
		}
	}
	return false
}

// crash takes the engine down with an empty prefix cache and returns the requests
// that were on it.
func (engine *engine) crash() []*job {
	lost := append(append([]*job(nil), engine.readyToDecode...), engine.prefillsCompleting...)
	for priority := range engine.queues {
		lost = append(lost, engine.queues[priority]...)
		engine.queues[priority] = nil
	}
	for _, stream := range engine.running {
		lost = append(lost, stream.job)
	}
	for _, job := range lost {
		if job.prefillEngine == engine && job.decodeEngine != engine {
			job.decodeEngine.inboundTransfers--
		}
	}
	engine.readyToDecode, engine.prefillsCompleting, engine.running,
		engine.startingStreams, engine.reservedTokens = nil, nil, nil, nil, 0
	engine.waitingTokens = [lwtscorerouter.NumPriorities]int{}
	engine.cache = newPrefixCache(prefixCacheBlocks)
	engine.down = true
	engine.incarnation++
	return lost
}

// stream is a running stream and the step at which it ends.
type stream struct {
	job     *job
	endStep int64
}

// streamHeap is a min-heap of streams by endStep.
type streamHeap []stream

// Len implements heap.Interface.
func (streams streamHeap) Len() int { return len(streams) }

// Less implements heap.Interface.
func (streams streamHeap) Less(i, j int) bool { return streams[i].endStep < streams[j].endStep }

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
	for _, job := range engine.readyToDecode {
		tokens += job.arrival.PromptTokens + job.arrival.OutputTokens
	}
	return tokens
}
