// Package telemetry sets up OpenTelemetry metrics and exports them to Prometheus.
package telemetry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	meterName      = "github.com/peridotreel/peridotreel"
	firstTokenName = "peridotreel_first_token"
	totalName      = "peridotreel_request"
	refusalsName   = "peridotreel_token_refusals"
	// cardinalityLimit limits the attribute sets of an instrument, because
	// 12,000 teams with four classes each would need about 50 MB of histogram
	// buckets. Measurements of further sets are added up under
	// otel_metric_overflow.
	cardinalityLimit = 4000
)

// firstTokenBoundsSeconds are bucket bounds around the target of 0.36 s.
var firstTokenBoundsSeconds = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.36, 0.5, 1, 2, 5, 15, 60}

// totalBoundsSeconds are bucket bounds from a quick lookup to a long appraisal.
var totalBoundsSeconds = []float64{0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 180, 600}

// Telemetry owns the meter provider and its Prometheus registry.
type Telemetry struct {
	provider *sdk.MeterProvider
	registry *prometheus.Registry
}

// New returns a Telemetry with its own Prometheus registry.
func New() (*Telemetry, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo())
	if err != nil {
		return nil, fmt.Errorf("set up the Prometheus exporter: %w", err)
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader), sdk.WithCardinalityLimit(cardinalityLimit),
		sdk.WithView(histogramView(firstTokenName, firstTokenBoundsSeconds), histogramView(totalName, totalBoundsSeconds)))
	return &Telemetry{provider: provider, registry: registry}, nil
}

func histogramView(name string, boundaries []float64) sdk.View {
	return sdk.NewView(sdk.Instrument{Name: name},
		sdk.Stream{Aggregation: sdk.AggregationExplicitBucketHistogram{Boundaries: boundaries}})
}

// Meter returns the meter that creates the instruments.
func (t *Telemetry) Meter() metric.Meter {
	return t.provider.Meter(meterName)
}

// Handler returns the handler that Prometheus scrapes.
func (t *Telemetry) Handler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Shutdown stops the meter provider.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	return t.provider.Shutdown(ctx)
}

// RequestHistograms records the durations of requests in histograms.
type RequestHistograms struct {
	firstToken, total metric.Float64Histogram
}

// NewRequestHistograms creates the histograms of requests.
func NewRequestHistograms(meter metric.Meter) (*RequestHistograms, error) {
	firstToken, err := meter.Float64Histogram(firstTokenName, metric.WithUnit("s"),
		metric.WithDescription("Time from the request to the first token of its answer."))
	if err != nil {
		return nil, fmt.Errorf("create the histogram of first tokens: %w", err)
	}
	total, err := meter.Float64Histogram(totalName, metric.WithUnit("s"),
		metric.WithDescription("Time from the request to the end of its answer or refusal."))
	if err != nil {
		return nil, fmt.Errorf("create the histogram of requests: %w", err)
	}
	return &RequestHistograms{firstToken: firstToken, total: total}, nil
}

// Record records one request. Outcome is "answered" or the code of the error.
// firstToken is 0 for a request whose answer has no token.
func (r *RequestHistograms) Record(team core.TeamName, class core.ClassName, outcome string, firstToken, total time.Duration) {
	ctx := context.Background()
	attributes := []attribute.KeyValue{attribute.String("team", string(team)), attribute.String("class", string(class))}
	if firstToken > 0 {
		r.firstToken.Record(ctx, firstToken.Seconds(), metric.WithAttributes(attributes...))
	}
	r.total.Record(ctx, total.Seconds(), metric.WithAttributes(append(attributes, attribute.String("outcome", outcome))...))
}

// RefusalCounter counts requests that were refused for want of tokens.
type RefusalCounter struct{ refusals metric.Int64Counter }

// NewRefusalCounter creates the counter.
func NewRefusalCounter(meter metric.Meter) (*RefusalCounter, error) {
	refusals, err := meter.Int64Counter(refusalsName,
		metric.WithDescription("Requests whose tokens could not be reserved, by cause."))
	if err != nil {
		return nil, fmt.Errorf("create the counter of refusals for want of tokens: %w", err)
	}
	return &RefusalCounter{refusals}, nil
}

// Count counts one refusal.
func (c *RefusalCounter) Count(ctx context.Context, cause string) {
	c.refusals.Add(ctx, 1, metric.WithAttributes(attribute.String("cause", cause)))
}
