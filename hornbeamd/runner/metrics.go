package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/quarantiner"
	"hornbeamstream.example/core/reporter"
	"hornbeamstream.example/core/steerer"
	"hornbeamstream.example/hornbeamd/watcher"
)

// metrics implements relayer.Metrics.
type metrics struct {
	requests         *prometheus.CounterVec
	latency          *prometheus.HistogramVec
	sends            *prometheus.CounterVec
	probes           *prometheus.CounterVec
	dials            *prometheus.CounterVec
	upstreamRequests *prometheus.CounterVec
	limitedSends     *prometheus.CounterVec
	evictions        *prometheus.CounterVec
	changes          *prometheus.CounterVec
	storeCalls       *prometheus.CounterVec
	panics           *prometheus.CounterVec
	controlGaps      *prometheus.HistogramVec
	splits           *prometheus.CounterVec

	mu sync.Mutex
	// labeledRoutes is the set of routes with their own label value.
	labeledRoutes map[string]bool
}

const (
	// maxRouteLabels limits the label values for routes: configurations may
	// introduce new routes for as long as the process runs.
	maxRouteLabels = 100
	// otherRouteLabel is the label value of all further routes.
	otherRouteLabel = "other"
)

func newMetrics(registry *prometheus.Registry, dropped func() uint64) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "horn_requests_total", Help: "Answered requests by route and outcome.",
		}, []string{"route", "outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "horn_request_seconds", Help: "Time from a request to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 11),
		}, []string{"route"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "horn_sends_total", Help: "Requests sent to upstreams by service and result.",
		}, []string{"service", "result"}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "horn_health_checks_total", Help: "Health checks of upstreams by service and result.",
		}, []string{"service", "result"}),
		dials: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "horn_dials_total", Help: "Connections opened to upstreams.",
		}, []string{"service"}),
		upstreamRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "horn_upstream_requests_total", Help: "What upstreams have asked for: a pause, a limited rate, or to be left.",
		}, []string{"service", "what"}),
		limitedSends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "horn_limited_sends_total", Help: "Requests sent to upstreams that limit their rate, first sends and repeats.",
		}, []string{"service", "send"}),
		evictions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "horn_callers_evicted_total", Help: "Connections of callers closed in favor of others, by what was short.",
		}, []string{"short"}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "horn_changes_total", Help: "Changes of what the instance believes.",
		}, []string{"what"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "horn_store_calls_total", Help: "Calls to the store by kind and result.",
		}, []string{"call", "result"}),
		panics: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "horn_panics_total", Help: "Work that has panicked, by its kind.",
		}, []string{"what"}),
		controlGaps: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "horn_control_step_seconds", Help: "Steps of the control loop: the wait for an event, the event, its effects.",
			Buckets: prometheus.ExponentialBuckets(0.001, 4, 8),
		}, []string{"step"}),
		splits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "horn_split_requests_total", Help: "Requests on routes with several services, by the service selected for them.",
		}, []string{"route", "service"}),
		labeledRoutes: map[string]bool{},
	}
	registry.MustRegister(m.requests, m.latency, m.sends, m.probes, m.dials, m.upstreamRequests, m.limitedSends, m.evictions, m.changes, m.storeCalls, m.panics, m.controlGaps, m.splits)
	if dropped != nil {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "horn_log_lines_dropped_total", Help: "Log lines dropped because of the bound on their rate.",
		}, func() float64 { return float64(dropped()) }))
	}
	return m
}

// registerGauges registers gauges of the current view and quarantine.
func (m *metrics) registerGauges(registry *prometheus.Registry, view func() *steerer.View, quarantine *atomic.Pointer[quarantiner.Set]) {
	for _, g := range []struct {
		name, help string
		value      func(*steerer.View) float64
	}{
		{"horn_config_version", "Version of the configuration in force.", func(v *steerer.View) float64 {
			if v.Config == nil {
				return 0
			}
			return float64(v.Config.Version)
		}},
		{"horn_fronts", "Instances that callers may use.", func(v *steerer.View) float64 { return float64(len(v.Available)) }},
		{"horn_quarantined_requests", "Requests that are refused because they have crashed upstreams.", func(*steerer.View) float64 {
			return float64(len(quarantine.Load().Quarantined()))
		}},
		{"horn_ready", "Whether the instance takes requests.", func(v *steerer.View) float64 {
			if v.Ready {
				return 1
			}
			return 0
		}},
	} {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: g.name, Help: g.help}, func() float64 { return g.value(view()) }))
	}
}

// routeLabel returns the label value of a route.
func (m *metrics) routeLabel(route string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.labeledRoutes[route] {
		if len(m.labeledRoutes) >= maxRouteLabels {
			return otherRouteLabel
		}
		m.labeledRoutes[route] = true
	}
	return route
}

// RequestDone implements relayer.Metrics.
func (m *metrics) RequestDone(route, outcome string, took time.Duration) {
	route = m.routeLabel(route)
	m.requests.WithLabelValues(route, outcome).Inc()
	m.latency.WithLabelValues(route).Observe(took.Seconds())
}

// ExchangeDone implements relayer.Metrics.
func (m *metrics) ExchangeDone(service, result string) {
	m.sends.WithLabelValues(service, result).Inc()
}

// ProbeDone implements relayer.Metrics.
func (m *metrics) ProbeDone(service, result string) {
	m.probes.WithLabelValues(service, result).Inc()
}

// Dialed implements relayer.Metrics.
func (m *metrics) Dialed(service string) { m.dials.WithLabelValues(service).Inc() }

// PoolSelected implements relayer.Metrics.
func (m *metrics) PoolSelected(route, service string) {
	m.splits.WithLabelValues(m.routeLabel(route), service).Inc()
}

// UpstreamSignal implements relayer.Metrics.
func (m *metrics) UpstreamSignal(service, what string) {
	m.upstreamRequests.WithLabelValues(service, what).Inc()
}

// LimitedSend implements relayer.Metrics.
func (m *metrics) LimitedSend(service string, repeat bool) {
	send := "first"
	if repeat {
		send = "repeat"
	}
	m.limitedSends.WithLabelValues(service, send).Inc()
}

// CallerEvicted implements relayer.Metrics.
func (m *metrics) CallerEvicted(shortage string) { m.evictions.WithLabelValues(shortage).Inc() }

// instrument returns a Store that counts its calls, and registers the gauge of the time
// since the store's last answer.
func (m *metrics) instrument(registry *prometheus.Registry, s Store, now func() int64) instrumentedStore {
	answeredAt := new(atomic.Int64)
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "horn_store_silence_seconds", Help: "Time since the store last answered a call.",
	}, func() float64 { return time.Duration(now() - answeredAt.Load()).Seconds() }))
	return instrumentedStore{Store: s, calls: m.storeCalls, answeredAt: answeredAt, now: now}
}

// instrumentedStore counts the calls to a Store by result.
type instrumentedStore struct {
	Store
	calls *prometheus.CounterVec
	// answeredAt is when the store last answered a call.
	answeredAt *atomic.Int64
	now        func() int64
}

func (s instrumentedStore) count(call string, err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	} else {
		s.answeredAt.Store(s.now())
	}
	s.calls.WithLabelValues(call, result).Inc()
}

// List implements watcher.Source.
func (s instrumentedStore) List(ctx context.Context, k steerer.Kind, after string, stale bool) (p watcher.Page, err error) {
	defer func() { s.count("list", err) }()
	return s.Store.List(ctx, k, after, stale)
}

// Watch implements watcher.Source.
func (s instrumentedStore) Watch(ctx context.Context, k steerer.Kind, revision uint64, until time.Time) (p watcher.Page, err error) {
	defer func() { s.count("watch", err) }()
	return s.Store.Watch(ctx, k, revision, until)
}

// Ping implements watcher.Source.
func (s instrumentedStore) Ping(ctx context.Context) (era uint64, err error) {
	defer func() { s.count("ping", err) }()
	return s.Store.Ping(ctx)
}

// Register implements Store.
func (s instrumentedStore) Register(ctx context.Context, i steerer.Instance) (err error) {
	defer func() { s.count("register", err) }()
	return s.Store.Register(ctx, i)
}

// WriteQuarantine implements Store.
func (s instrumentedStore) WriteQuarantine(ctx context.Context, o steerer.Object) (err error) {
	defer func() { s.count("quarantine", err) }()
	return s.Store.WriteQuarantine(ctx, o)
}

// status returns the instance's status for the admin server.
func (r *Runner) status(context.Context) (reporter.Status, error) {
	v := r.currentView()
	self := r.cfg.Self
	s := reporter.Status{
		Instance: granter.Member{Name: self.Name, Front: self.Front, Domain: self.Domain},
		Region:   self.Region,
	}
	if v.Config != nil {
		s.Version = v.Config.Version
	}
	s.Workspaces = r.workspaces()
	return s, nil
}
