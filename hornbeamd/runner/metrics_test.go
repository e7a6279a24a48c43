package runner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

// TestLabelsAreBounded answers requests on many routes, as configurations bring
// them over time.
func TestRouteLabelsAreBounded(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	m := newMetrics(registry, nil)
	for n := range 3 * maxRoutes {
		m.RequestDone(fmt.Sprint("r", n), "answered", time.Millisecond)
	}
	families, err := registry.Gather()
	is.NoErr(err)
	is.True(len(families) > 0)
	for _, f := range families {
		is.True(len(f.GetMetric()) <= maxRoutes+1)
		if f.GetName() != "horn_requests_total" {
			continue
		}
		for _, x := range f.GetMetric() {
			if x.GetLabel()[1].GetValue() == otherRoute {
				is.Equal(int(x.GetCounter().GetValue()), 2*maxRoutes)
			}
		}
	}
}
