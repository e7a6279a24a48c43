package exporter

import (
	"github.com/prometheus/client_golang/prometheus"

	"hornbeamstream.example/core/reporter"
)

// HeadroomCollector is a prometheus.Collector for the upstream slots that this
// instance holds.
type HeadroomCollector struct {
	// Upstreams returns the upstreams of which this instance holds slots.
	Upstreams func() []reporter.Upstream
	// Region is the value of the region label.
	Region string
}

var (
	slotsDesc = prometheus.NewDesc(namespace+"_slots",
		"Slots held here, by upstream and state: granted, admitted (the limit now) and busy.",
		[]string{"upstream", "service", "state"}, nil)
	headroomDesc = prometheus.NewDesc(namespace+"_region_headroom_ratio",
		"Free share of the slots held here, by region and service.",
		[]string{"region", "service"}, nil)
)

// Describe implements prometheus.Collector.
func (h HeadroomCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- slotsDesc
	ch <- headroomDesc
}

// Collect implements prometheus.Collector.
func (h HeadroomCollector) Collect(ch chan<- prometheus.Metric) {
	type sum struct{ slots, free int }
	sums := map[string]sum{}
	for _, u := range h.Upstreams() {
		gauge := func(state string, v int) {
			ch <- prometheus.MustNewConstMetric(slotsDesc, prometheus.GaugeValue, float64(v), u.Name, u.Service, state)
		}
		gauge("granted", u.Slots)
		gauge("admitted", u.Limit)
		gauge("busy", u.InFlight)
		s := sums[u.Service]
		s.slots += u.Slots
		s.free += max(0, u.Limit-u.InFlight)
		sums[u.Service] = s
	}
	for service, s := range sums {
		if s.slots > 0 {
			ch <- prometheus.MustNewConstMetric(headroomDesc, prometheus.GaugeValue, float64(s.free)/float64(s.slots), h.Region, service)
		}
	}
}
