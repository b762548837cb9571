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

// EngineOptions describes a stand-in engine.
type EngineOptions struct {
	Name   string
	Role   lwtdeclaredstate.Role
	Models []string
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// StepTime is the time of one decode step without prefill.
	StepTime time.Duration
	// PrefillChunk bounds the prompt tokens of one step.
	PrefillChunk int
	// MaxRunning bounds the streams decoded in one step.
	MaxRunning int
	// StreamRetention is the time that a finished or abandoned stream can be resumed.
	StreamRetention time.Duration
	// MemoryBlocks is the memory in blocks of 2,048 tokens.
	MemoryBlocks int
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// OrderReadTimeout bounds the wait for an order's body.
	OrderReadTimeout time.Duration
	// ChangeTime is the time that a change of role or models takes.
	ChangeTime time.Duration
	// RecordPrompts makes the engine keep which prompts it ran.
	RecordPrompts bool
	// TimestampEvents adds the time of writing to each event, for measurements: the
	// field "written" in nanoseconds since the Unix epoch.
	TimestampEvents bool
	// Weights is where models are loaded from; nil for no limit.
	Weights *WeightStore
	// ModelBlocks is the size of a model's weights for the weight store.
	ModelBlocks int
}

// DefaultEngineOptions returns the options of a mid-size engine.
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

// Engine is a stand-in model engine with continuous batching: each step
// prefills a chunk of one waiting prompt and decodes one token of each running
// stream.
type Engine struct {
	options     EngineOptions
	incarnation int64
	mutex       sync.Mutex
	streams     map[string]*engineStream
	waiting     []*engineStream
	running     []*engineStream
	state       engineState
	wake        chan struct{}
	started     int64
	prompts     map[string]bool
	orders      engineOrders
	cache       engineCache
	// gate is held while the engine is paused.
	gate sync.RWMutex
}

// NewEngine returns an engine. Its incarnation must differ from that of every
// earlier engine of the same name.
func NewEngine(options EngineOptions, incarnation int64) *Engine {
	return &Engine{
		options:     options,
		incarnation: incarnation,
		streams:     map[string]*engineStream{},
		prompts:     map[string]bool{},
		cache:       newEngineCache(),
		wake:        make(chan struct{}, 1),
		state:       initialState(options, incarnation),
	}
}

// Run steps the batch until ctx ends.
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

// RequestsStarted returns the number of requests that the engine has begun to run.
func (engine *Engine) RequestsStarted() int64 {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.started
}

// RanPrompt reports whether a request with the prompt has begun to run. It
// needs RecordPrompts.
func (engine *Engine) RanPrompt(prompt string) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.prompts[prompt]
}

// Role returns the role in which the engine runs.
func (engine *Engine) Role() lwtdeclaredstate.Role {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.state.Role
}

func (engine *Engine) step(now time.Time) time.Duration {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.expire(now)
	prefilled := engine.prefill()
	engine.decode(now)
	return engine.options.StepTime +
		time.Duration(float64(prefilled)/engine.options.PrefillRate*float64(time.Second))
}

// prefill works on the waiting prompts, highest priority first, until the
// chunk of one step is used up.
func (engine *Engine) prefill() int {
	used := 0
	for used < engine.options.PrefillChunk && len(engine.waiting) > 0 &&
		len(engine.running) < engine.options.MaxRunning {
		next := slices.MaxFunc(engine.waiting, func(a, b *engineStream) int { return a.priority - b.priority })
		chunk := min(next.promptLeft, engine.options.PrefillChunk-used)
		used += chunk
		next.promptLeft -= chunk
		if next.promptLeft == 0 {
			engine.waiting = slices.DeleteFunc(engine.waiting, func(s *engineStream) bool { return s == next })
			engine.running = append(engine.running, next)
		}
	}
	return used
}

func (engine *Engine) decode(now time.Time) {
	engine.running = slices.DeleteFunc(engine.running, func(stream *engineStream) bool {
		stream.append(now)
		return stream.finished()
	})
}

func (engine *Engine) expire(now time.Time) {
	for id, stream := range engine.streams {
		if stream.expired(now, engine.options.StreamRetention) {
			delete(engine.streams, id)
			engine.drop(stream)
		}
	}
}

func (engine *Engine) drop(stream *engineStream) {
	same := func(other *engineStream) bool { return other == stream }
	engine.waiting = slices.DeleteFunc(engine.waiting, same)
	engine.running = slices.DeleteFunc(engine.running, same)
}

// start adds a stream. Starting a stream that exists returns the existing one,
// so that a repeated request runs once.
func (engine *Engine) start(
	request completionRequest, prefixes []uint64, id string, priority int,
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
	stream.stamp = engine.options.TimestampEvents
	// Before the stream can be prefilled, what is cached of its prompt is left out.
	stream.promptLeft = max(1, stream.promptTokens-engine.cache.use(prefixes))
	engine.streams[id] = stream
	engine.waiting = append(engine.waiting, stream)
	engine.started++
	if engine.options.RecordPrompts {
		engine.prompts[stream.prompt] = true
	}
	return stream, nil
}

func (engine *Engine) stream(id string) (*engineStream, bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	stream, found := engine.streams[id]
	return stream, found
}

func (engine *Engine) cancel(id string) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	stream, found := engine.streams[id]
	if !found {
		return false
	}
	delete(engine.streams, id)
	engine.drop(stream)
	stream.cancel()
	return true
}

// Load is what an engine reports of its work.
type Load struct {
	Incarnation int64 `json:"incarnation"`
	Running     int   `json:"running"`
	Waiting     int   `json:"waiting"`
	// WaitingTokens are the prompt tokens still to prefill.
	WaitingTokens int `json:"waiting-tokens"`
	// FreeBlocks is the free memory in blocks of 2,048 tokens.
	FreeBlocks int `json:"free-blocks"`
	// Role is the role in which the engine runs.
	Role lwtdeclaredstate.Role `json:"role"`
	// Reconfiguring says that an order is being carried out.
	Reconfiguring bool `json:"changing"`
	// WaitingByPriority splits WaitingTokens by priority, lowest first.
	WaitingByPriority [lwtscorerouter.NumPriorities]int `json:"waiting-by-priority"`
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64 `json:"prefill-rate"`
}

func (engine *Engine) load() Load {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	load := Load{
		Incarnation: engine.incarnation, Running: len(engine.running), Waiting: len(engine.waiting),
		Role: engine.state.Role, Reconfiguring: engine.state.Changing, PrefillRate: engine.options.PrefillRate,
	}
	tokens := 0
	for _, stream := range engine.waiting {
		load.WaitingTokens += stream.promptLeft
		load.WaitingByPriority[min(max(0, stream.priority), lwtscorerouter.NumPriorities-1)] += stream.promptLeft
		tokens += stream.promptTokens
	}
	for _, stream := range engine.running {
		tokens += stream.promptTokens + stream.length()
	}
	load.FreeBlocks = max(0, engine.options.MemoryBlocks-tokens/blockTokens)
	return load
}

const blockTokens = 2048

// Token returns the token at an offset of the answer to a prompt. The answer
// depends on the prompt alone, so that tests can tell whose answer a text is.
func Token(prompt string, offset int) string {
	digest := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = fmt.Fprintf(digest, "%s#%d", prompt, offset)
	return fmt.Sprintf("w%08x ", digest.Sum32())
}

// Answer returns the whole answer to a prompt.
func Answer(prompt string, tokens int) string {
	answer := make([]byte, 0, tokens*len("w00000000 "))
	for offset := range tokens {
		answer = append(answer, Token(prompt, offset)...)
	}
	return string(answer)
}
