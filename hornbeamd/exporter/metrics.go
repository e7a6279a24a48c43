// Package exporter shows operators what an instance does: Prometheus metrics,
// health, status and the timeline over HTTP.
package exporter

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"hornbeamstream.example/core/recorder"
	"hornbeamstream.example/core/router"
	"hornbeamstream.example/hornbeamd/forwarder"
)

// namespace starts the name of every metric.
const namespace = "horn"

// Metrics holds the counters of one instance. Labels take few values: services,
// outcomes and reasons come from the configuration or from fixed sets.
type Metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	retries  *prometheus.CounterVec
	events   *prometheus.CounterVec
	calls    *prometheus.CounterVec
	steps    prometheus.Histogram
	drains   prometheus.Histogram

	// answers holds the metrics of each kind of answer that has occurred, so
	// that traffic takes no lock to find them.
	answers sync.Map
}

// answer names a kind of answer.
type answer struct {
	service string
	outcome forwarder.Outcome
	reason  router.Reason
}

// answerMetrics are the metrics of one kind of answer.
type answerMetrics struct {
	requests prometheus.Counter
	latency  prometheus.Observer
}

// NewMetrics registers the counters.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total",
			Help: "Requests of callers by service, outcome (ran, notrun, unknown) and reason of the refusal.",
		}, []string{"service", "outcome", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "latency_seconds",
			Help:    "Time from the arrival of a caller's request to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 15),
		}, []string{"service", "outcome"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "retries_total",
			Help: "Tries that took from the retry budget.",
		}, []string{"service"}),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "events_total",
			Help: "Timeline events by kind.",
		}, []string{"kind"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "calls_total",
			Help: "Control calls to the platform, other instances and upstreams by kind and result.",
		}, []string{"kind", "result"}),
		steps: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "step_seconds",
			Help:    "Time of one step of the control goroutine with its local effects.",
			Buckets: prometheus.ExponentialBuckets(0.00001, 4, 8),
		}),
	}
	m.drains = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: "drain_seconds",
		Help:    "Time from the first leaving signal of an upstream until no request was in flight here.",
		Buckets: prometheus.ExponentialBuckets(0.125, 2, 10),
	})
	r.MustRegister(m.requests, m.latency, m.retries, m.events, m.calls, m.steps, m.drains)
	return m
}

// Answered implements forwarder.Metrics.
func (m *Metrics) Answered(service string, outcome forwarder.Outcome, reason router.Reason, took time.Duration) {
	key := answer{service, outcome, reason}
	v, ok := m.answers.Load(key)
	if !ok {
		v, _ = m.answers.LoadOrStore(key, answerMetrics{
			requests: m.requests.WithLabelValues(service, outcome.String(), string(reason)),
			latency:  m.latency.WithLabelValues(service, outcome.String()),
		})
	}
	found := v.(answerMetrics)
	found.requests.Inc()
	found.latency.Observe(took.Seconds())
}

// Retried implements forwarder.Metrics.
func (m *Metrics) Retried(service string) { m.retries.WithLabelValues(service).Inc() }

// Recorded implements executor.Metrics.
func (m *Metrics) Recorded(e recorder.Event) {
	m.events.WithLabelValues(string(e.Kind)).Inc()
	if e.Kind == recorder.Emptied && !e.Since.IsZero() {
		m.drains.Observe(e.Wall.Sub(e.Since).Seconds())
	}
}

// Stepped implements executor.Metrics.
func (m *Metrics) Stepped(took time.Duration) { m.steps.Observe(took.Seconds()) }

// Called implements executor.Metrics.
func (m *Metrics) Called(kind string, failed bool) {
	result := "ok"
	if failed {
		result = "failed"
	}
	m.calls.WithLabelValues(kind, result).Inc()
}
