// Package lwtdaemon builds one entry daemon and its supervisor tree.
package lwtdaemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/go-kit/log"
	"github.com/thejerf/suture/v4"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/io/lwtengine"
	"lacewingtide/io/lwtentry"
	"lacewingtide/io/lwtlog"
	"lacewingtide/io/lwtmetric"
	"lacewingtide/io/lwtoperator"
	"lacewingtide/io/lwtpeer"
	"lacewingtide/io/lwtplatform"
	"lacewingtide/io/lwtsetting"
)

// Listeners are the open sockets of a daemon.
type Listeners struct {
	Entry    net.Listener
	Peer     net.Listener
	Operator net.Listener
}

// Listen opens the sockets that the settings name.
func Listen(settings lwtsetting.Settings) (Listeners, error) {
	var listeners Listeners
	var err error
	if listeners.Entry, err = net.Listen("tcp", settings.EntryAddress); err != nil {
		return listeners, fmt.Errorf("listen for callers: %w", err)
	}
	if listeners.Peer, err = net.Listen("tcp", settings.PeerAddress); err != nil {
		return listeners, fmt.Errorf("listen for peers: %w", err)
	}
	if listeners.Operator, err = net.Listen("tcp", settings.OperatorAddress); err != nil {
		return listeners, fmt.Errorf("listen for operators: %w", err)
	}
	return listeners, nil
}

// Daemon is one entry daemon.
type Daemon struct {
	settings  lwtsetting.Settings
	logger    log.Logger
	listeners Listeners
	declared  *declared
	router    *router
	limiter   *limiter
	claims    *claims
	entry     *lwtentry.Server
	platform  *lwtplatform.Client
	engines   *lwtengine.Client
	metrics   *lwtmetric.Metrics
	observer  *observer
	operator  *lwtoperator.Server
	status    *lwtoperator.StatusRegistry
	authority *authority
	peers     *lwtpeer.Network
	members   *members
	releasers []Releaser
	join      *join
	drains    *drains
	halt      sync.Once
	halted    chan struct{}
}

// New returns a daemon that serves on open listeners.
func New(settings lwtsetting.Settings, listeners Listeners, logger log.Logger) (*Daemon, error) {
	var metrics *lwtmetric.Metrics
	var err error
	if metrics, err = lwtmetric.New(settings.Name); err != nil {
		return nil, err
	}
	daemon := &Daemon{
		settings:  settings,
		logger:    log.With(logger, "daemon", settings.Name),
		listeners: listeners,
		platform:  lwtplatform.New(settings.Platform.Address, settings.Platform.Timeout.Std()),
		engines:   lwtengine.New(),
		metrics:   metrics,
		halted:    make(chan struct{}),
	}
	daemon.declared = newDeclared(settings.Name, daemon.platform, daemon.logger)
	daemon.operator, daemon.status = newOperator(settings, daemon.declared, daemon.logger)
	daemon.router = newRouter(daemon.declared)
	daemon.observer = newObserver(settings.Name, daemon.declared, metrics.Scope())
	daemon.operator.HandleBurn(daemon.observer.Snapshot)
	daemon.operator.Handle("GET", "/metrics", metrics.Handle)
	daemon.claims = newClaims(daemon.platform, settings.Name, daemon.logger)
	daemon.peers, daemon.members = newMembers(settings, listeners, daemon.declared, daemon.platform, daemon.logger)
	daemon.limiter = newLimiter(daemon.declared, settings.Name, newLimitHomes(daemon.members).Of,
		func() int { return daemon.members.Model().LiveCount() })
	daemon.authority = newAuthority(runName(daemon.members.Model().Self()), daemon.declared, daemon.platform,
		daemon.engines, daemon.logger)
	daemon.drains = newDrains(daemon.authority.Draining, daemon.peers, daemon.logger)
	daemon.router.draining = func(engine lwtdeclaredstate.Engine) bool {
		return daemon.drains.Draining(engine.Name) || daemon.members.BackendLeaving(engine.Address)
	}
	daemon.join = newJoin(daemon)
	daemon.entry = lwtentry.New(lwtentry.Dependencies{
		StateSource:      daemon.declared,
		Router:           daemon.router,
		Limiter:          daemon.limiter,
		AddressSource:    newAddresses(daemon.members, settings),
		Observer:         daemon.observer,
		Forwarder:        newForwarder(daemon.claims, settings.AvailabilityZone, daemon.members.BackendLeaving, daemon.logger),
		Engines:          daemon.engines,
		Logger:           daemon.logger,
		StreamKey:        []byte(settings.PeerKey),
		Name:             settings.Name,
		AvailabilityZone: settings.AvailabilityZone,
	})
	return daemon, nil
}

// Halt ends Run at once, as a crash would: the daemon leaves nothing in order.
// It is meant for tests of failures.
func (daemon *Daemon) Halt() { daemon.halt.Do(func() { close(daemon.halted) }) }

// Run serves until ctx ends, then shuts down gracefully.
func (daemon *Daemon) Run(ctx context.Context) error {
	supervisor := suture.New("daemon "+daemon.settings.Name, suture.Spec{EventHook: daemon.supervised})
	supervisor.Add(daemon.declared)
	supervisor.Add(daemon.claims)
	supervisor.Add(daemon.authority)
	supervisor.Add(newRouterPoll(daemon.router, daemon.engines, daemon.logger))
	supervisor.Add(newPlanner(daemon.router, daemon.authority, daemon.settings.Planner,
		func() int { return len(daemon.members.runs()) }, daemon.logger))
	supervisor.Add(serverPart{"operator", func() error { return daemon.operator.Serve(daemon.listeners.Operator) }})
	entry := drainListener(daemon.listeners.Entry)
	supervisor.Add(serverPart{"entry", func() error { return daemon.entry.Serve(entry) }})
	supervisor.Add(daemon.members)
	supervisor.Add(daemon.join)
	supervisor.Add(daemon.drains)
	supervisor.Add(serverPart{"peers", func() error { return daemon.peers.Serve(daemon.listeners.Peer) }})
	lwtlog.Info(daemon.logger, "daemon-started", "entry-address", daemon.listeners.Entry.Addr(),
		"availability-zone", daemon.settings.AvailabilityZone)
	parts, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	daemon.declared.connect(daemon.peers)
	daemon.members.OnNumber(func(number int64, from string) { daemon.declared.peerNumber(from, number) })
	ended := supervisor.ServeBackground(parts)
	var err error
	select {
	case <-ctx.Done():
		err = daemon.shutdown(parts, entry)
		daemon.claims.Drain(claimDrain)
		err = errors.Join(err, daemon.operator.Shutdown(parts))
	case <-daemon.halted:
		daemon.closeListeners()
	}
	stop()
	if ended := <-ended; !errors.Is(ended, context.Canceled) {
		lwtlog.Warn(daemon.logger, "supervisor-ended", "err", ended)
	}
	lwtlog.Info(daemon.logger, "daemon-stopped", "err", err)
	return err
}

func (daemon *Daemon) closeListeners() {
	daemon.peers.Close()
	for _, listener := range []net.Listener{daemon.listeners.Entry, daemon.listeners.Peer, daemon.listeners.Operator} {
		// The daemon ends without order.
		_ = listener.Close()
	}
}

func (daemon *Daemon) supervised(event suture.Event) {
	lwtlog.Warn(daemon.logger, "part-event", "detail", event.String())
}

// State returns the declared state in force.
func (daemon *Daemon) State() (lwtdeclaredstate.State, bool) { return daemon.declared.State() }

// serverPart runs a server in the supervisor tree. The server is stopped by
// its own shutdown, so the part outlives its context until then.
type serverPart struct {
	name  string
	serve func() error
}

// Serve implements suture.Service.
func (part serverPart) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- part.serve() }()
	select {
	case err := <-failed:
		if err == nil {
			// The server was shut down.
			return suture.ErrDoNotRestart
		}
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// String names the part in logs.
func (part serverPart) String() string { return part.name }
