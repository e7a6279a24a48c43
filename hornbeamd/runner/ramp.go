package runner

import (
	"slices"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"hornbeamstream.example/core/dispatcher"
)

// logRamps logs the upstreams that ramp up since it was last called, and those that have
// finished, in one line for each service and failure domain.
func (r *Runner) logRamps() {
	now := r.table.Load().Ramps()
	find := func(all []dispatcher.Ramp, x dispatcher.Ramp) (dispatcher.Ramp, bool) {
		i := slices.IndexFunc(all, func(y dispatcher.Ramp) bool { return x.Service == y.Service && x.Domain == y.Domain })
		if i < 0 {
			return dispatcher.Ramp{}, false
		}
		return all[i], true
	}
	for _, x := range now {
		if before, known := find(r.ramps, x); !known || before.Upstreams != x.Upstreams {
			r.cfg.Log.Info("ramping up", "service", x.Service, "domain", x.Domain, "upstreams", x.Upstreams, "share", x.Share)
		}
	}
	for _, x := range r.ramps {
		if _, goesOn := find(now, x); !goesOn {
			r.cfg.Log.Info("ramped up", "service", x.Service, "domain", x.Domain, "upstreams", x.Upstreams)
		}
	}
	r.ramps = now
}

// rampCollector exports the upstreams that ramp up.
type rampCollector struct {
	table *atomic.Pointer[dispatcher.Table]
}

var (
	rampingUpstreams = prometheus.NewDesc("horn_ramping_upstreams", "Upstreams that have started or recovered and do not take all of their keys yet.", []string{"service", "domain"}, nil)
	rampShare        = prometheus.NewDesc("horn_ramp_share", "Mean share of their keys that they take.", []string{"service", "domain"}, nil)
)

// Describe implements prometheus.Collector.
func (rampCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- rampingUpstreams
	ch <- rampShare
}

// Collect implements prometheus.Collector.
func (c rampCollector) Collect(ch chan<- prometheus.Metric) {
	for _, x := range c.table.Load().Ramps() {
		ch <- prometheus.MustNewConstMetric(rampingUpstreams, prometheus.GaugeValue, float64(x.Upstreams), x.Service, x.Domain)
		ch <- prometheus.MustNewConstMetric(rampShare, prometheus.GaugeValue, x.Share, x.Service, x.Domain)
	}
}
