package lwtdaemon

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log"

	"lacewingtide/core/lwtstate"
	"lacewingtide/io/lwtlog"
	"lacewingtide/io/lwtloop"
	"lacewingtide/io/lwtplatform"
)

const declaredPollInterval = 500 * time.Millisecond

// declared holds the declared state in force and follows the table.
type declared struct {
	platform *lwtplatform.Client
	logger   log.Logger
	mutex    sync.RWMutex
	state    lwtstate.State
}

func newDeclared(platform *lwtplatform.Client, logger log.Logger) *declared {
	return &declared{platform: platform, logger: logger}
}

// State returns the state in force; false before the first one is known.
func (declared *declared) State() (lwtstate.State, bool) {
	declared.mutex.RLock()
	defer declared.mutex.RUnlock()
	return declared.state, declared.state.Number > 0
}

// Serve implements suture.Service.
func (declared *declared) Serve(ctx context.Context) error {
	declared.poll()
	return lwtloop.Tick(ctx, declaredPollInterval, func(time.Time) { declared.poll() })
}

func (declared *declared) poll() {
	row, err := declared.platform.Row("config/head")
	if err != nil {
		if !errors.Is(err, lwtplatform.ErrNotFound) {
			lwtlog.Warn(declared.logger, "store-read-failed", "err", err)
		}
		return
	}
	var state lwtstate.State
	if err := json.Unmarshal(row.Value, &state); err != nil {
		lwtlog.Warn(declared.logger, "state-malformed", "err", err)
		return
	}
	declared.advance(state.Indexed())
}

func (declared *declared) advance(state lwtstate.State) {
	declared.mutex.Lock()
	defer declared.mutex.Unlock()
	if state.Number <= declared.state.Number {
		return
	}
	declared.state = state
	lwtlog.Info(declared.logger, "state-in-force", "number", state.Number)
}
