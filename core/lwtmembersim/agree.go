package lwtmembersim

import (
	"fmt"
	"time"

	"lacewingtide/core/lwtmember"
)

// running reports whether the daemon with an index is up and not paused.
func (fleet *Cluster) running(index int) bool {
	daemon, found := fleet.daemons[Address(index)]
	return found && daemon.Up && !fleet.now.Before(daemon.pausedUntil)
}

// CheckAgreement returns nil when every running daemon holds exactly the running
// daemons for live, at their present boot numbers.
func (fleet *Cluster) CheckAgreement() error {
	var running []int
	for index := range fleet.names {
		if fleet.running(index) {
			running = append(running, index)
		}
	}
	for _, viewer := range running {
		// Unequal hashes show a difference at a small part of the cost.
		if fleet.sum(viewer) != fleet.sum(running[0]) {
			return fmt.Errorf("%s and %s hold different tables", Name(viewer), Name(running[0]))
		}
	}
	for _, viewer := range running {
		if err := fleet.agrees(viewer, running); err != nil {
			return err
		}
	}
	return nil
}

func (fleet *Cluster) sum(index int) uint64 { return fleet.daemons[Address(index)].Model.TableHash() }

func (fleet *Cluster) agrees(viewer int, running []int) error {
	model := fleet.daemons[Address(viewer)].Model
	if model.LiveCount() != len(running) {
		return fmt.Errorf("%s sees %d live daemons, want %d", Name(viewer), model.LiveCount(), len(running))
	}
	for _, index := range running {
		if index == viewer {
			continue
		}
		truth := fleet.daemons[Address(index)].Model.Self()
		held, found := model.Member(Address(index))
		if !found || held.Boot != truth.Boot || held.Status != truth.Status {
			return fmt.Errorf("%s holds %s for %s (boot %d), want %s (boot %d)", Name(viewer), Name(index),
				held.Status, held.Boot, truth.Status, truth.Boot)
		}
	}
	return nil
}

// CountStatus returns how many running daemons hold a status for the daemon with an
// index, without that daemon itself.
func (fleet *Cluster) CountStatus(index int, status lwtmember.Status) (holders, running int) {
	for viewer := range fleet.names {
		if viewer == index || !fleet.running(viewer) {
			continue
		}
		running++
		held, found := fleet.daemons[Address(viewer)].Model.Member(Address(index))
		if found && held.Status == status {
			holders++
		}
	}
	return holders, running
}

// StartAll starts all daemons with the whole VM list and runs until they
// agree, at most for a span.
func (fleet *Cluster) StartAll(most time.Duration) (time.Duration, error) {
	var all []string
	for index := range fleet.names {
		all = append(all, Address(index))
	}
	for index := range fleet.names {
		fleet.Start(index, all, false)
	}
	took, agreed := fleet.RunUntil(most, func() bool { return fleet.CheckAgreement() == nil })
	if !agreed {
		return took, fmt.Errorf("no agreement after %s: %w", took, fleet.CheckAgreement())
	}
	return took, nil
}
