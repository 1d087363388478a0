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

// Name is the exported name of a counter or histogram.
type Name string

// Counters. The comment on each says what its label value is.
const (
	// Refusals counts refusals by reason.
	Refusals Name = "lovageshift_refusals"
	// SharedRefusals counts requests that got no slot in time, by whether their account was aboveShare or withinShare of the
	// slots of the group of targets that refused them.
	SharedRefusals Name = "lovageshift_share_refusals"
	// Retries counts retries by the reason of the refusal that ended the preceding attempt, even if nothing had been sent
	// in that attempt. An agent that resumes an engine's broken stream counts a retry with the reason streamResumed.
	Retries Name = "lovageshift_retries"
	// Hedges counts second attempts, sent while the first one runs, by hedge.Verdict: sent, won (also counted as sent) or why a
	// second attempt that was due was not sent.
	Hedges Name = "lovageshift_hedges"
	// Responses counts requests by how they ended. Entries that reach targets without agents count answered, brokenOff
	// and refused; agents and the entries that use agents count only complete responses, as whole.
	Responses Name = "lovageshift_answers"
	// Dispatches counts requests sent to a target, by receiver: agent (counted by entries) or engine (counted by agents).
	Dispatches Name = "lovageshift_dispatches"
	// Configurations counts the configurations that a process received, by the result of putting them in force, and failed
	// reads of the configuration's source as unreadable. A configuration that is already in force isn't counted.
	Configurations Name = "lovageshift_configurations"
	// EngineCrashes counts the crashes of its target that an agent detected. Its label value is always engine.
	EngineCrashes Name = "lovageshift_engine_crashes"
	// Orders counts the instructions that an agent gives its engine, to load a model or take on a role, by result.
	Orders Name = "lovageshift_orders"
	// ColdResets counts how often an agent reset its target's concurrency limit to the limit for a cold engine, by cause:
	// newIncarnation of the engine, or slowPrefill if the first token came so late after the request's admission that the
	// engine must be cold. Resets after a crash or after repeated failures aren't counted.
	ColdResets Name = "lovageshift_cold_starts"
	// SecondGroups counts requests for which a second group of targets was asked for a slot after the refusal of the first,
	// by its answer: granted, or refused if there was none, too.
	SecondGroups Name = "lovageshift_second_groups"
	// StoreCalls counts calls to the metadata store by result.
	StoreCalls Name = "lovageshift_store_calls"
	// RecordChanges counts changes of the local copy of the store's records by kind. The kind is also the event under which
	// the change is logged.
	RecordChanges Name = "lovageshift_belief_changes"
	// PeerMessages counts datagrams between entries by the result of sending or receiving.
	PeerMessages Name = "lovageshift_peer_messages"
	// StreamsResumed counts requests sent to a target to go on with a stream, by the version of the target's software.
	StreamsResumed Name = "lovageshift_streams_resumed"
	// TargetConnections counts attempts to connect to targets by result: opened, or refused if the attempt failed.
	TargetConnections Name = "lovageshift_target_connections"
	// PossibleRestarts counts when a target may have restarted unnoticed, by what showed it: idleEnded, or unconnected.
	PossibleRestarts Name = "lovageshift_target_gaps"
	// ClosedUnanswered counts callers' connections that this process closed although bytes of a request without an answer had
	// arrived, by the state of the connection: new or idle if the header was not whole, else active.
	ClosedUnanswered Name = "lovageshift_connections_closed_unanswered"
)

// Histograms of durations in seconds, by how the request ended (the label values of Responses). Only entries that reach
// targets without agents record them.
const (
	// FirstEventSeconds is the time from sending a request to a target until the first event of its stream. It is not
	// recorded for a stream that continued on another target after its first event.
	FirstEventSeconds Name = "lovageshift_first_event_seconds"
	// WaitSeconds is the time from a request's arrival until its latest assignment to a target or, if it got none, until
	// its refusal.
	WaitSeconds Name = "lovageshift_wait_seconds"
	// RequestSeconds is the time from a request's arrival until its end.
	RequestSeconds Name = "lovageshift_request_seconds"
)

var histogramNames = []Name{FirstEventSeconds, WaitSeconds, RequestSeconds}

// bucketBounds are the upper bounds of the histograms' buckets, in seconds. Most lie around the latency objectives of
// requests. Durations above 15 s, such as those of long streams, fall into the last bucket, which has no upper bound.
var bucketBounds = []float64{0.005, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 5, 15}

var counterNames = []Name{
	Refusals, SharedRefusals, Retries, Responses, Dispatches, Configurations, EngineCrashes, Orders, ColdResets,
	StoreCalls, RecordChanges, PeerMessages, TargetConnections, PossibleRestarts, StreamsResumed, SecondGroups, Hedges,
	ClosedUnanswered,
}

// Counts holds the value of one counter for each label value.
type Counts map[string]int64

// Metrics holds the metrics of one process. Each counter and histogram has one label, named "reason" whatever its value
// means; gauges have none. It is safe for concurrent use.
type Metrics struct {
	counters   map[Name]metric.Int64Counter
	histograms map[Name]metric.Float64Histogram
	meter      metric.Meter
	handler    http.Handler

	mutex  sync.Mutex
	counts map[Name]Counts
	// options caches the measurement options by name and label value.
	options map[Name]map[string]metric.MeasurementOption
}

// New returns metrics with all counters and histograms empty and without gauges.
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

// Observe records a duration in the histogram under the label value.
func (m *Metrics) Observe(name Name, labelValue string, duration lovageshift.Millis) {
	m.mutex.Lock()
	option := m.option(name, labelValue)
	m.mutex.Unlock()
	m.histograms[name].Record(context.Background(), duration.Seconds(), option)
}

// option returns the cached measurement option of a label value; the mutex must be held.
func (m *Metrics) option(name Name, labelValue string) metric.MeasurementOption {
	option := m.options[name][labelValue]
	if option == nil {
		option = metric.WithAttributeSet(attribute.NewSet(attribute.String("reason", labelValue)))
		m.options[name][labelValue] = option
	}
	return option
}

// Add adds the amount to the counter under the label value.
func (m *Metrics) Add(name Name, labelValue string, amount int64) {
	m.mutex.Lock()
	m.counts[name][labelValue] += amount
	option := m.option(name, labelValue)
	m.mutex.Unlock()
	m.counters[name].Add(context.Background(), amount, option)
}

// AddRefusal counts a refusal by its reason.
func (m *Metrics) AddRefusal(reason lovageshift.Reason) { m.Add(Refusals, string(reason), 1) }

// AddRetry counts a retry by its reason, as Retries describes.
func (m *Metrics) AddRetry(reason lovageshift.Reason) { m.Add(Retries, string(reason), 1) }

// RegisterGauge registers a gauge under its exported name; read returns its value whenever metrics are collected.
func (m *Metrics) RegisterGauge(name string, read func() float64) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithFloat64Callback(
		func(_ context.Context, observer metric.Float64Observer) error {
			observer.Observe(read())
			return nil
		}))
	return trace.Wrap(err, "create gauge %s", name)
}

// Counts returns a copy of the counter's values by label value.
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
