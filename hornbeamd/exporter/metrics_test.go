package exporter

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"hornbeamstream.example/core/recorder"
	"hornbeamstream.example/core/reporter"
	"hornbeamstream.example/hornbeamd/forwarder"
)

// TestMetricsCountConcurrentRequests guards against lost counts of concurrent
// requests and against allocations on the request path.
func TestMetricsCountConcurrentRequests(t *testing.T) {
	is := is.New(t)
	r := prometheus.NewRegistry()
	m := NewMetrics(r)
	done := make(chan struct{})
	for range 4 {
		go func() {
			defer func() { done <- struct{}{} }()
			for range 100 {
				m.ObserveRequest("lookup", forwarder.OutcomeRan, "", time.Millisecond)
				m.CountDecision("lookup", forwarder.DecisionForwarded)
			}
		}()
	}
	for range 4 {
		<-done
	}
	is.Equal(testutil.ToFloat64(m.requests.WithLabelValues("lookup", "ran", "")), 400.0)
	is.Equal(testutil.ToFloat64(m.decisions.WithLabelValues("lookup", "hopped")), 400.0)
	allocs := testing.AllocsPerRun(100, func() {
		m.ObserveRequest("lookup", forwarder.OutcomeRan, "", time.Millisecond)
		m.CountDecision("lookup", forwarder.DecisionForwarded)
	})
	is.Equal(allocs, 0.0)
}

// TestDrainTime guards against a drain time that is not measured from the first
// shutdown signal of the upstream.
func TestDrainTime(t *testing.T) {
	is := is.New(t)
	r := prometheus.NewRegistry()
	m := NewMetrics(r)
	start := time.Unix(1_800_000_000, 0)
	m.CountEvent(recorder.Event{Kind: recorder.KindDrainCompleted, Since: start, Wall: start.Add(2 * time.Second)})
	m.CountEvent(recorder.Event{Kind: recorder.KindDrainStarted})
	want := `
# HELP horn_drain_seconds Time from the first leaving signal of an upstream until no request was in flight here.
# TYPE horn_drain_seconds histogram
horn_drain_seconds_bucket{le="0.125"} 0
horn_drain_seconds_bucket{le="0.25"} 0
horn_drain_seconds_bucket{le="0.5"} 0
horn_drain_seconds_bucket{le="1"} 0
horn_drain_seconds_bucket{le="2"} 1
horn_drain_seconds_bucket{le="4"} 1
horn_drain_seconds_bucket{le="8"} 1
horn_drain_seconds_bucket{le="16"} 1
horn_drain_seconds_bucket{le="32"} 1
horn_drain_seconds_bucket{le="64"} 1
horn_drain_seconds_bucket{le="+Inf"} 1
horn_drain_seconds_sum 2
horn_drain_seconds_count 1
`
	is.NoErr(testutil.GatherAndCompare(r, strings.NewReader(want), "horn_drain_seconds"))
}

// TestHeadroom guards against headroom that includes slots above the current
// limit.
func TestHeadroom(t *testing.T) {
	is := is.New(t)
	h := HeadroomCollector{Region: "sofia", Upstreams: func() []reporter.Upstream {
		return []reporter.Upstream{
			{Name: "a", Service: "lookup", Slots: 6, Limit: 6, InFlight: 2},
			{Name: "b", Service: "lookup", Slots: 6, Limit: 3, InFlight: 3},
		}
	}}
	want := `
# HELP horn_region_headroom_ratio Free share of the slots held here, by region and service.
# TYPE horn_region_headroom_ratio gauge
horn_region_headroom_ratio{region="sofia",service="lookup"} 0.3333333333333333
`
	is.NoErr(testutil.CollectAndCompare(h, strings.NewReader(want), "horn_region_headroom_ratio"))
}
