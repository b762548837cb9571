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

// releaseTimeout bounds the time that all releasers together may take.
const releaseTimeout = 5 * time.Second

// Releaser releases a resource that the daemon holds in the fleet, such as a lease,
// when the daemon shuts down.
type Releaser interface {
	// Release returns when the resource is released or ctx ends. The daemon continues
	// to serve requests meanwhile and afterwards.
	Release(ctx context.Context) error
}

// AddReleaser adds a Releaser to call at shutdown. It must be called before Run.
func (daemon *Daemon) AddReleaser(releaser Releaser) {
	daemon.releasers = append(daemon.releasers, releaser)
}

// shutdown stops the daemon without interrupting a request. It withdraws the entry
// address, calls the releasers, serves until the address has expired at all callers,
// accepts the connections that are still queued, and waits for the last response.
func (daemon *Daemon) shutdown(ctx context.Context, entry net.Listener) error {
	drainEnd := time.After(daemon.settings.Addresses.DrainTime.Std())
	lwtlog.Info(daemon.logger, "daemon-leaving", "drain", daemon.settings.Addresses.DrainTime.Std())
	daemon.members.Leave(ctx)
	daemon.entry.Drain()
	daemon.releaseAll(ctx)
	<-drainEnd
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

// wrapEntryListener wraps the listener for callers, so that it can be drained. A
// listener for another protocol than TCP is returned unchanged.
func wrapEntryListener(listener net.Listener) net.Listener {
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

func (daemon *Daemon) releaseAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var releases sync.WaitGroup
	for _, releaser := range daemon.releasers {
		releases.Go(func() {
			if err := releaser.Release(ctx); err != nil {
				lwtlog.Warn(daemon.logger, "release-failed", "err", err)
			}
		})
	}
	releases.Wait()
}
