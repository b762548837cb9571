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

// Metrics is the root of a daemon's metrics.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler fasthttp.RequestHandler
}

// New returns metrics whose names start with "lacewingtide_". Close must be
// called at the end.
func New(daemon string) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	var failure error
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{
		Registerer:      registry,
		Gatherer:        registry,
		OnRegisterError: func(err error) { failure = err },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "lacewingtide",
		Tags:                   map[string]string{"daemon": daemon},
		CachedReporter:         reporter,
		Separator:              tallyprometheus.DefaultSeparator,
		SanitizeOptions:        &tallyprometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	if failure != nil {
		return nil, fmt.Errorf("register metrics: %w", failure)
	}
	return &Metrics{scope: scope, closer: closer, handler: fasthttpadaptor.NewFastHTTPHandler(reporter.HTTPHandler())}, nil
}

// Scope returns the scope under which parts create their metrics.
func (metrics *Metrics) Scope() tally.Scope { return metrics.scope }

// Handle answers a scrape.
func (metrics *Metrics) Handle(ctx *fasthttp.RequestCtx) { metrics.handler(ctx) }

// Close stops the reporting.
func (metrics *Metrics) Close() error { return metrics.closer.Close() }
