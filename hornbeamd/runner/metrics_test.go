package runner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

// TestRouteLabelsAreBounded counts requests on more routes than there are label
// values, as configuration changes introduce them over time.
func TestRouteLabelsAreBounded(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	m := newMetrics(registry, nil)
	for n := range 3 * maxRouteLabels {
		m.RequestDone(fmt.Sprint("r", n), "answered", time.Millisecond)
	}
	families, err := registry.Gather()
	is.NoErr(err)
	is.True(len(families) > 0)
	for _, f := range families {
		is.True(len(f.GetMetric()) <= maxRouteLabels+1)
		if f.GetName() != "horn_requests_total" {
			continue
		}
		for _, x := range f.GetMetric() {
			if x.GetLabel()[1].GetValue() == otherRouteLabel {
				is.Equal(int(x.GetCounter().GetValue()), 2*maxRouteLabels)
			}
		}
	}
}
