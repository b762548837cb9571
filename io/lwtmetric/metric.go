// Package lwtmetric collects a daemon's metrics and serves them in the
// Prometheus text format.
package lwtmetric

import (
	"fmt"
	"io"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

const reportInterval = time.Second

// Metrics holds a daemon's metrics.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler fasthttp.RequestHandler
}

// New returns metrics with the name prefix "lacewingtide_" and the tag "daemon". Close
// must be called when they are no longer used.
func New(daemon string) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	var registerErr error
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{
		Registerer:      registry,
		Gatherer:        registry,
		OnRegisterError: func(err error) { registerErr = err },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "lacewingtide",
		Tags:                   map[string]string{"daemon": daemon},
		CachedReporter:         reporter,
		Separator:              tallyprometheus.DefaultSeparator,
		SanitizeOptions:        &tallyprometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	if registerErr != nil {
		return nil, fmt.Errorf("register metrics: %w", registerErr)
	}
	return &Metrics{scope: scope, closer: closer, handler: fasthttpadaptor.NewFastHTTPHandler(reporter.HTTPHandler())}, nil
}

// Scope returns the scope in which components create their metrics.
func (metrics *Metrics) Scope() tally.Scope { return metrics.scope }

// Handle responds to a Prometheus scrape.
func (metrics *Metrics) Handle(ctx *fasthttp.RequestCtx) { metrics.handler(ctx) }

// Close stops the periodic reporting.
func (metrics *Metrics) Close() error { return metrics.closer.Close() }
