package lwtstandin

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtorder"
)

const (
	ordersPath = "/v1/orders"
	// orderTimerHeader carries the start of an order's read timer from the head
	// to the handler. What a client sends under this name is overwritten.
	orderTimerHeader = "Stand-In-Order-Timer"
)

// engineOrders is what an engine keeps of the orders it was given.
type engineOrders struct {
	accepted []AcceptedOrder
	// change is the order being carried out, while state.Changing.
	change  lwtorder.Order
	before  lwtorder.EngineConfig
	ends    time.Time
	crashAt time.Time
	crash   bool
	// conflicts counts orders accepted while another was carried out.
	conflicts int
	// interrupted counts streams ended by an order.
	interrupted int
}

// AcceptedOrder is an order that took effect.
type AcceptedOrder struct {
	At    time.Time
	Order lwtorder.Order
}

func initialState(options EngineOptions, incarnation int64) engineState {
	content := lwtorder.EngineConfig{Role: options.Role, Models: map[string]string{}, Adapters: map[string]string{}}
	for _, model := range options.Models {
		content.Models[model] = "1"
	}
	state := engineState{Incarnation: incarnation}
	state.setContent(content)
	return state
}

func (state *engineState) setContent(content lwtorder.EngineConfig) {
	state.Content, state.Role = content, content.Role
	state.Models = slices.Sorted(maps.Keys(content.Models))
	state.Adapters = slices.Sorted(maps.Keys(content.Adapters))
}

// AcceptedOrders returns the orders that took effect, the number of those that
// came while another was carried out, and the number of streams they ended.
func (engine *Engine) AcceptedOrders() (orders []AcceptedOrder, conflicts, interrupted int) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return slices.Clone(engine.orders.accepted), engine.orders.conflicts, engine.orders.interrupted
}

// CrashDuringNextChange makes the engine crash halfway through its next change.
func (engine *Engine) CrashDuringNextChange() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.orders.crash = true
}

// Restart ends all streams and starts a new incarnation with the same content.
func (engine *Engine) Restart() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.restart(engine.state.Content)
}

// PauseOrders stops the handling of orders and state reads until the returned
// function is called.
func (engine *Engine) PauseOrders() (resume func()) {
	engine.gate.Lock()
	return engine.gate.Unlock
}

func (engine *Engine) restart(content lwtorder.EngineConfig) {
	engine.incarnation++
	number := lwtorder.OrderNumber{Fencing: engine.state.Fencing, Sequence: engine.state.Sequence}
	if !engine.options.ChecksFencing {
		number = lwtorder.OrderNumber{}
	}
	engine.state = engineState{Incarnation: engine.incarnation, Fencing: number.Fencing, Sequence: number.Sequence}
	engine.state.setContent(content)
	engine.endStreams(func(*engineStream) bool { return true })
}

func (engine *Engine) endStreams(ends func(*engineStream) bool) {
	for id, stream := range engine.streams {
		if !stream.finished() && ends(stream) {
			delete(engine.streams, id)
			engine.drop(stream)
			stream.cancel()
			engine.orders.interrupted++
		}
	}
}

// progress completes the change, or crashes, when its time has come.
func (engine *Engine) progress(now time.Time) {
	if !engine.state.Changing {
		return
	}
	orders := &engine.orders
	if !orders.crashAt.IsZero() && !now.Before(orders.crashAt) {
		orders.crashAt = time.Time{}
		engine.restart(common(orders.before, orders.change.EngineConfig))
		return
	}
	if !now.Before(orders.ends) {
		engine.state.Changing = false
		engine.state.setContent(orders.change.EngineConfig)
	}
}

// common returns what two contents share, in the role of the first.
func common(first, second lwtorder.EngineConfig) lwtorder.EngineConfig {
	result := lwtorder.EngineConfig{Role: first.Role, Models: map[string]string{}, Adapters: map[string]string{}}
	for name, version := range first.Models {
		if second.Models[name] == version {
			result.Models[name] = version
		}
	}
	for name, version := range first.Adapters {
		if second.Adapters[name] == version {
			result.Adapters[name] = version
		}
	}
	return result
}

// serves reports whether the engine answers requests for a model. While it
// changes its role it answers none; while it loads, those that it keeps.
func (engine *Engine) serves(now time.Time, model string) bool {
	engine.progress(now)
	content := engine.state.Content
	if engine.state.Changing {
		if engine.orders.change.Role != content.Role {
			return false
		}
		content = common(content, engine.orders.change.EngineConfig)
	}
	_, found := content.Models[model]
	return found
}

func (engine *Engine) currentState(now time.Time) engineState {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.progress(now)
	state := engine.state
	state.Running = len(engine.running) + len(engine.waiting)
	return state
}

// startOrderTimer runs when the head of a request is complete, before the
// engine's 100 Continue.
func (engine *Engine) startOrderTimer(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if string(header.RequestURI()) != ordersPath {
		return fasthttp.RequestConfig{}
	}
	header.Set(orderTimerHeader, strconv.FormatInt(int64(time.Since(clockBase)), 10))
	return fasthttp.RequestConfig{ReadTimeout: engine.options.OrderReadTimeout}
}

// clockBase makes moments on the monotonic clock expressible as numbers.
var clockBase = time.Now()

func (engine *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	engine.gate.RLock()
	defer engine.gate.RUnlock()
	var order lwtorder.Order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	started, err := strconv.ParseInt(string(ctx.Request.Header.Peek(orderTimerHeader)), 10, 64)
	if err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	status, err := engine.accept(order, clockBase.Add(time.Duration(started)))
	if err != nil {
		refuse(ctx, status, err)
		return
	}
	writeJSON(ctx, engine.currentState(time.Now()))
}

// accept decides on an order. The read timeout is checked against the clock
// here, at the moment of effect, so that it also holds after a pause.
func (engine *Engine) accept(order lwtorder.Order, started time.Time) (int, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	engine.progress(now)
	last := lwtorder.OrderNumber{Fencing: engine.state.Fencing, Sequence: engine.state.Sequence}
	if late := now.Sub(started) - engine.options.OrderReadTimeout; engine.options.OrderReadTimeout > 0 && late > 0 {
		return fasthttp.StatusRequestTimeout, fmt.Errorf("the body was complete %s too late", late)
	}
	if engine.options.ChecksFencing {
		switch {
		case order.Compare(last) == 0:
			return 0, nil
		case order.Compare(last) < 0:
			return fasthttp.StatusConflict, fmt.Errorf("order %v is older than %v", order.OrderNumber, last)
		case order.Incarnation != engine.incarnation:
			return fasthttp.StatusConflict, fmt.Errorf("order is for incarnation %d", order.Incarnation)
		case engine.state.Changing:
			return fasthttp.StatusConflict, fmt.Errorf("order %v is being carried out", last)
		}
	}
	engine.begin(now, order)
	return 0, nil
}

func (engine *Engine) begin(now time.Time, order lwtorder.Order) {
	orders := &engine.orders
	if engine.state.Changing {
		orders.conflicts++
	}
	orders.accepted = append(orders.accepted, AcceptedOrder{At: now, Order: order})
	orders.change, orders.before = order, engine.state.Content
	orders.ends = now.Add(engine.options.ChangeTime)
	for name, version := range order.Models {
		if orders.before.Models[name] != version && engine.options.Weights != nil {
			orders.ends = engine.options.Weights.ScheduleDelivery(orders.ends, engine.options.ModelBlocks)
		}
	}
	orders.crashAt = time.Time{}
	if orders.crash {
		orders.crash, orders.crashAt = false, now.Add(orders.ends.Sub(now)/2)
	}
	engine.state.Changing = true
	engine.state.Fencing, engine.state.Sequence = order.Fencing, order.Sequence
	engine.endStreams(func(stream *engineStream) bool { return !engine.serves(now, stream.model) })
}
