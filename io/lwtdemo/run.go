package lwtdemo

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"
)

// Times of the demo's events since the start of the traffic, and the timeout of the
// role change.
const (
	roleChangeAt = 3 * time.Second
	killAt       = 6 * time.Second
	leaveAt      = 9 * time.Second
	trafficEnd   = 18 * time.Second
	roleTimeout  = 12 * time.Second
	// leavingDaemonIndex selects the daemon that shuts down gracefully.
	leavingDaemonIndex = 2
)

// Options configures a run.
type Options struct {
	Layout Layout
	Logger log.Logger
	// Progress is called with a line of text after each step.
	Progress func(line string)
}

// Run runs the demo once and returns its result. An error means that the demo itself
// failed; violated guarantees are listed in the result.
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
	run := run{Options: options, fleet: fleet, recorder: newRecorder()}
	if err := run.runTraffic(ctx); err != nil {
		return Result{}, err
	}
	return fleet.evaluate(run.recorder), nil
}

// DeclareInitialState submits the first ticket and waits until all daemons have
// activated it.
func (fleet *Fleet) DeclareInitialState() error {
	revision, err := fleet.submit(0, fleet.initialChange())
	if err != nil {
		return err
	}
	return fleet.AwaitState(revision)
}

// run is the state of one run of the demo.
type run struct {
	Options
	fleet     *Fleet
	recorder  *recorder
	startedAt time.Time
}

// runTraffic sends traffic and triggers the events while it runs.
func (run *run) runTraffic(ctx context.Context) error {
	traffic := newTraffic(run.fleet, run.recorder)
	trafficCtx, stop := context.WithCancel(ctx)
	defer stop()
	run.startedAt = time.Now()
	traffic.start(trafficCtx)
	err := run.runEvents(ctx)
	stop()
	traffic.wait()
	return err
}

// runEvents changes an engine's role, kills one daemon and stops another, at their
// times.
func (run *run) runEvents(ctx context.Context) error {
	run.waitUntil(ctx, roleChangeAt)
	submitted := time.Now()
	revision, err := run.fleet.submit(1, run.fleet.roleChange())
	if err != nil {
		return err
	}
	if err := run.fleet.AwaitState(revision); err != nil {
		return err
	}
	run.reportProgress("ticket %d (another role for one engine) is in force everywhere after %s",
		revision, roundedSince(submitted))

	run.waitUntil(ctx, killAt)
	run.fleet.daemons[killedDaemonIndex].kill()
	run.reportProgress("%s is killed", run.fleet.daemons[killedDaemonIndex].settings.Name)

	run.waitUntil(ctx, leaveAt)
	leaving := run.fleet.daemons[leavingDaemonIndex]
	leaving.leave()
	if err := <-leaving.ended; err != nil {
		run.recorder.recordViolation("%s left with an error: %v", leaving.settings.Name, err)
	}
	leaving.ended <- nil
	run.reportProgress("%s has left", leaving.settings.Name)

	run.awaitRole(ctx)
	run.waitUntil(ctx, trafficEnd)
	run.reportProgress("the callers stop")
	return ctx.Err()
}

// awaitRole waits until the engine of the second ticket has its new role. It records
// a violation if that takes longer than roleTimeout.
func (run *run) awaitRole(ctx context.Context) {
	want := run.fleet.roleChange().Engines[0]
	engine := run.fleet.engines[len(run.fleet.engines)-1]
	deadline := time.Now().Add(roleTimeout)
	for engine.Role() != want.Role {
		if time.Now().After(deadline) || ctx.Err() != nil {
			run.recorder.recordViolation("%s runs as %s, declared is %s", want.Name, engine.Role(), want.Role)
			return
		}
		time.Sleep(pollInterval)
	}
	run.reportProgress("%s runs as %s", want.Name, want.Role)
}

// waitUntil waits until an offset from the start of the run, or until ctx ends.
func (run *run) waitUntil(ctx context.Context, offset time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(run.startedAt.Add(offset))):
	}
}

func (run *run) reportProgress(format string, args ...any) {
	run.Progress(fmt.Sprintf("%5.1f s  ", time.Since(run.startedAt).Seconds()) + fmt.Sprintf(format, args...))
}

func roundedSince(start time.Time) time.Duration { return time.Since(start).Round(time.Millisecond) }
