package lwtgateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/panjf2000/ants/v2"
	"github.com/thejerf/suture/v4"
	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtqueueplacement"
	"lacewingtide/core/lwtroutetable"
	"lacewingtide/io/lwthttp"
	"lacewingtide/io/lwtlog"
	"lacewingtide/io/lwtmetric"
	"lacewingtide/platform"
)

// Gateway is an entry daemon: it accepts callers' requests and forwards them to backend
// servers.
type Gateway struct {
	settings Settings
	// bounds are the bounds from the most recently loaded settings.
	bounds          atomic.Pointer[Bounds]
	logger          log.Logger
	protocol        Protocol
	store           TableStore
	metrics         *metrics
	exportedMetrics *lwtmetric.Metrics
	view            *view
	connPool        *lwthttp.Pool
	entryServer     *lwthttp.Server
	timeouts        *timeoutTracker
	workers         *ants.Pool
	// boot identifies this process of the daemon. It is random.
	boot           uint64
	members        *members
	orderSender    *orderSender
	loadExchange   *loadExchange
	crashDetector  *crashDetector
	quarantineRows *quarantineRows
	streamWaiters  *streamWaiters
	reachability   *reachability
	callerMemory   *callerMemory
	eventMemory    *eventMemory
	// versionsRead reads the software versions of the servers from the store.
	versionsRead *sharedRead

	// serverRows holds the newest row seen of each server, by row key. It is guarded by the mutex
	// of view.
	serverRows map[string]serverRowState
	// readReturnedAt is when all servers are read again because of entries that came back with an
	// older copy of the store, or zero. It is guarded by the mutex of view.
	readReturnedAt  time.Time
	serversFollower atomic.Pointer[tableFollower]
	configFollower  atomic.Pointer[tableFollower]
	// lastStoreContact is when the store last responded to any daemon, in nanoseconds
	// since the Unix epoch.
	lastStoreContact atomic.Int64
	// serversCoveredUntil is until when all changes of the servers were read by this daemon, or by
	// daemons that announce them, without a gap, in nanoseconds since the Unix epoch.
	serversCoveredUntil atomic.Int64
	// rowsAdopted says that the daemons' rows and the streams have been read once.
	rowsAdopted atomic.Bool
	// writtenStreams is the row of this daemon's streams that was last written, or nil.
	writtenStreams atomic.Pointer[platform.Row]
	// storeEra is the highest known era of the store, 0 before the first response. eraChanged has an
	// element if it has risen after that.
	storeEra   atomic.Int64
	eraChanged chan struct{}
	// serversDifferSince is when this daemon's server list began to differ from that of its
	// reference in the topology, in nanoseconds since the Unix epoch, or 0 if the lists are equal.
	serversDifferSince atomic.Int64
	// configRequestedAt is when the configuration was last requested from another daemon,
	// in nanoseconds since the Unix epoch.
	configRequestedAt atomic.Int64

	mutex sync.Mutex
	drain drainPhase
}

const (
	// maxBackgroundCalls is the maximum number of concurrent background calls, such as
	// those that free KV caches.
	maxBackgroundCalls = 32
	// initialPrefillTimePerToken is the estimated prefill time per token before any prefill
	// is measured. It is typical of current engines.
	initialPrefillTimePerToken = 3 * time.Microsecond
)

// New returns a daemon. Run starts it.
func New(
	settings Settings, protocol Protocol, store TableStore, exportedMetrics *lwtmetric.Metrics, logger log.Logger,
) (*Gateway, error) {
	workers, err := ants.NewPool(maxBackgroundCalls, ants.WithNonblocking(true))
	if err != nil {
		return nil, fmt.Errorf("start workers: %w", err)
	}
	gateway := &Gateway{
		settings: settings, logger: logger, protocol: protocol, store: store, exportedMetrics: exportedMetrics,
		metrics: newMetrics(exportedMetrics.Scope()), timeouts: newTimeoutTracker(), workers: workers, boot: rand.Uint64(),
		serverRows: map[string]serverRowState{}, eraChanged: make(chan struct{}, 1),
		view: newView(
			settings.Name, lwtqueueplacement.Options{
				AvailabilityZone: settings.AvailabilityZone, PrefillTimePerToken: initialPrefillTimePerToken,
			},
			settings.Bounds.retryBudgetLimits()),
	}
	gateway.bounds.Store(&settings.Bounds)
	gateway.callerMemory = newCallerMemory(settings.VM)
	gateway.connPool = lwthttp.NewPool(lwthttp.PoolOptions{Limit: gateway.view.connectionLimit, OnDialed: gateway.onDialed})
	gateway.entryServer = lwthttp.New(lwthttp.Options{
		Handler: gateway.handleRequest, Limits: gateway.limits, OnRejected: gateway.onRejected,
		MaxConnections: settings.VM.Descriptors - reservedDescriptors, Memory: gateway.callerMemory,
	})
	gateway.members = newMembers(settings, gateway.boot)
	gateway.orderSender = newOrderSender(gateway)
	gateway.loadExchange = newLoadExchange()
	gateway.crashDetector = newCrashDetector(gateway)
	gateway.quarantineRows = newQuarantineRows()
	gateway.streamWaiters = newStreamWaiters()
	gateway.reachability = newReachability()
	gateway.eventMemory = newEventMemory(settings.VM)
	gateway.versionsRead = newSharedRead(versionsReadInterval, gateway.readVersions)
	return gateway, nil
}

// defaultLimits apply until the first configuration is received.
var defaultLimits = lwtroutetable.RequestLimits{
	HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

func (gateway *Gateway) limits() lwtroutetable.RequestLimits {
	if config, known := gateway.view.configuration(); known {
		return config.Limits
	}
	return defaultLimits
}

func (gateway *Gateway) onDialed(address string, err error) {
	gateway.metrics.Count("server-dials")
	gateway.reachability.record(time.Now(), address, err)
	if err != nil {
		gateway.metrics.Count("server-dials-failed")
		lwtlog.Info(gateway.logger, "server-not-reached", "address", address, "err", err)
	}
}

func (gateway *Gateway) onRejected(status int, header *fasthttp.RequestHeader, err error) {
	gateway.metrics.Count(fmt.Sprintf("rejected-%d", status))
	exhausted := errors.Is(err, lwthttp.ErrMemoryExhausted)
	if exhausted {
		gateway.metrics.Count("rejected-without-memory")
	}
	if status == 0 && !exhausted {
		return
	}
	id := ""
	if header != nil {
		id = gateway.protocol.DecodeRequest(header).ID
	}
	lwtlog.Info(gateway.logger, "request-rejected", "request", id, "status", status, "memory-reserved", gateway.callerMemory.used.Load(),
		"memory-limit", gateway.callerMemory.limits[0], "err", err)
}

// runInBackground runs a call on a worker, with a timeout of controlTimeout. If all workers
// are busy, it drops the call, counts it in a metric and returns false.
func (gateway *Gateway) runInBackground(run func(ctx context.Context)) bool {
	err := gateway.workers.Submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
		defer cancel()
		run(ctx)
	})
	if err != nil {
		gateway.metrics.Count("background-dropped")
	}
	return err == nil
}

// Run serves until ctx is canceled, then shuts down gracefully: requests in flight are
// completed first.
func (gateway *Gateway) Run(ctx context.Context) error {
	listeners, err := gateway.listen()
	if err != nil {
		return err
	}
	lwtlog.Info(gateway.logger, "daemon-started", "name", gateway.settings.Name, "boot", gateway.boot,
		"entry", gateway.settings.EntryAddress, "zone", gateway.settings.AvailabilityZone)
	runContext, stop := context.WithCancel(context.Background())
	defer stop()
	supervisor := gateway.newSupervisor(listeners)
	supervisorDone := supervisor.ServeBackground(runContext)
	select {
	case <-ctx.Done():
	case err := <-supervisorDone:
		return err
	}
	gateway.shutdown(listeners.entry)
	stop()
	select {
	case err := <-supervisorDone:
		if err != nil && !errors.Is(err, context.Canceled) {
			return err
		}
	case <-time.After(componentStopTimeout):
		// A call to a store that does not respond would delay the exit. It ends with the
		// process.
	}
	lwtlog.Info(gateway.logger, "daemon-stopped", "name", gateway.settings.Name)
	return nil
}

// componentStopTimeout is how long Run waits for the daemon's components to stop after all
// requests have ended.
const componentStopTimeout = 200 * time.Millisecond

// listeners holds a listener for each of the daemon's addresses.
type listeners struct{ entry, readiness, lookup, peer, metrics net.Listener }

func (gateway *Gateway) listen() (listeners, error) {
	var listeners listeners
	for _, endpoint := range []struct {
		address string
		into    *net.Listener
	}{
		{gateway.settings.EntryAddress, &listeners.entry},
		{gateway.settings.ReadinessAddress, &listeners.readiness},
		{gateway.settings.LookupAddress, &listeners.lookup},
		{gateway.settings.PeerAddress, &listeners.peer},
		{gateway.settings.MetricsAddress, &listeners.metrics},
	} {
		listener, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			return listeners, fmt.Errorf("listen: %w", err)
		}
		*endpoint.into = listener
	}
	return listeners, nil
}

// newSupervisor returns a supervisor of the daemon's components.
func (gateway *Gateway) newSupervisor(listeners listeners) *suture.Supervisor {
	supervisor := suture.New("daemon", suture.Spec{EventHook: gateway.logSupervisorEvent})
	for name, serve := range map[string]func(context.Context) error{
		"config":     gateway.followConfig,
		"servers":    gateway.followServers,
		"quarantine": gateway.followQuarantine,
		"members":    gateway.followMembers,
		"exchange":   func(ctx context.Context) error { return gateway.exchangeLoads(ctx, listeners.peer) },
		"orders":     gateway.orderSender.serve,
		"sweep":      gateway.sweepIdleConnections,
		"limits":     gateway.reportLimitUsage,
		"streams":    gateway.reportDueStreams,
		"entry":      func(context.Context) error { return gateway.entryServer.Serve(listeners.entry) },
		"readiness":  gateway.serveAuxiliary(listeners.readiness, gateway.serveReadiness),
		"lookup":     gateway.serveAuxiliary(listeners.lookup, gateway.serveLookup),
		"metrics":    gateway.serveAuxiliary(listeners.metrics, gateway.exportedMetrics.Handle),
	} {
		supervisor.Add(component{name: name, serve: serve})
	}
	return supervisor
}

// component is a part of the daemon that the supervisor runs.
type component struct {
	name  string
	serve func(context.Context) error
}

// Serve implements suture.Service.
func (component component) Serve(ctx context.Context) error {
	err := component.serve(ctx)
	if err == nil {
		return suture.ErrDoNotRestart
	}
	return err
}

// String returns the name under which the component is logged.
func (component component) String() string { return component.name }

func (gateway *Gateway) logSupervisorEvent(event suture.Event) {
	lwtlog.Warn(gateway.logger, "part-failed", "detail", event.String())
}

// auxiliaryReadTimeout is the read timeout for requests to an auxiliary server.
const auxiliaryReadTimeout = 5 * time.Second

// serveAuxiliary returns a component that serves an auxiliary HTTP endpoint, such as
// readiness or metrics. Their responses need no I/O.
func (gateway *Gateway) serveAuxiliary(
	listener net.Listener, handler fasthttp.RequestHandler,
) func(context.Context) error {
	server := &fasthttp.Server{
		Handler: handler, ReadTimeout: auxiliaryReadTimeout, NoDefaultServerHeader: true, NoDefaultDate: true,
		ReadBufferSize: auxiliaryBufferBytes, WriteBufferSize: auxiliaryBufferBytes,
		Logger: lwtlog.NewPrintfLogger(gateway.logger, "question-failed"),
	}
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
		defer stop()
		return server.Serve(listener)
	}
}

// auxiliaryBufferBytes is the size of the buffers of an auxiliary server's connections.
const auxiliaryBufferBytes = 2 << 10

// sweepInterval is the time between two sweeps of the idle connections.
const sweepInterval = time.Second

func (gateway *Gateway) sweepIdleConnections(ctx context.Context) error {
	return runEvery(ctx, sweepInterval, func(now time.Time) { gateway.connPool.Sweep(now, gateway.view.inUse) })
}

// runEvery calls act once per interval until ctx is canceled.
func runEvery(ctx context.Context, interval time.Duration, act func(now time.Time)) error {
	for {
		if !sleep(ctx, interval) {
			return ctx.Err()
		}
		act(time.Now())
	}
}

// sleep waits for duration. It returns false if ctx is canceled first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
