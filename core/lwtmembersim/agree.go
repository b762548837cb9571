package lwtmembersim

import (
	"fmt"
	"time"

	"lacewingtide/core/lwtmember"
)

// running reports whether the daemon with the given index is up and not paused.
func (cluster *Cluster) running(index int) bool {
	daemon, found := cluster.daemons[Address(index)]
	return found && daemon.Up && !cluster.now.Before(daemon.pausedUntil)
}

// CheckAgreement returns nil if the live members of every running daemon are exactly
// the running daemons, with their current boot numbers and statuses.
func (cluster *Cluster) CheckAgreement() error {
	var running []int
	for index := range cluster.names {
		if cluster.running(index) {
			running = append(running, index)
		}
	}
	for _, observer := range running {
		// Comparing hashes is much cheaper than comparing tables.
		if cluster.tableHash(observer) != cluster.tableHash(running[0]) {
			return fmt.Errorf("%s and %s have different tables", Name(observer), Name(running[0]))
		}
	}
	for _, observer := range running {
		if err := cluster.checkView(observer, running); err != nil {
			return err
		}
	}
	return nil
}

func (cluster *Cluster) tableHash(index int) uint64 {
	return cluster.daemons[Address(index)].Model.TableHash()
}

// checkView returns nil if the live members of the observer are exactly the running
// daemons.
func (cluster *Cluster) checkView(observer int, running []int) error {
	model := cluster.daemons[Address(observer)].Model
	if model.LiveCount() != len(running) {
		return fmt.Errorf("%s has %d live members, want %d", Name(observer), model.LiveCount(), len(running))
	}
	for _, index := range running {
		if index == observer {
			continue
		}
		want := cluster.daemons[Address(index)].Model.Self()
		record, found := model.Member(Address(index))
		if !found || record.Boot != want.Boot || record.Status != want.Status {
			return fmt.Errorf("%s has %s as %s (boot %d), want %s (boot %d)", Name(observer), Name(index),
				record.Status, record.Boot, want.Status, want.Boot)
		}
	}
	return nil
}

// CountStatus returns how many running daemons have the daemon with the given index in
// the status, and how many daemons are running. Neither counts that daemon itself.
func (cluster *Cluster) CountStatus(index int, status lwtmember.Status) (holders, running int) {
	for observer := range cluster.names {
		if observer == index || !cluster.running(observer) {
			continue
		}
		running++
		record, found := cluster.daemons[Address(observer)].Model.Member(Address(index))
		if found && record.Status == status {
			holders++
		}
	}
	return holders, running
}

// StartAll starts all daemons with the addresses of all daemons as the VM list, and
// runs until they agree or the timeout passes. It returns the virtual time that this
// took.
func (cluster *Cluster) StartAll(timeout time.Duration) (time.Duration, error) {
	var all []string
	for index := range cluster.names {
		all = append(all, Address(index))
	}
	for index := range cluster.names {
		cluster.Start(index, all, false)
	}
	took, agreed := cluster.RunUntil(timeout, func() bool { return cluster.CheckAgreement() == nil })
	if !agreed {
		return took, fmt.Errorf("no agreement after %s: %w", took, cluster.CheckAgreement())
	}
	return took, nil
}
