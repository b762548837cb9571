package lwtdaemon

import (
	"sync"
	"time"

	"lacewingtide/core/lwtrouter"
	"lacewingtide/io/lwtengine"
)

// router owns the routing view of the daemon.
type router struct {
	declared *declared
	mutex    sync.Mutex
	active   map[string]int
	// draining reports whether an engine is about to be changed.
	draining func(engine string) bool
}

func newRouter(declared *declared) *router {
	return &router{declared: declared, active: map[string]int{}, draining: func(string) bool { return false }}
}

// Pick implements lwtentry.Router.
func (router *router) Pick(_ time.Time, request lwtrouter.Request) (lwtrouter.Choice, error) {
	state, _ := router.declared.State()
	router.mutex.Lock()
	defer router.mutex.Unlock()
	best := ""
	for _, name := range state.EnginesOf(request.Model) {
		if state.Engines[name].Draining || router.draining(name) {
			continue
		}
		if best == "" || router.active[name] < router.active[best] {
			best = name
		}
	}
	if best == "" {
		return lwtrouter.Choice{}, lwtrouter.ErrNoEngine
	}
	router.active[best]++
	return lwtrouter.Choice{Engine: best}, nil
}

// Report implements lwtentry.Router.
func (router *router) Report(time.Time, string, lwtengine.Load) {}

// Done implements lwtentry.Router.
func (router *router) Done(_ time.Time, _ lwtrouter.Request, choice lwtrouter.Choice, _ bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.active[choice.Engine]--
}
