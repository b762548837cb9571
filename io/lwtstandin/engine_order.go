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
	// orderTimerHeader passes the time at which an order's header was received to
	// the handler, which checks the read timeout. A value sent by the client is
	// overwritten.
	orderTimerHeader = "Stand-In-Order-Timer"
)

// engineOrders is the state of an engine's orders.
type engineOrders struct {
	accepted []AcceptedOrder
	// current is the order being carried out while state.Reconfiguring is true.
	current        lwtorder.Order
	previousConfig lwtorder.EngineConfig
	endsAt         time.Time
	crashAt        time.Time
	crashNext      bool
	// conflicts is the number of orders accepted while another was being carried
	// out.
	conflicts int
	// interruptedStreams is the number of streams ended by an order or a restart.
	interruptedStreams int
}

// AcceptedOrder is an order that the engine accepted, with the time of acceptance.
type AcceptedOrder struct {
	At    time.Time
	Order lwtorder.Order
}

func initialState(options EngineOptions, incarnation int64) engineState {
	config := lwtorder.EngineConfig{Role: options.Role, Models: map[string]string{}, Adapters: map[string]string{}}
	for _, model := range options.Models {
		config.Models[model] = "1"
	}
	state := engineState{Incarnation: incarnation}
	state.setConfig(config)
	return state
}

func (state *engineState) setConfig(config lwtorder.EngineConfig) {
	state.Config, state.Role = config, config.Role
	state.Models = slices.Sorted(maps.Keys(config.Models))
	state.Adapters = slices.Sorted(maps.Keys(config.Adapters))
}

// AcceptedOrders returns the accepted orders, the number of orders accepted while
// another was being carried out, and the number of streams ended by orders or
// restarts.
func (engine *Engine) AcceptedOrders() (orders []AcceptedOrder, conflicts, interrupted int) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return slices.Clone(engine.orders.accepted), engine.orders.conflicts, engine.orders.interruptedStreams
}

// CrashDuringNextChange makes the engine crash and restart halfway through its
// next change.
func (engine *Engine) CrashDuringNextChange() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.orders.crashNext = true
}

// Restart ends all streams and starts a new incarnation with the same
// configuration.
func (engine *Engine) Restart() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.restart(engine.state.Config)
}

// PauseOrders blocks the handling of orders and state reads until the returned
// function is called.
func (engine *Engine) PauseOrders() (resume func()) {
	engine.orderPause.Lock()
	return engine.orderPause.Unlock
}

// restart ends all streams and starts a new incarnation. The last order number
// survives only if the engine checks fencing numbers.
func (engine *Engine) restart(config lwtorder.EngineConfig) {
	engine.incarnation++
	orderNumber := lwtorder.OrderNumber{Fencing: engine.state.Fencing, Sequence: engine.state.Sequence}
	if !engine.options.ChecksFencing {
		orderNumber = lwtorder.OrderNumber{}
	}
	engine.state = engineState{
		Incarnation: engine.incarnation, Fencing: orderNumber.Fencing, Sequence: orderNumber.Sequence,
	}
	engine.state.setConfig(config)
	engine.endStreams(func(*engineStream) bool { return true })
}

func (engine *Engine) endStreams(matches func(*engineStream) bool) {
	for id, stream := range engine.streams {
		if !stream.finished() && matches(stream) {
			delete(engine.streams, id)
			engine.unschedule(stream)
			stream.cancel()
			engine.orders.interruptedStreams++
		}
	}
}

// advanceOrder completes the current order, or crashes during it, if that is due.
func (engine *Engine) advanceOrder(now time.Time) {
	if !engine.state.Reconfiguring {
		return
	}
	orders := &engine.orders
	if !orders.crashAt.IsZero() && !now.Before(orders.crashAt) {
		orders.crashAt = time.Time{}
		engine.restart(commonConfig(orders.previousConfig, orders.current.EngineConfig))
		return
	}
	if !now.Before(orders.endsAt) {
		engine.state.Reconfiguring = false
		engine.state.setConfig(orders.current.EngineConfig)
	}
}

// commonConfig returns the models and adapters that two configurations share, with
// the role of the first.
func commonConfig(first, second lwtorder.EngineConfig) lwtorder.EngineConfig {
	shared := lwtorder.EngineConfig{Role: first.Role, Models: map[string]string{}, Adapters: map[string]string{}}
	for name, version := range first.Models {
		if second.Models[name] == version {
			shared.Models[name] = version
		}
	}
	for name, version := range first.Adapters {
		if second.Adapters[name] == version {
			shared.Adapters[name] = version
		}
	}
	return shared
}

// serves reports whether the engine accepts requests for a model. During a change
// of role it accepts none; during a change of models, those for models that it
// keeps.
func (engine *Engine) serves(now time.Time, model string) bool {
	engine.advanceOrder(now)
	config := engine.state.Config
	if engine.state.Reconfiguring {
		if engine.orders.current.Role != config.Role {
			return false
		}
		config = commonConfig(config, engine.orders.current.EngineConfig)
	}
	_, found := config.Models[model]
	return found
}

func (engine *Engine) currentState(now time.Time) engineState {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.advanceOrder(now)
	state := engine.state
	state.ActiveStreams = len(engine.running) + len(engine.waiting)
	return state
}

// startOrderTimer runs when the header of a request has been received, before the
// engine sends 100 Continue.
func (engine *Engine) startOrderTimer(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if string(header.RequestURI()) != ordersPath {
		return fasthttp.RequestConfig{}
	}
	header.Set(orderTimerHeader, strconv.FormatInt(int64(time.Since(clockBase)), 10))
	return fasthttp.RequestConfig{ReadTimeout: engine.options.OrderReadTimeout}
}

// clockBase is the reference point for times on the monotonic clock that are
// passed as numbers.
var clockBase = time.Now()

func (engine *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	engine.orderPause.RLock()
	defer engine.orderPause.RUnlock()
	var order lwtorder.Order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		rejectRequest(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	headerReceived, err := strconv.ParseInt(string(ctx.Request.Header.Peek(orderTimerHeader)), 10, 64)
	if err != nil {
		rejectRequest(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	status, err := engine.acceptOrder(order, clockBase.Add(time.Duration(headerReceived)))
	if err != nil {
		rejectRequest(ctx, status, err)
		return
	}
	writeJSON(ctx, engine.currentState(time.Now()))
}

// acceptOrder accepts an order or returns an HTTP status and an error. It checks
// the read timeout immediately before the order takes effect, so that the timeout
// also holds if the engine was paused after it read the body.
func (engine *Engine) acceptOrder(order lwtorder.Order, headerReceived time.Time) (int, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	engine.advanceOrder(now)
	lastOrder := lwtorder.OrderNumber{Fencing: engine.state.Fencing, Sequence: engine.state.Sequence}
	if excess := now.Sub(headerReceived) - engine.options.OrderReadTimeout; engine.options.OrderReadTimeout > 0 &&
		excess > 0 {
		return fasthttp.StatusRequestTimeout, fmt.Errorf("the body was complete %s too late", excess)
	}
	if engine.options.ChecksFencing {
		switch {
		case order.Compare(lastOrder) == 0:
			return 0, nil
		case order.Compare(lastOrder) < 0:
			return fasthttp.StatusConflict, fmt.Errorf("order %v is older than %v", order.OrderNumber, lastOrder)
		case order.Incarnation != engine.incarnation:
			return fasthttp.StatusConflict, fmt.Errorf("order is for incarnation %d", order.Incarnation)
		case engine.state.Reconfiguring:
			return fasthttp.StatusConflict, fmt.Errorf("order %v is being carried out", lastOrder)
		}
	}
	engine.beginOrder(now, order)
	return 0, nil
}

func (engine *Engine) beginOrder(now time.Time, order lwtorder.Order) {
	orders := &engine.orders
	if engine.state.Reconfiguring {
		orders.conflicts++
	}
	orders.accepted = append(orders.accepted, AcceptedOrder{At: now, Order: order})
	orders.current, orders.previousConfig = order, engine.state.Config
	orders.endsAt = now.Add(engine.options.ChangeTime)
	for name, version := range order.Models {
		if orders.previousConfig.Models[name] != version && engine.options.Weights != nil {
			orders.endsAt = engine.options.Weights.ScheduleDelivery(orders.endsAt, engine.options.ModelBlocks)
		}
	}
	orders.crashAt = time.Time{}
	if orders.crashNext {
		orders.crashNext, orders.crashAt = false, now.Add(orders.endsAt.Sub(now)/2)
	}
	engine.state.Reconfiguring = true
	engine.state.Fencing, engine.state.Sequence = order.Fencing, order.Sequence
	engine.endStreams(func(stream *engineStream) bool { return !engine.serves(now, stream.model) })
}
