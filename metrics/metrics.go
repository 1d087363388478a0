package metrics

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"sync"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"lovageshift"
)

// Name is the name of a counter.
type Name string

// The counters.
const (
	Refusals          Name = "lovageshift_refusals"
	Retries           Name = "lovageshift_retries"
	Responses         Name = "lovageshift_answers"
	Dispatches        Name = "lovageshift_dispatches"
	Configurations    Name = "lovageshift_configurations"
	EngineCrashes     Name = "lovageshift_engine_crashes"
	Orders            Name = "lovageshift_orders"
	ColdStarts        Name = "lovageshift_cold_starts"
	StoreCalls        Name = "lovageshift_store_calls"
	RecordChanges     Name = "lovageshift_belief_changes"
	PeerMessages      Name = "lovageshift_peer_messages"
	TargetConnections Name = "lovageshift_target_connections"
)

// The histograms, in seconds.
const (
	FirstEventSeconds Name = "lovageshift_first_event_seconds"
	WaitSeconds       Name = "lovageshift_wait_seconds"
	RequestSeconds    Name = "lovageshift_request_seconds"
)

var allHistograms = []Name{FirstEventSeconds, WaitSeconds, RequestSeconds}

// Around the latency objectives of requests, from milliseconds to the longest streams.
var secondBounds = []float64{0.005, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 5, 15}

var allNames = []Name{
	Refusals, Retries, Responses, Dispatches, Configurations, EngineCrashes, Orders, ColdStarts,
	StoreCalls, RecordChanges, PeerMessages, TargetConnections,
}

// Counts holds the value of each label of one counter.
type Counts map[string]int64

// Metrics counts by name and one label.
type Metrics struct {
	counters   map[Name]metric.Int64Counter
	histograms map[Name]metric.Float64Histogram
	meter      metric.Meter
	handler    http.Handler

	mutex  sync.Mutex
	counts map[Name]Counts
	labels map[Name]map[string]metric.MeasurementOption
}

// New returns counters that start at zero.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, trace.Wrap(err, "make metrics exporter")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	m := &Metrics{
		counters:   map[Name]metric.Int64Counter{},
		histograms: map[Name]metric.Float64Histogram{},
		meter:      provider.Meter("lovageshift"),
		handler:    promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		counts:     map[Name]Counts{},
		labels:     map[Name]map[string]metric.MeasurementOption{},
	}
	for _, name := range allNames {
		counter, err := m.meter.Int64Counter(string(name))
		if err != nil {
			return nil, trace.Wrap(err, "make counter %s", name)
		}
		m.counters[name] = counter
		m.counts[name] = Counts{}
		m.labels[name] = map[string]metric.MeasurementOption{}
	}
	for _, name := range allHistograms {
		histogram, err := m.meter.Float64Histogram(string(name), metric.WithExplicitBucketBoundaries(secondBounds...))
		if err != nil {
			return nil, trace.Wrap(err, "make histogram %s", name)
		}
		m.histograms[name] = histogram
		m.labels[name] = map[string]metric.MeasurementOption{}
	}
	return m, nil
}

// Observe records a duration for the label.
func (m *Metrics) Observe(name Name, label string, duration lovageshift.Millis) {
	m.mutex.Lock()
	option := m.option(name, label)
	m.mutex.Unlock()
	m.histograms[name].Record(context.Background(), duration.Seconds(), option)
}

// option returns the measurement option of a label; the mutex must be held.
func (m *Metrics) option(name Name, label string) metric.MeasurementOption {
	option := m.labels[name][label]
	if option == nil {
		option = metric.WithAttributeSet(attribute.NewSet(attribute.String("reason", label)))
		m.labels[name][label] = option
	}
	return option
}

// Add adds to the counter's value for the label.
func (m *Metrics) Add(name Name, label string, amount int64) {
	m.mutex.Lock()
	m.counts[name][label] += amount
	option := m.option(name, label)
	m.mutex.Unlock()
	m.counters[name].Add(context.Background(), amount, option)
}

// AddRefusal counts a refusal by its reason.
func (m *Metrics) AddRefusal(reason lovageshift.Reason) { m.Add(Refusals, string(reason), 1) }

// AddRetry counts a retry by the reason of the refusal before it.
func (m *Metrics) AddRetry(reason lovageshift.Reason) { m.Add(Retries, string(reason), 1) }

// RegisterGauge registers a value that is read when metrics are collected.
func (m *Metrics) RegisterGauge(name string, read func() float64) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithFloat64Callback(
		func(_ context.Context, observer metric.Float64Observer) error {
			observer.Observe(read())
			return nil
		}))
	return trace.Wrap(err, "make gauge %s", name)
}

// Counts returns a copy of the counter's values by label.
func (m *Metrics) Counts(name Name) Counts {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return maps.Clone(m.counts[name])
}

// OperatorRouter serves the metrics in the Prometheus format and a process's status as JSON.
func (m *Metrics) OperatorRouter(status func() any) *mux.Router {
	router := mux.NewRouter()
	router.Handle("/metrics", m.handler)
	router.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status())
	})
	return router
}
