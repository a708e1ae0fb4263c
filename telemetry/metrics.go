// Package telemetry writes the metrics and log lines of an instance. Log lines
// and metric labels never contain content of a request.
package telemetry

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// latencyBoundsSeconds are the bucket boundaries of latency histograms, in seconds.
var latencyBoundsSeconds = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 1.9, 2.5, 5, 10, 30, 60, 120, 300}

// Labels of Metrics.eraDropped.
var (
	eraLeases  = metric.WithAttributes(attribute.String("kind", "lease"))
	eraEntries = metric.WithAttributes(attribute.String("kind", "entry"))
)

// Metrics holds the instruments for requests, attempts and routing, and serves
// all metrics of an instance over HTTP.
type Metrics struct {
	handler   http.Handler
	provider  *sdk.MeterProvider
	requests  metric.Int64Counter
	attempts  metric.Int64Counter
	forwarded metric.Int64Counter
	discarded metric.Int64Counter
	latency   metric.Float64Histogram
	firstByte metric.Float64Histogram
	inFlight  metric.Int64UpDownCounter
	rejected  metric.Int64Counter
	panics    metric.Int64Counter
	eras      metric.Int64Counter
	// eraDropped counts what was dropped, with eraLeases or eraEntries.
	eraDropped metric.Int64Counter
	routing    routingMetrics
}

// NewMetrics creates a meter provider with a Prometheus exporter and registers
// the instruments.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "create Prometheus exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	meter := provider.Meter("fuchsiad")
	m := &Metrics{
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		provider: provider,
	}
	var errs [11]error
	m.requests, errs[0] = meter.Int64Counter("fuchsia.requests", metric.WithDescription("Requests by service, rank and outcome."))
	m.attempts, errs[1] = meter.Int64Counter("fuchsia.attempts", metric.WithDescription("Attempts at backend servers and regions by outcome."))
	m.forwarded, errs[2] = meter.Int64Counter("fuchsia.sent_elsewhere", metric.WithDescription("Requests sent to another region."))
	m.latency, errs[3] = meter.Float64Histogram("fuchsia.latency", metric.WithUnit("s"),
		metric.WithDescription("Time to the end of the answer."), metric.WithExplicitBucketBoundaries(latencyBoundsSeconds...))
	m.firstByte, errs[4] = meter.Float64Histogram("fuchsia.first_byte", metric.WithUnit("s"),
		metric.WithDescription("Time to the first byte of the answer."), metric.WithExplicitBucketBoundaries(latencyBoundsSeconds...))
	m.inFlight, errs[5] = meter.Int64UpDownCounter("fuchsia.in_flight", metric.WithDescription("Requests in flight."))
	m.discarded, errs[6] = meter.Int64Counter("fuchsia.responses_discarded", metric.WithDescription("Responses of backend servers that may belong to another attempt."))
	m.rejected, errs[7] = meter.Int64Counter("fuchsia.rejected_entries",
		metric.WithDescription("Entries and configurations that cannot be used, by kind."))
	m.panics, errs[8] = meter.Int64Counter("fuchsia.panics", metric.WithDescription("Panics while a request was handled."))
	m.eras, errs[9] = meter.Int64Counter("fuchsia.store_eras", metric.WithDescription("Changes of the era of the store."))
	m.eraDropped, errs[10] = meter.Int64Counter("fuchsia.store_era_dropped",
		metric.WithDescription("Leases and entries of an earlier era of the store that were dropped, by kind."))
	for _, err := range errs {
		if err != nil {
			return nil, errors.Wrap(err, "create request instrument")
		}
	}
	if m.routing, err = newRoutingMetrics(meter); err != nil {
		return nil, err
	}
	return m, nil
}

// Meter returns the meter with which other components register their
// instruments.
func (m *Metrics) Meter() metric.Meter { return m.provider.Meter("fuchsiad") }

// ServeHTTP serves the metrics in the Prometheus text format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.handler.ServeHTTP(w, r) }

func (m *Metrics) recordRequest(service string, rank catalog.Rank, o outcome.Outcome, code outcome.Code, elapsed time.Duration) {
	labels := metric.WithAttributes(
		attribute.String("service", service),
		attribute.String("rank", rank.String()),
		attribute.String("outcome", o.String()),
		attribute.String("code", string(code)),
	)
	ctx := context.Background()
	m.requests.Add(ctx, 1, labels)
	m.latency.Record(ctx, elapsed.Seconds(), metric.WithAttributes(
		attribute.String("service", service), attribute.String("rank", rank.String())))
}
