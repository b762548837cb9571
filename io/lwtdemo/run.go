package lwtdemo

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"
)

// Times of the demo's events, from the start of the traffic.
const (
	roleChangeAt = 3 * time.Second
	killAt       = 6 * time.Second
	leaveAt      = 9 * time.Second
	trafficEnd   = 18 * time.Second
	roleTimeout  = 12 * time.Second
	// leavingDaemon is the index of the daemon that leaves gracefully.
	leavingDaemon = 2
)

// Options are the inputs of a run.
type Options struct {
	Layout Layout
	Logger log.Logger
	// Progress is told each step.
	Progress func(line string)
}

// Run runs the demo once and returns its score. An error means that the demo
// itself failed; broken guarantees are in the score.
func Run(ctx context.Context, options Options) (Result, error) {
	fleet, err := Start(ctx, options.Layout, options.Logger)
	if err != nil {
		return Result{}, err
	}
	defer fleet.Stop()
	options.Progress(fmt.Sprintf("%s: platform, %d engines, %d shop servers and %d daemons run",
		options.Layout.Name, options.Layout.Engines, options.Layout.Shops, options.Layout.Daemons))
	if err := fleet.DeclareInitialState(); err != nil {
		return Result{}, err
	}
	options.Progress("ticket 1 (the whole fleet) is in force everywhere")
	run := run{Options: options, fleet: fleet, scores: newScores()}
	if err := run.play(ctx); err != nil {
		return Result{}, err
	}
	return fleet.judge(run.scores), nil
}

// DeclareInitialState submits the first ticket and waits until it is in force.
func (fleet *Fleet) DeclareInitialState() error {
	number, err := fleet.submit(0, fleet.firstChange())
	if err != nil {
		return err
	}
	return fleet.AwaitState(number)
}

type run struct {
	Options
	fleet  *Fleet
	scores *scores
	began  time.Time
}

// play sends traffic and causes the events in the middle of it.
func (run *run) play(ctx context.Context) error {
	traffic := newTraffic(run.fleet, run.scores)
	callers, stop := context.WithCancel(ctx)
	defer stop()
	run.began = time.Now()
	traffic.start(callers)
	err := run.events(ctx)
	stop()
	traffic.wait()
	return err
}

func (run *run) events(ctx context.Context) error {
	run.at(ctx, roleChangeAt)
	submitted := time.Now()
	number, err := run.fleet.submit(1, run.fleet.roleChange())
	if err != nil {
		return err
	}
	if err := run.fleet.AwaitState(number); err != nil {
		return err
	}
	run.tell("ticket %d (another role for one engine) is in force everywhere after %s", number, since(submitted))

	run.at(ctx, killAt)
	run.fleet.daemons[killedDaemon].kill()
	run.tell("%s is killed", run.fleet.daemons[killedDaemon].settings.Name)

	run.at(ctx, leaveAt)
	leaving := run.fleet.daemons[leavingDaemon]
	leaving.leave()
	if err := <-leaving.ended; err != nil {
		run.scores.violate("%s left with an error: %v", leaving.settings.Name, err)
	}
	leaving.ended <- nil
	run.tell("%s has left", leaving.settings.Name)

	run.awaitRole(ctx)
	run.at(ctx, trafficEnd)
	run.tell("the callers stop")
	return ctx.Err()
}

// awaitRole waits until the engine of the second ticket runs its new role.
func (run *run) awaitRole(ctx context.Context) {
	want := run.fleet.roleChange().Engines[0]
	engine := run.fleet.engines[len(run.fleet.engines)-1]
	deadline := time.Now().Add(roleTimeout)
	for engine.Role() != want.Role {
		if time.Now().After(deadline) || ctx.Err() != nil {
			run.scores.violate("%s runs as %s, declared is %s", want.Name, engine.Role(), want.Role)
			return
		}
		time.Sleep(readyPoll)
	}
	run.tell("%s runs as %s", want.Name, want.Role)
}

// at waits until a time of the run.
func (run *run) at(ctx context.Context, offset time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(run.began.Add(offset))):
	}
}

func (run *run) tell(format string, args ...any) {
	run.Progress(fmt.Sprintf("%5.1f s  ", time.Since(run.began).Seconds()) + fmt.Sprintf(format, args...))
}

func since(began time.Time) time.Duration { return time.Since(began).Round(time.Millisecond) }
