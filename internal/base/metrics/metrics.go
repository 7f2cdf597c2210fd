// Package metrics collects the counters and histograms of a process and serves them to scrapers.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which the counters are copied to the reporter.
const reportInterval = time.Second

// Metrics belong to one instance, so that several can run in one process.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	Closer  io.Closer
}

// New returns metrics without values.
func New() Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer: registry, Gatherer: registry, OnRegisterError: func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "Lycheevale", CachedReporter: reporter, Separator: tallyprom.DefaultSeparator,
		SanitizeOptions: &tallyprom.DefaultSanitizerOpts,
	}, reportInterval)
	return Metrics{Scope: scope, Handler: reporter.HTTPHandler(), Closer: closer}
}
