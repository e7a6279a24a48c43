package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/steerer"
)

// neighborTable returns a table with two upstreams in this instance's domain.
func neighborTable(now int64) *Table {
	b := &Builder{Self: steerer.Instance{Name: "i", Domain: "a", Region: "r"}, Regions: map[string]string{"a": "r"}}
	return b.Build(steerer.View{Ready: true, Config: &steerer.Config{
		Services: []steerer.Service{{Name: "s", Conns: 100}},
		Routes:   []steerer.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: 2 * time.Second, Aim: 200 * time.Millisecond, Attempts: 1, Parts: []steerer.WeightedService{{Service: "s", Weight: 1}}}},
	}, Upstreams: []steerer.Upstream{
		{ID: "u1", Service: "s", Address: "a:1", Domain: "a", Slots: 2},
		{ID: "u2", Service: "s", Address: "a:2", Domain: "a", Slots: 2},
	}}, now)
}

// TestUpstreamSlowedByNeighbors checks that requests avoid an upstream whose machine is slow
// at the moment, and that this soon counts for nothing.
func TestUpstreamSlowedByNeighbors(t *testing.T) {
	is := is.New(t)
	now := int64(time.Minute)
	table := neighborTable(now)
	slow := table.Pool("s").Upstreams[0]
	slow.report(Load{Slots: 2, Slowness: 2.5}, now)
	table.Pool("s").Upstreams[1].report(Load{Running: 1, Slots: 2, Slowness: 1}, now)
	r := &Request{Route: table.Route("h", "/"), Pool: table.Pool("s"), Now: now, Deadline: now + int64(2*time.Second)}
	is.True(Choose(r).Upstream != slow)
	is.True(slow.snapshot(now+int64(time.Second), 0).slowdown < 1.02)
}

// TestQueueOnSharedMachine checks that a request is not refused for a wait that is long only
// because an upstream on a shared machine was slow a moment ago.
func TestQueueOnSharedMachine(t *testing.T) {
	is := is.New(t)
	now := int64(time.Minute)
	for _, slowness := range []float64{0, 1} {
		table := neighborTable(now)
		for _, u := range table.Pool("s").Upstreams {
			u.report(Load{Running: 2, Slots: 2, Slowness: slowness}, now)
			for range 6 {
				u.observe(now, 6, false)
			}
		}
		r := &Request{Route: table.Route("h", "/"), Pool: table.Pool("s"), Now: now, Deadline: now + int64(5*time.Second)}
		d := Choose(r)
		is.Equal(d.Upstream != nil, slowness > 0)
	}
}
