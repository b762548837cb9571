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

func (controller *groupController) executeOrderCmd(group string, cmd lwtorder.Cmd) {
	send := func(msg lwtorder.Msg) { controller.sendResult(groupMsg{group: group, order: msg}) }
	switch cmd := cmd.(type) {
	case lwtorder.ReadState:
		controller.submit(controller.enginePool, func() { send(controller.readState(cmd)) }, func() {
			send(lwtorder.StateRead{Engine: cmd.Engine, Attempt: cmd.Attempt, Failed: true})
		})
	case lwtorder.ReadHead:
		controller.submit(controller.storePool, func() { send(controller.readHead(cmd)) }, func() {
			send(lwtorder.HeadRead{Fencing: cmd.Fencing, Failed: true})
		})
	case lwtorder.SendOrder:
		controller.submit(controller.enginePool, func() { send(controller.sendOrder(group, cmd)) }, func() {
			send(lwtorder.OrderResult{Engine: cmd.Engine, Attempt: cmd.Attempt, Outcome: lwtorder.OutcomeNotSent})
		})
	case lwtorder.ReserveModels:
		controller.submit(controller.storePool, func() { send(controller.reserveModels(cmd)) }, func() {
			send(lwtorder.ReserveResult{Engine: cmd.Engine, Attempt: cmd.Attempt})
		})
	case lwtorder.ReleaseReservations:
		controller.submit(controller.storePool, func() { send(controller.releaseReservations(cmd)) }, func() {
			send(lwtorder.ReleaseResult{Attempt: cmd.Attempt, Failed: true})
		})
	case lwtorder.RaiseFencing:
		go controller.sendResult(groupMsg{group: group, lease: lwtlease.RaiseFencing{Above: cmd.Above}})
	case lwtorder.MarkDraining:
		lwtlog.Info(controller.logger, "engine-draining", "engine", cmd.Engine, "draining", cmd.Draining)
	case lwtorder.LogPhaseChange:
		lwtlog.Info(controller.logger, "engine-phase", "engine", cmd.Engine, "phase", string(cmd.Phase), "reason", cmd.Reason)
	}
}

func (controller *groupController) readState(cmd lwtorder.ReadState) lwtorder.StateRead {
	state, err := controller.engines.State(cmd.Address)
	if err != nil {
		lwtlog.Debug(controller.logger, "engine-read-failed", "engine", cmd.Engine, "err", err)
	}
	return lwtorder.StateRead{Engine: cmd.Engine, Attempt: cmd.Attempt, State: state, Failed: err != nil}
}

// readHead reads the latest revision of the declared state from the store. If the
// row does not exist, the revision is 0, because there is no state that this daemon
// could lag behind.
func (controller *groupController) readHead(cmd lwtorder.ReadHead) lwtorder.HeadRead {
	var head struct {
		Number int64 `json:"number"`
	}
	row, err := controller.platform.Row("config/head")
	if err == nil {
		err = json.Unmarshal(row.Value, &head)
	}
	if errors.Is(err, lwtplatform.ErrNotFound) {
		err = nil
	}
	if err != nil {
		lwtlog.Warn(controller.logger, "head-read-failed", "err", err)
	}
	return lwtorder.HeadRead{Fencing: cmd.Fencing, Revision: head.Number, Failed: err != nil}
}

func (controller *groupController) sendOrder(group string, cmd lwtorder.SendOrder) lwtorder.OrderResult {
	outcome, err := controller.engines.SendOrder(cmd.Address, cmd.Order, func(now time.Time) bool {
		return controller.leaseValidFor(now, group, cmd.Order.Fencing, cmd.LeaseMargin)
	})
	lwtlog.Info(controller.logger, "order-sent", "engine", cmd.Engine, "fencing", cmd.Order.Fencing,
		"sequence", cmd.Order.Sequence, "outcome", string(outcome), "err", err)
	return lwtorder.OrderResult{Engine: cmd.Engine, Attempt: cmd.Attempt, Outcome: outcome}
}

const reservationPrefix = "reservation/"

// reservation is the row of a model whose last replica in a group is being taken
// out of service.
type reservation struct {
	Group string `json:"group"`
	// Fencing is the fencing number of the lease under which the row was written.
	Fencing int64 `json:"fencing"`
}

// reserveModels writes the reservation rows of the models and then checks that
// another group serves each of them. The order matters: once the row is written, no
// other group takes its last replica of the model out of service.
func (controller *groupController) reserveModels(cmd lwtorder.ReserveModels) lwtorder.ReserveResult {
	granted := true
	for _, model := range cmd.Models {
		if err := controller.reserveModel(reservation{cmd.Group, cmd.Fencing}, model); err != nil {
			lwtlog.Info(controller.logger, "reservation-not-granted", "group", cmd.Group, "model", model, "err", err)
			granted = false
			break
		}
		if !controller.servedElsewhere(cmd.Group, model) {
			granted = false
			break
		}
	}
	return lwtorder.ReserveResult{Engine: cmd.Engine, Attempt: cmd.Attempt, Models: cmd.Models, Granted: granted}
}

func (controller *groupController) reserveModel(wanted reservation, model string) error {
	key := reservationPrefix + model
	row, err := controller.platform.Row(key)
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
	result, err := controller.platform.Commit(lwtplatform.Transaction{
		Conditions: []lwtplatform.Condition{{Key: key, Version: row.Version}},
		Puts:       []lwtplatform.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return err
	}
	if !result.Committed {
		return errors.New("the reservation row was changed concurrently")
	}
	return nil
}

func (controller *groupController) servedElsewhere(group, model string) bool {
	state, _ := controller.syncer.State()
	for _, name := range state.EnginesServing(model) {
		engine := state.Engines[name]
		if engine.Group == group || engine.Draining {
			continue
		}
		engineState, err := controller.engines.State(engine.Address)
		if _, serves := engineState.Config.Models[model]; err == nil && serves && !engineState.Reconfiguring {
			return true
		}
	}
	return false
}

// releaseReservations deletes the reservation rows of a group. It skips rows with a
// higher fencing number: if this daemon was paused, they belong to a later holder of
// the lease.
func (controller *groupController) releaseReservations(cmd lwtorder.ReleaseReservations) lwtorder.ReleaseResult {
	result := lwtorder.ReleaseResult{Attempt: cmd.Attempt}
	rows, err := controller.platform.Rows(reservationPrefix)
	if err != nil {
		lwtlog.Warn(controller.logger, "reservations-not-freed", "group", cmd.Group, "err", err)
		result.Failed = true
	}
	for _, row := range rows {
		var holder reservation
		if err := json.Unmarshal(row.Value, &holder); err != nil || holder.Group != cmd.Group ||
			holder.Fencing > cmd.Fencing {
			continue
		}
		_, err := controller.platform.Commit(lwtplatform.Transaction{
			Conditions: []lwtplatform.Condition{{Key: row.Key, Version: row.Version}}, Deletes: []string{row.Key},
		})
		result.Failed = result.Failed || err != nil
		lwtlog.Info(controller.logger, "reservation-freed", "group", cmd.Group, "row", row.Key, "err", err)
	}
	return result
}
