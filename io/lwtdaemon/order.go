package lwtdaemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"lacewingtide/core/lwtlease"
	"lacewingtide/core/lwtorder"
	"lacewingtide/io/lwtlog"
	"lacewingtide/io/lwtplatform"
)

func (authority *authority) executeOrder(group string, cmd lwtorder.Cmd) {
	answer := func(msg lwtorder.Msg) { authority.answer(groupMsg{group: group, order: msg}) }
	switch cmd := cmd.(type) {
	case lwtorder.ReadState:
		authority.submit(authority.engineCalls, func() { answer(authority.readState(cmd)) }, func() {
			answer(lwtorder.StateRead{Engine: cmd.Engine, Attempt: cmd.Attempt, Failed: true})
		})
	case lwtorder.ReadHead:
		authority.submit(authority.storeCalls, func() { answer(authority.readHead(cmd)) }, func() {
			answer(lwtorder.HeadRead{Fencing: cmd.Fencing, Failed: true})
		})
	case lwtorder.SendOrder:
		authority.submit(authority.engineCalls, func() { answer(authority.sendOrder(group, cmd)) }, func() {
			answer(lwtorder.OrderResult{Engine: cmd.Engine, Attempt: cmd.Attempt, Outcome: lwtorder.OutcomeNotSent})
		})
	case lwtorder.ReserveModels:
		authority.submit(authority.storeCalls, func() { answer(authority.reserve(cmd)) }, func() {
			answer(lwtorder.ReserveResult{Engine: cmd.Engine, Attempt: cmd.Attempt})
		})
	case lwtorder.ReleaseReservations:
		authority.submit(authority.storeCalls, func() { answer(authority.free(cmd)) }, func() {
			answer(lwtorder.ReleaseResult{Attempt: cmd.Attempt, Failed: true})
		})
	case lwtorder.RaiseFencing:
		go authority.answer(groupMsg{group: group, lease: lwtlease.RaiseFencing{Above: cmd.Above}})
	case lwtorder.MarkDraining:
		lwtlog.Info(authority.logger, "engine-draining", "engine", cmd.Engine, "draining", cmd.Draining)
	case lwtorder.LogPhaseChange:
		lwtlog.Info(authority.logger, "engine-phase", "engine", cmd.Engine, "phase", string(cmd.Phase), "reason", cmd.Reason)
	}
}

func (authority *authority) readState(cmd lwtorder.ReadState) lwtorder.StateRead {
	state, err := authority.engines.State(cmd.Address)
	if err != nil {
		lwtlog.Debug(authority.logger, "engine-read-failed", "engine", cmd.Engine, "err", err)
	}
	return lwtorder.StateRead{Engine: cmd.Engine, Attempt: cmd.Attempt, State: state, Failed: err != nil}
}

// readHead reads the number of the newest declared state. Without a row there
// is no state to fall behind.
func (authority *authority) readHead(cmd lwtorder.ReadHead) lwtorder.HeadRead {
	var head struct {
		Number int64 `json:"number"`
	}
	row, err := authority.platform.Row("config/head")
	if err == nil {
		err = json.Unmarshal(row.Value, &head)
	}
	if errors.Is(err, lwtplatform.ErrNotFound) {
		err = nil
	}
	if err != nil {
		lwtlog.Warn(authority.logger, "head-read-failed", "err", err)
	}
	return lwtorder.HeadRead{Fencing: cmd.Fencing, Revision: head.Number, Failed: err != nil}
}

func (authority *authority) sendOrder(group string, cmd lwtorder.SendOrder) lwtorder.OrderResult {
	outcome, err := authority.engines.SendOrder(cmd.Address, cmd.Order, func(now time.Time) bool {
		return authority.mayOrder(now, group, cmd.Order.Fencing, cmd.LeaseMargin)
	})
	lwtlog.Info(authority.logger, "order-sent", "engine", cmd.Engine, "fencing", cmd.Order.Fencing,
		"sequence", cmd.Order.Sequence, "outcome", string(outcome), "err", err)
	return lwtorder.OrderResult{Engine: cmd.Engine, Attempt: cmd.Attempt, Outcome: outcome}
}

const reservationPrefix = "reservation/"

// reservation is the row of a model whose last copy in a group is being taken
// out of service.
type reservation struct {
	Group string `json:"group"`
	// Fencing is that of the lease under which the row was written.
	Fencing int64 `json:"fencing"`
}

// reserve writes the reservation rows and then looks for other groups' copies.
// The order matters: after the write, no other group that has a copy gives up
// its last one.
func (authority *authority) reserve(cmd lwtorder.ReserveModels) lwtorder.ReserveResult {
	granted := true
	for _, model := range cmd.Models {
		if err := authority.reserveModel(reservation{cmd.Group, cmd.Fencing}, model); err != nil {
			lwtlog.Info(authority.logger, "reservation-not-granted", "group", cmd.Group, "model", model, "err", err)
			granted = false
			break
		}
		if !authority.servedElsewhere(cmd.Group, model) {
			granted = false
			break
		}
	}
	return lwtorder.ReserveResult{Engine: cmd.Engine, Attempt: cmd.Attempt, Models: cmd.Models, Granted: granted}
}

func (authority *authority) reserveModel(wanted reservation, model string) error {
	key := reservationPrefix + model
	row, err := authority.platform.Row(key)
	if err != nil && !errors.Is(err, lwtplatform.ErrNotFound) {
		return err
	}
	if row.Version > 0 {
		var holder reservation
		if err := json.Unmarshal(row.Value, &holder); err != nil {
			return fmt.Errorf("decode reservation: %w", err)
		}
		if holder == wanted {
			return nil
		}
		if holder.Group != wanted.Group || holder.Fencing > wanted.Fencing {
			return fmt.Errorf("reserved by group %s under fencing number %d", holder.Group, holder.Fencing)
		}
	}
	value, err := json.Marshal(wanted)
	if err != nil {
		return fmt.Errorf("encode reservation: %w", err)
	}
	result, err := authority.platform.Commit(lwtplatform.Transaction{
		Conditions: []lwtplatform.Condition{{Key: key, Version: row.Version}},
		Puts:       []lwtplatform.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return err
	}
	if !result.Committed {
		return errors.New("another group was first")
	}
	return nil
}

func (authority *authority) servedElsewhere(group, model string) bool {
	state, _ := authority.declared.State()
	for _, name := range state.EnginesServing(model) {
		engine := state.Engines[name]
		if engine.Group == group || engine.Draining {
			continue
		}
		engineState, err := authority.engines.State(engine.Address)
		if _, serves := engineState.Config.Models[model]; err == nil && serves && !engineState.Reconfiguring {
			return true
		}
	}
	return false
}

// free deletes the group's reservation rows, but none of a later holder of the
// lease: this one may have been paused on the way.
func (authority *authority) free(cmd lwtorder.ReleaseReservations) lwtorder.ReleaseResult {
	freed := lwtorder.ReleaseResult{Attempt: cmd.Attempt}
	rows, err := authority.platform.Rows(reservationPrefix)
	if err != nil {
		lwtlog.Warn(authority.logger, "reservations-not-freed", "group", cmd.Group, "err", err)
		freed.Failed = true
	}
	for _, row := range rows {
		var holder reservation
		if err := json.Unmarshal(row.Value, &holder); err != nil || holder.Group != cmd.Group ||
			holder.Fencing > cmd.Fencing {
			continue
		}
		_, err := authority.platform.Commit(lwtplatform.Transaction{
			Conditions: []lwtplatform.Condition{{Key: row.Key, Version: row.Version}}, Deletes: []string{row.Key},
		})
		freed.Failed = freed.Failed || err != nil
		lwtlog.Info(authority.logger, "reservation-freed", "group", cmd.Group, "row", row.Key, "err", err)
	}
	return freed
}
