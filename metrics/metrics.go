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

// Name is the name of a counter or histogram.
type Name string

// Counters.
const (
	Refusals          Name = "lovageshift_refusals"       // by reason
	Retries           Name = "lovageshift_retries"        // by reason of the preceding refusal
	Responses         Name = "lovageshift_answers"        // by outcome
	Dispatches        Name = "lovageshift_dispatches"     // by receiver: agent or engine
	Configurations    Name = "lovageshift_configurations" // by result of applying a configuration
	EngineCrashes     Name = "lovageshift_engine_crashes"
	Orders            Name = "lovageshift_orders"             // orders to an engine by result
	ColdResets        Name = "lovageshift_cold_starts"        // resets to the cold limit by cause
	StoreCalls        Name = "lovageshift_store_calls"        // by result
	RecordChanges     Name = "lovageshift_belief_changes"     // changes of the local copy of the store's records by kind
	PeerMessages      Name = "lovageshift_peer_messages"      // by result of sending or receiving
	TargetConnections Name = "lovageshift_target_connections" // by result
)

// Histograms, in seconds.
const (
	FirstEventSeconds Name = "lovageshift_first_event_seconds"
	WaitSeconds       Name = "lovageshift_wait_seconds"
	RequestSeconds    Name = "lovageshift_request_seconds"
)

var histogramNames = []Name{FirstEventSeconds, WaitSeconds, RequestSeconds}

// bucketBounds are in seconds and span the latencies from a few milliseconds to the longest streams, with most buckets
// around the latency objectives of requests.
var bucketBounds = []float64{0.005, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 5, 15}

var counterNames = []Name{
	Refusals, Retries, Responses, Dispatches, Configurations, EngineCrashes, Orders, ColdResets,
	StoreCalls, RecordChanges, PeerMessages, TargetConnections,
}

// Counts holds the value of each label of one counter.
type Counts map[string]int64

// Metrics holds the counters and histograms by name, each with one label, "reason". It is safe for concurrent use.
type Metrics struct {
	counters   map[Name]metric.Int64Counter
	histograms map[Name]metric.Float64Histogram
	meter      metric.Meter
	handler    http.Handler

	mutex   sync.Mutex
	counts  map[Name]Counts
	options map[Name]map[string]metric.MeasurementOption
}

// New returns metrics whose counters are zero.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, trace.Wrap(err, "create metrics exporter")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	m := &Metrics{
		counters:   map[Name]metric.Int64Counter{},
		histograms: map[Name]metric.Float64Histogram{},
		meter:      provider.Meter("lovageshift"),
		handler:    promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		counts:     map[Name]Counts{},
		options:    map[Name]map[string]metric.MeasurementOption{},
	}
	for _, name := range counterNames {
		counter, err := m.meter.Int64Counter(string(name))
		if err != nil {
			return nil, trace.Wrap(err, "create counter %s", name)
		}
		m.counters[name] = counter
		m.counts[name] = Counts{}
		m.options[name] = map[string]metric.MeasurementOption{}
	}
	for _, name := range histogramNames {
		histogram, err := m.meter.Float64Histogram(string(name), metric.WithExplicitBucketBoundaries(bucketBounds...))
		if err != nil {
			return nil, trace.Wrap(err, "create histogram %s", name)
		}
		m.histograms[name] = histogram
		m.options[name] = map[string]metric.MeasurementOption{}
	}
	return m, nil
}

// Observe records a duration in the histogram for the label.
func (m *Metrics) Observe(name Name, label string, duration lovageshift.Millis) {
	m.mutex.Lock()
	option := m.option(name, label)
	m.mutex.Unlock()
	m.histograms[name].Record(context.Background(), duration.Seconds(), option)
}

// option returns the cached measurement option of a label; the mutex must be held.
func (m *Metrics) option(name Name, label string) metric.MeasurementOption {
	option := m.options[name][label]
	if option == nil {
		option = metric.WithAttributeSet(attribute.NewSet(attribute.String("reason", label)))
		m.options[name][label] = option
	}
	return option
}

// Add adds the amount to the counter for the label.
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

// RegisterGauge registers a gauge whose value is read when metrics are collected.
func (m *Metrics) RegisterGauge(name string, read func() float64) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithFloat64Callback(
		func(_ context.Context, observer metric.Float64Observer) error {
			observer.Observe(read())
			return nil
		}))
	return trace.Wrap(err, "create gauge %s", name)
}

// Counts returns a copy of the counter's values by label.
func (m *Metrics) Counts(name Name) Counts {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return maps.Clone(m.counts[name])
}

// OperatorRouter returns a router that serves the metrics at /metrics, in the Prometheus format, and the status of the
// process at /status, as JSON.
func (m *Metrics) OperatorRouter(status func() any) *mux.Router {
	router := mux.NewRouter()
	router.Handle("/metrics", m.handler)
	router.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status())
	})
	return router
}
