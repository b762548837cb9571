package lwtstandin

import (
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtscorerouter"
)

// EngineOptions configures a stand-in engine.
type EngineOptions struct {
	Name   string
	Role   lwtdeclaredstate.Role
	Models []string
	// PrefillRate is the prefill throughput in prompt tokens per second.
	PrefillRate float64
	// StepTime is the duration of a decode step without prefill.
	StepTime time.Duration
	// PrefillChunk is the maximum number of prompt tokens prefilled in one step.
	PrefillChunk int
	// MaxRunning is the maximum number of streams decoded in one step.
	MaxRunning int
	// StreamRetention is how long a stream can be resumed after it lost its last
	// reader or finished without one.
	StreamRetention time.Duration
	// MemoryBlocks is the size of the KV cache in blocks of 2,048 tokens.
	MemoryBlocks int
	// ChecksFencing makes the engine reject orders with an old fencing number.
	ChecksFencing bool
	// OrderReadTimeout is the maximum wait for the body of an order.
	OrderReadTimeout time.Duration
	// ChangeTime is the duration of a change of role or models, without the
	// loading of weights.
	ChangeTime time.Duration
	// RecordPrompts makes the engine record which prompts it ran.
	RecordPrompts bool
	// TimestampEvents adds the field "written" to each event: the time at which it
	// was written, in nanoseconds since the Unix epoch. Measurements use it.
	TimestampEvents bool
	// Weights is the store that models are loaded from. If it is nil, loading takes
	// no extra time.
	Weights *WeightStore
	// ModelBlocks is the size of a model's weights in blocks of the weight store.
	ModelBlocks int
}

// DefaultEngineOptions returns the options of a mid-size engine in mixed role.
func DefaultEngineOptions(name string, models ...string) EngineOptions {
	return EngineOptions{
		Name:             name,
		Role:             lwtdeclaredstate.RoleMixed,
		Models:           models,
		PrefillRate:      20_000,
		StepTime:         8 * time.Millisecond,
		PrefillChunk:     512,
		MaxRunning:       256,
		StreamRetention:  30 * time.Second,
		MemoryBlocks:     256,
		ChecksFencing:    true,
		OrderReadTimeout: time.Second,
		ChangeTime:       time.Second,
		ModelBlocks:      64,
	}
}

// Engine is a stand-in model engine with continuous batching: each step prefills
// up to a chunk of waiting prompts and decodes one token of each running stream.
type Engine struct {
	options         EngineOptions
	incarnation     int64
	mutex           sync.Mutex
	streams         map[string]*engineStream
	waiting         []*engineStream
	running         []*engineStream
	state           engineState
	wake            chan struct{}
	requestsStarted int64
	startedPrompts  map[string]bool
	orders          engineOrders
	cache           engineCache
	// orderPause is locked for writing while the handling of orders and state reads
	// is paused.
	orderPause sync.RWMutex
}

// NewEngine returns an engine. The incarnation must differ from that of every
// earlier engine with the same name. Call Run to start it.
func NewEngine(options EngineOptions, incarnation int64) *Engine {
	return &Engine{
		options:        options,
		incarnation:    incarnation,
		streams:        map[string]*engineStream{},
		startedPrompts: map[string]bool{},
		cache:          newEngineCache(),
		wake:           make(chan struct{}, 1),
		state:          initialState(options, incarnation),
	}
}

// Run executes the steps of the batch until ctx ends. It returns ctx.Err().
func (engine *Engine) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-engine.wake:
			continue
		}
		timer.Reset(engine.step(time.Now()))
	}
}

// RequestsStarted returns the number of requests that the engine has started.
func (engine *Engine) RequestsStarted() int64 {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.requestsStarted
}

// RanPrompt reports whether a request with the prompt was started. It requires
// RecordPrompts.
func (engine *Engine) RanPrompt(prompt string) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.startedPrompts[prompt]
}

// Role returns the current role of the engine.
func (engine *Engine) Role() lwtdeclaredstate.Role {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.state.Role
}

// step expires streams, prefills and decodes, and returns how long the step takes.
func (engine *Engine) step(now time.Time) time.Duration {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.deleteExpiredStreams(now)
	prefilled := engine.prefill()
	engine.decode(now)
	return engine.options.StepTime +
		time.Duration(float64(prefilled)/engine.options.PrefillRate*float64(time.Second))
}

// prefill processes the waiting prompts, highest priority first, up to
// PrefillChunk tokens. It returns the number of tokens processed.
func (engine *Engine) prefill() int {
	processed := 0
	for processed < engine.options.PrefillChunk && len(engine.waiting) > 0 &&
		len(engine.running) < engine.options.MaxRunning {
		next := slices.MaxFunc(engine.waiting, func(a, b *engineStream) int { return a.priority - b.priority })
		chunk := min(next.prefillTokensLeft, engine.options.PrefillChunk-processed)
		processed += chunk
		next.prefillTokensLeft -= chunk
		if next.prefillTokensLeft == 0 {
			engine.waiting = slices.DeleteFunc(engine.waiting, func(s *engineStream) bool { return s == next })
			engine.running = append(engine.running, next)
		}
	}
	return processed
}

func (engine *Engine) decode(now time.Time) {
	engine.running = slices.DeleteFunc(engine.running, func(stream *engineStream) bool {
		stream.generateToken(now)
		return stream.finished()
	})
}

func (engine *Engine) deleteExpiredStreams(now time.Time) {
	for id, stream := range engine.streams {
		if stream.expired(now, engine.options.StreamRetention) {
			delete(engine.streams, id)
			engine.unschedule(stream)
		}
	}
}

func (engine *Engine) unschedule(stream *engineStream) {
	isStream := func(other *engineStream) bool { return other == stream }
	engine.waiting = slices.DeleteFunc(engine.waiting, isStream)
	engine.running = slices.DeleteFunc(engine.running, isStream)
}

// startStream queues a stream. If a stream with the id exists, it is returned
// instead, so that a retried request runs once.
func (engine *Engine) startStream(
	request completionRequest, prefixHashes []uint64, id string, priority int,
) (*engineStream, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if stream, found := engine.streams[id]; found {
		return stream, nil
	}
	if !engine.serves(time.Now(), request.Model) {
		return nil, fmt.Errorf("engine %s does not serve model %q now", engine.options.Name, request.Model)
	}
	stream := newEngineStream(id, request, priority)
	stream.timestampEvents = engine.options.TimestampEvents
	// Tokens of cached prefixes need no prefill, but at least one token is
	// processed.
	stream.prefillTokensLeft = max(1, stream.promptTokens-engine.cache.lookupAndInsert(prefixHashes))
	engine.streams[id] = stream
	engine.waiting = append(engine.waiting, stream)
	engine.requestsStarted++
	if engine.options.RecordPrompts {
		engine.startedPrompts[stream.prompt] = true
	}
	return stream, nil
}

func (engine *Engine) findStream(id string) (*engineStream, bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	stream, found := engine.streams[id]
	return stream, found
}

func (engine *Engine) cancelStream(id string) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	stream, found := engine.streams[id]
	if !found {
		return false
	}
	delete(engine.streams, id)
	engine.unschedule(stream)
	stream.cancel()
	return true
}

// Load is an engine's load report.
type Load struct {
	Incarnation int64 `json:"incarnation"`
	Running     int   `json:"running"`
	Waiting     int   `json:"waiting"`
	// WaitingTokens is the number of prompt tokens still to prefill.
	WaitingTokens int `json:"waiting-tokens"`
	// FreeBlocks is the free KV cache in blocks of 2,048 tokens.
	FreeBlocks int `json:"free-blocks"`
	// Role is the current role of the engine.
	Role lwtdeclaredstate.Role `json:"role"`
	// Reconfiguring is true while an order is being carried out.
	Reconfiguring bool `json:"changing"`
	// WaitingByPriority splits WaitingTokens by priority, lowest first.
	WaitingByPriority [lwtscorerouter.NumPriorities]int `json:"waiting-by-priority"`
	// PrefillRate is the prefill throughput in prompt tokens per second.
	PrefillRate float64 `json:"prefill-rate"`
}

func (engine *Engine) currentLoad() Load {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	load := Load{
		Incarnation: engine.incarnation, Running: len(engine.running), Waiting: len(engine.waiting),
		Role: engine.state.Role, Reconfiguring: engine.state.Reconfiguring, PrefillRate: engine.options.PrefillRate,
	}
	tokens := 0
	for _, stream := range engine.waiting {
		load.WaitingTokens += stream.prefillTokensLeft
		load.WaitingByPriority[min(max(0, stream.priority), lwtscorerouter.NumPriorities-1)] += stream.prefillTokensLeft
		tokens += stream.promptTokens
	}
	for _, stream := range engine.running {
		tokens += stream.promptTokens + stream.generated()
	}
	load.FreeBlocks = max(0, engine.options.MemoryBlocks-tokens/blockTokens)
	return load
}

// blockTokens is the size of a KV cache block in tokens.
const blockTokens = 2048

// Token returns the token at an offset of the completion for a prompt. It depends
// only on the prompt and the offset, so that tests can detect a completion that
// belongs to another prompt.
func Token(prompt string, offset int) string {
	digest := fnv.New32a()
	// Writes to a hash never fail.
	_, _ = fmt.Fprintf(digest, "%s#%d", prompt, offset)
	return fmt.Sprintf("w%08x ", digest.Sum32())
}

// Answer returns the whole completion for a prompt, with the given number of
// tokens.
func Answer(prompt string, tokens int) string {
	text := make([]byte, 0, tokens*len("w00000000 "))
	for offset := range tokens {
		text = append(text, Token(prompt, offset)...)
	}
	return string(text)
}
