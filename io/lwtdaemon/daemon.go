// Package lwtdaemon builds and runs an entry daemon. It connects the request path,
// the membership, the declared state and the control of engine groups, and runs them
// in a supervisor tree.
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

// Listeners contains the listening sockets of a daemon.
type Listeners struct {
	Entry    net.Listener
	Peer     net.Listener
	Operator net.Listener
}

// Listen opens the listening sockets at the addresses in the settings.
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
	settings     lwtsetting.Settings
	logger       log.Logger
	listeners    Listeners
	stateSyncer  *stateSyncer
	router       *router
	limiter      *limiter
	claims       *claims
	entry        *lwtentry.Server
	platform     *lwtplatform.Client
	engines      *lwtengine.Client
	metrics      *lwtmetric.Metrics
	observer     *observer
	operator     *lwtoperator.Server
	status       *lwtoperator.StatusRegistry
	groups       *groupController
	peers        *lwtpeer.Network
	members      *members
	releasers    []Releaser
	publisher    *metadataPublisher
	drainTracker *drainTracker
	haltOnce     sync.Once
	halted       chan struct{}
}

// New returns a daemon that serves on the given listeners.
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
	daemon.stateSyncer = newStateSyncer(settings.Name, daemon.platform, daemon.logger)
	daemon.operator, daemon.status = newOperator(settings, daemon.stateSyncer, daemon.logger)
	daemon.router = newRouter(daemon.stateSyncer)
	daemon.observer = newObserver(settings.Name, daemon.stateSyncer, metrics.Scope())
	daemon.operator.HandleBurn(daemon.observer.Snapshot)
	daemon.operator.Handle("GET", "/metrics", metrics.Handle)
	daemon.claims = newClaims(daemon.platform, settings.Name, daemon.logger)
	daemon.peers, daemon.members = newMembers(settings, listeners, daemon.stateSyncer, daemon.platform, daemon.logger)
	daemon.limiter = newLimiter(daemon.stateSyncer, settings.Name, newQuotaDaemons(daemon.members).HomeDaemons,
		func() int { return daemon.members.Model().LiveCount() })
	daemon.groups = newGroupController(leaseHolder(daemon.members.Model().Self()), daemon.stateSyncer, daemon.platform,
		daemon.engines, daemon.logger)
	daemon.drainTracker = newDrainTracker(daemon.groups.Draining, daemon.peers, daemon.logger)
	daemon.router.isDraining = func(engine lwtdeclaredstate.Engine) bool {
		return daemon.drainTracker.Draining(engine.Name) || daemon.members.BackendLeaving(engine.Address)
	}
	daemon.publisher = newMetadataPublisher(daemon)
	daemon.entry = lwtentry.New(lwtentry.Dependencies{
		StateSource:   daemon.stateSyncer,
		Router:        daemon.router,
		Limiter:       daemon.limiter,
		AddressSource: newAddressSource(daemon.members, settings),
		Observer:      daemon.observer,
		Forwarder: newForwarder(daemon.claims, settings.AvailabilityZone, daemon.members.BackendLeaving,
			daemon.logger),
		Engines:          daemon.engines,
		Logger:           daemon.logger,
		StreamKey:        []byte(settings.PeerKey),
		Name:             settings.Name,
		AvailabilityZone: settings.AvailabilityZone,
	})
	return daemon, nil
}

// Halt ends Run at once and without a shutdown, as a crash would. It is meant for
// failure tests.
func (daemon *Daemon) Halt() { daemon.haltOnce.Do(func() { close(daemon.halted) }) }

// Run serves until ctx ends, then shuts down gracefully.
func (daemon *Daemon) Run(ctx context.Context) error {
	supervisor := suture.New("daemon "+daemon.settings.Name, suture.Spec{EventHook: daemon.logSupervisorEvent})
	supervisor.Add(daemon.stateSyncer)
	supervisor.Add(daemon.claims)
	supervisor.Add(daemon.groups)
	supervisor.Add(newEnginePoller(daemon.router, daemon.engines, daemon.logger))
	supervisor.Add(newPlanner(daemon.router, daemon.groups, daemon.settings.Planner,
		func() int { return len(daemon.members.leaseMembers()) }, daemon.logger))
	supervisor.Add(serverComponent{"operator", func() error { return daemon.operator.Serve(daemon.listeners.Operator) }})
	entry := wrapEntryListener(daemon.listeners.Entry)
	supervisor.Add(serverComponent{"entry", func() error { return daemon.entry.Serve(entry) }})
	supervisor.Add(daemon.members)
	supervisor.Add(daemon.publisher)
	supervisor.Add(daemon.drainTracker)
	supervisor.Add(serverComponent{"peers", func() error { return daemon.peers.Serve(daemon.listeners.Peer) }})
	lwtlog.Info(daemon.logger, "daemon-started", "entry-address", daemon.listeners.Entry.Addr(),
		"availability-zone", daemon.settings.AvailabilityZone)
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	daemon.stateSyncer.connect(daemon.peers)
	daemon.members.OnNewerRevision(func(revision int64, from string) { daemon.stateSyncer.peerRevision(from, revision) })
	supervisorDone := supervisor.ServeBackground(runCtx)
	var err error
	select {
	case <-ctx.Done():
		err = daemon.shutdown(runCtx, entry)
		daemon.claims.Drain(claimDrainTimeout)
		err = errors.Join(err, daemon.operator.Shutdown(runCtx))
	case <-daemon.halted:
		daemon.closeListeners()
	}
	stop()
	if supervisorErr := <-supervisorDone; !errors.Is(supervisorErr, context.Canceled) {
		lwtlog.Warn(daemon.logger, "supervisor-ended", "err", supervisorErr)
	}
	lwtlog.Info(daemon.logger, "daemon-stopped", "err", err)
	return err
}

func (daemon *Daemon) closeListeners() {
	daemon.peers.Close()
	for _, listener := range []net.Listener{daemon.listeners.Entry, daemon.listeners.Peer, daemon.listeners.Operator} {
		// The daemon is halted, so errors don't matter.
		_ = listener.Close()
	}
}

func (daemon *Daemon) logSupervisorEvent(event suture.Event) {
	lwtlog.Warn(daemon.logger, "part-event", "detail", event.String())
}

// State returns the active declared state; false before the first one is active.
func (daemon *Daemon) State() (lwtdeclaredstate.State, bool) { return daemon.stateSyncer.State() }

// serverComponent runs a server in the supervisor tree. The end of the context does not
// stop the server. It runs until its own shutdown method is called.
type serverComponent struct {
	name  string
	serve func() error
}

// Serve implements suture.Service.
func (component serverComponent) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- component.serve() }()
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

// String returns the name of the service in logs.
func (component serverComponent) String() string { return component.name }
