// Package exporter provides an instance's Prometheus metrics and the HTTP server
// for operators: metrics, health, status and timeline.
package exporter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"hornbeamstream.example/core/recorder"
	"hornbeamstream.example/core/router"
	"hornbeamstream.example/hornbeamd/forwarder"
)

// namespace is the prefix of all metric names.
const namespace = "horn"

// Metrics holds the counters and histograms of one instance. The cardinality of
// labels is small: services come from the configuration, other label values from
// fixed sets.
type Metrics struct {
	requests  *prometheus.CounterVec
	latency   *prometheus.HistogramVec
	retries   *prometheus.CounterVec
	events    *prometheus.CounterVec
	calls     *prometheus.CounterVec
	stepTime  prometheus.Histogram
	drainTime prometheus.Histogram

	decisions *prometheus.CounterVec

	// The caches map label values to metrics, so that the request path takes no
	// lock to find a metric.
	responseCache cowMap[responseKey, responseMetrics]
	decisionCache cowMap[decisionKey, prometheus.Counter]
}

// decisionKey is the key of a decision counter.
type decisionKey struct {
	service string
	kind    forwarder.Decision
}

// responseKey is the key of the metrics of a kind of response.
type responseKey struct {
	service string
	outcome forwarder.Outcome
	reason  router.Reason
}

// responseMetrics holds the metrics of one kind of response.
type responseMetrics struct {
	requests prometheus.Counter
	latency  prometheus.Observer
}

// NewMetrics returns Metrics that are registered with r.
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
		stepTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "step_seconds",
			Help:    "Time of one step of the control goroutine with its local effects.",
			Buckets: prometheus.ExponentialBuckets(0.00001, 4, 8),
		}),
	}
	m.drainTime = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: "drain_seconds",
		Help:    "Time from the first leaving signal of an upstream until no request was in flight here.",
		Buckets: prometheus.ExponentialBuckets(0.125, 2, 10),
	})
	m.decisions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "decisions_total",
		Help: "Decisions on requests: own, hopped, shifted, missed, waited, silenced, inquired, replayed, capped, unpaid, paced.",
	}, []string{"service", "decision"})
	m.responseCache.newValue = func(k responseKey) responseMetrics {
		return responseMetrics{
			requests: m.requests.WithLabelValues(k.service, k.outcome.String(), string(k.reason)),
			latency:  m.latency.WithLabelValues(k.service, k.outcome.String()),
		}
	}
	m.decisionCache.newValue = func(k decisionKey) prometheus.Counter {
		return m.decisions.WithLabelValues(k.service, k.kind.String())
	}
	r.MustRegister(m.decisions, m.requests, m.latency, m.retries, m.events, m.calls, m.stepTime, m.drainTime)
	return m
}

// Answered implements forwarder.Metrics.
func (m *Metrics) ObserveRequest(service string, outcome forwarder.Outcome, reason router.Reason, took time.Duration) {
	metrics := m.responseCache.get(responseKey{service, outcome, reason})
	metrics.requests.Inc()
	metrics.latency.Observe(took.Seconds())
}

// Decided implements forwarder.Metrics.
func (m *Metrics) CountDecision(service string, d forwarder.Decision) {
	m.decisionCache.get(decisionKey{service, d}).Inc()
}

// Retried implements forwarder.Metrics.
func (m *Metrics) CountRetry(service string) { m.retries.WithLabelValues(service).Inc() }

// Recorded implements executor.Metrics.
func (m *Metrics) CountEvent(e recorder.Event) {
	m.events.WithLabelValues(string(e.Kind)).Inc()
	if e.Kind == recorder.KindDrainCompleted && !e.Since.IsZero() {
		m.drainTime.Observe(e.Wall.Sub(e.Since).Seconds())
	}
}

// Stepped implements executor.Metrics.
func (m *Metrics) ObserveStep(took time.Duration) { m.stepTime.Observe(took.Seconds()) }

// Called implements executor.Metrics.
func (m *Metrics) CountCall(kind string, failed bool) {
	result := "ok"
	if failed {
		result = "failed"
	}
	m.calls.WithLabelValues(kind, result).Inc()
}
