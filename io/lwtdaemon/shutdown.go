package lwtdaemon

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"lacewingtide/io/lwtentry"
	"lacewingtide/io/lwtlog"
)

// releaseTimeout bounds the release of what the daemon holds.
const releaseTimeout = 5 * time.Second

// Releaser gives up something that the daemon holds for the fleet, such as a
// lease, when the daemon leaves.
type Releaser interface {
	// Release returns when the thing is given up or ctx ends. The daemon goes
	// on serving meanwhile and afterwards.
	Release(ctx context.Context) error
}

// AddReleaser adds what is to be given up when the daemon leaves. It is called
// before Run.
func (daemon *Daemon) AddReleaser(releaser Releaser) {
	daemon.releasers = append(daemon.releasers, releaser)
}

// shutdown leaves without cutting a request: it takes the daemon out of the
// address answers, gives up what it holds, serves on until no caller keeps the
// address, accepts what is still queued, and waits for the last answer.
func (daemon *Daemon) shutdown(ctx context.Context, entry net.Listener) error {
	drain := time.After(daemon.settings.Addresses.DrainTime.Std())
	lwtlog.Info(daemon.logger, "daemon-leaving", "drain", daemon.settings.Addresses.DrainTime.Std())
	daemon.members.Leave(ctx)
	daemon.entry.Drain()
	daemon.release(ctx)
	<-drain
	lwtlog.Info(daemon.logger, "daemon-finishing")
	if drainable, found := entry.(*lwtentry.DrainListener); found {
		if err := drainable.Drain(); err != nil {
			lwtlog.Warn(daemon.logger, "listener-failed", "err", err)
		}
	}
	err := daemon.entry.Shutdown()
	daemon.peers.Close()
	return errors.Join(err, closeListener(daemon.listeners.Peer))
}

// drainListener wraps the listener for callers. One that is no TCP listener is
// returned unchanged.
func drainListener(listener net.Listener) net.Listener {
	if tcp, found := listener.(*net.TCPListener); found {
		return lwtentry.NewDrainListener(tcp)
	}
	return listener
}

func closeListener(listener net.Listener) error {
	if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

func (daemon *Daemon) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, releaser := range daemon.releasers {
		all.Go(func() {
			if err := releaser.Release(ctx); err != nil {
				lwtlog.Warn(daemon.logger, "release-failed", "err", err)
			}
		})
	}
	all.Wait()
}
