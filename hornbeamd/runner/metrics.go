package runner

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/reporter"
)

// metrics implements relayer.Metrics.
type metrics struct {
	answered *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	tried    *prometheus.CounterVec
	dialed   *prometheus.CounterVec
}

func newMetrics(registry *prometheus.Registry, dropped func() uint64) *metrics {
	m := &metrics{
		answered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "horn_requests_total", Help: "Answered requests by route and outcome.",
		}, []string{"route", "outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "horn_request_seconds", Help: "Time from a request to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 11),
		}, []string{"route"}),
		tried: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "horn_sends_total", Help: "Requests sent to upstreams by service and result.",
		}, []string{"service", "result"}),
		dialed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "horn_dials_total", Help: "Connections opened to upstreams.",
		}, []string{"service"}),
	}
	registry.MustRegister(m.answered, m.latency, m.tried, m.dialed)
	if dropped != nil {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "horn_log_lines_dropped_total", Help: "Log lines dropped because of the bound on their rate.",
		}, func() float64 { return float64(dropped()) }))
	}
	return m
}

// Answered implements relayer.Metrics.
func (m *metrics) Answered(route, outcome string, took time.Duration) {
	m.answered.WithLabelValues(route, outcome).Inc()
	m.latency.WithLabelValues(route).Observe(took.Seconds())
}

// Tried implements relayer.Metrics.
func (m *metrics) Tried(service, result string) { m.tried.WithLabelValues(service, result).Inc() }

// Dialed implements relayer.Metrics.
func (m *metrics) Dialed(service string) { m.dialed.WithLabelValues(service).Inc() }

// status is the account of this instance for operators.
func (r *Runner) status(context.Context) (reporter.Status, error) {
	v := r.view()
	self := r.cfg.Self
	s := reporter.Status{
		Instance: granter.Member{Name: self.Name, Front: self.Front, Domain: self.Domain},
		Region:   self.Region,
	}
	if v.Config != nil {
		s.Version = v.Config.Version
	}
	return s, nil
}
