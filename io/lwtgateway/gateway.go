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
)

// Gateway is one entry daemon.
type Gateway struct {
	settings Settings
	// bounds are those of the settings that were read last.
	bounds    atomic.Pointer[Bounds]
	logger    log.Logger
	wire      Protocol
	store     TableStore
	metrics   *metrics
	exported  *lwtmetric.Metrics
	view      *view
	pool      *lwthttp.Pool
	entry     *lwthttp.Server
	deadlines *deadlines
	workers   *ants.Pool
	boot      uint64
	members   *members
	orders    *orders
	exchange  *exchange

	// serverRows holds the newest version of each server's row that was seen. It
	// is used under the lock of the view.
	serverRows      map[string]int64
	serversFollower atomic.Pointer[follower]
	configFollower  atomic.Pointer[follower]
	// storeSeen is when any daemon has last had an answer of the store, in
	// nanoseconds since 1970.
	storeSeen atomic.Int64
	// differsSince is since when the servers differ from those of the own relay, in
	// nanoseconds since 1970, or 0.
	differsSince atomic.Int64
	// configRequested is when the configuration was last requested from another
	// daemon, in nanoseconds since 1970.
	configRequested atomic.Int64

	mutex   sync.Mutex
	leaving leave
}

const (
	// backgroundWorkers bounds the calls beside requests, such as the freeing
	// of memory.
	backgroundWorkers = 32
	// firstTokenTime is how long an engine needs for one token before any prefill
	// is measured: about what current engines need.
	firstTokenTime = 3 * time.Microsecond
)

// New returns a daemon that is not running yet.
func New(settings Settings, wire Protocol, store TableStore, exported *lwtmetric.Metrics, logger log.Logger) (*Gateway, error) {
	workers, err := ants.NewPool(backgroundWorkers, ants.WithNonblocking(true))
	if err != nil {
		return nil, fmt.Errorf("start workers: %w", err)
	}
	gateway := &Gateway{
		settings: settings, logger: logger, wire: wire, store: store, exported: exported,
		metrics: newMetrics(exported.Scope()), deadlines: newDeadlines(), workers: workers, boot: rand.Uint64(),
		serverRows: map[string]int64{},
		view: newView(
			lwtqueueplacement.Options{AvailabilityZone: settings.AvailabilityZone, PrefillTimePerToken: firstTokenTime}, settings.Bounds.retryTerms()),
	}
	gateway.bounds.Store(&settings.Bounds)
	gateway.pool = lwthttp.NewPool(gateway.view.connectionLimit, gateway.dialled)
	gateway.entry = lwthttp.New(lwthttp.Options{
		Handler: gateway.handle, Limits: gateway.limits, OnRejected: gateway.rejected,
		MaxConnections: settings.VM.Descriptors - reservedDescriptors,
	})
	gateway.members = newMembers(settings, gateway.boot)
	gateway.orders = newOrders(gateway)
	gateway.exchange = newExchange()
	return gateway, nil
}

// defaultLimits hold until a configuration is known.
var defaultLimits = lwtroutetable.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

func (gateway *Gateway) limits() lwtroutetable.Limits {
	if config, known := gateway.view.configuration(); known {
		return config.Limits
	}
	return defaultLimits
}

func (gateway *Gateway) dialled(address string, err error) {
	gateway.metrics.Count("server-dials")
	if err != nil {
		gateway.metrics.Count("server-dials-failed")
		lwtlog.Info(gateway.logger, "server-not-reached", "address", address, "err", err)
	}
}

func (gateway *Gateway) rejected(status int, err error) {
	gateway.metrics.Count(fmt.Sprintf("rejected-%d", status))
	if status != 0 {
		lwtlog.Info(gateway.logger, "request-rejected", "status", status, "err", err)
	}
}

// background runs a call beside the requests. It reports false, and counts, when
// all workers are busy and the call is dropped.
func (gateway *Gateway) background(run func(ctx context.Context)) bool {
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

// Run serves until ctx ends, then shuts down without cutting a request.
func (gateway *Gateway) Run(ctx context.Context) error {
	listeners, err := gateway.listen()
	if err != nil {
		return err
	}
	lwtlog.Info(gateway.logger, "daemon-started", "name", gateway.settings.Name, "boot", gateway.boot,
		"entry", gateway.settings.EntryAddress, "zone", gateway.settings.AvailabilityZone)
	running, stop := context.WithCancel(context.Background())
	defer stop()
	tree := gateway.tree(listeners)
	ended := tree.ServeBackground(running)
	select {
	case <-ctx.Done():
	case err := <-ended:
		return err
	}
	gateway.shutdown(listeners.entry)
	stop()
	select {
	case err := <-ended:
		if err != nil && !errors.Is(err, context.Canceled) {
			return err
		}
	case <-time.After(partsTimeout):
		// A call to a store that does not answer ends with the process.
	}
	lwtlog.Info(gateway.logger, "daemon-stopped", "name", gateway.settings.Name)
	return nil
}

// partsTimeout bounds the wait for the daemon's parts when all requests have ended.
const partsTimeout = 200 * time.Millisecond

type listeners struct{ entry, readiness, lookup, peer, metrics net.Listener }

func (gateway *Gateway) listen() (listeners, error) {
	var listeners listeners
	for _, one := range []struct {
		address string
		into    *net.Listener
	}{
		{gateway.settings.EntryAddress, &listeners.entry},
		{gateway.settings.ReadinessAddress, &listeners.readiness},
		{gateway.settings.LookupAddress, &listeners.lookup},
		{gateway.settings.PeerAddress, &listeners.peer},
		{gateway.settings.MetricsAddress, &listeners.metrics},
	} {
		listener, err := net.Listen("tcp", one.address)
		if err != nil {
			return listeners, fmt.Errorf("listen: %w", err)
		}
		*one.into = listener
	}
	return listeners, nil
}

// tree builds the supervisor tree of the daemon's parts.
func (gateway *Gateway) tree(listeners listeners) *suture.Supervisor {
	tree := suture.New("daemon", suture.Spec{EventHook: gateway.supervised})
	for name, serve := range map[string]func(context.Context) error{
		"config":    gateway.followConfig,
		"servers":   gateway.followServers,
		"members":   gateway.followMembers,
		"exchange":  func(ctx context.Context) error { return gateway.exchangeLoads(ctx, listeners.peer) },
		"orders":    gateway.orders.serve,
		"sweep":     gateway.sweep,
		"entry":     func(context.Context) error { return gateway.entry.Serve(listeners.entry) },
		"readiness": gateway.small(listeners.readiness, gateway.answerReadiness),
		"lookup":    gateway.small(listeners.lookup, gateway.answerLookup),
		"metrics":   gateway.small(listeners.metrics, gateway.exported.Handle),
	} {
		tree.Add(service{name: name, serve: serve})
	}
	return tree
}

// service is one part of the daemon.
type service struct {
	name  string
	serve func(context.Context) error
}

// Serve implements suture.Service.
func (service service) Serve(ctx context.Context) error {
	err := service.serve(ctx)
	if err == nil {
		return suture.ErrDoNotRestart
	}
	return err
}

// String names the part in the log.
func (service service) String() string { return service.name }

func (gateway *Gateway) supervised(event suture.Event) {
	lwtlog.Warn(gateway.logger, "part-failed", "detail", event.String())
}

// smallReadTimeout bounds how long a question to a small server may take.
const smallReadTimeout = 5 * time.Second

// small serves questions that are answered from memory.
func (gateway *Gateway) small(listener net.Listener, handler fasthttp.RequestHandler) func(context.Context) error {
	server := &fasthttp.Server{
		Handler: handler, ReadTimeout: smallReadTimeout, NoDefaultServerHeader: true, NoDefaultDate: true,
		ReadBufferSize: minBuffer, WriteBufferSize: minBuffer,
		Logger: lwtlog.NewPrintfLogger(gateway.logger, "question-failed"),
	}
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
		defer stop()
		return server.Serve(listener)
	}
}

const minBuffer = 2 << 10

// sweepInterval is the time between two looks at idle connections.
const sweepInterval = time.Second

func (gateway *Gateway) sweep(ctx context.Context) error {
	return tick(ctx, sweepInterval, func(now time.Time) { gateway.pool.Sweep(now, gateway.view.knows) })
}

// tick calls act at each interval until ctx ends.
func tick(ctx context.Context, interval time.Duration, act func(now time.Time)) error {
	for {
		if !pause(ctx, interval) {
			return ctx.Err()
		}
		act(time.Now())
	}
}

// pause waits and reports false when ctx ends first.
func pause(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
