package router

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// scenario is one configuration of the simulation.
type scenario struct {
	name    string
	seconds int64
	service int
	// loads are relative to the capacity of the three services' slots.
	loads        [3]float64
	slowFactor   int64
	retryRefused bool
}

var (
	meanServiceTimes = [3]int64{30 * ms, 60 * ms, 500 * ms}
	responseSizes    = [3]int{4 << 10, 2 << 10, 24 << 20}
	deadlines        = [3]int64{int64(time.Second), int64(2 * time.Second), int64(4 * time.Second)}
	policies         = []string{"ours", "random", "roundrobin", "leastload", "twochoices"}
	scenarios        = []scenario{
		{"overload120/lookups", 10, 0, [3]float64{1.2}, 1, false},
		{"overload120/payments", 20, 1, [3]float64{0, 1.2}, 1, false},
		{"overload120repeated/payments", 20, 1, [3]float64{0, 1.2}, 1, true},
		{"load30/lookups", 10, 0, [3]float64{0.3}, 1, false},
		{"load60/lookups", 10, 0, [3]float64{0.6}, 1, false},
		{"load60slow10/lookups", 10, 0, [3]float64{0.6}, 10, false},
		{"load80/lookups", 10, 0, [3]float64{0.8}, 1, false},
		{"calm/payments", 30, 1, [3]float64{0, 0.5, 0.3}, 1, false},
		{"rush/payments", 30, 1, [3]float64{0, 0.5, 3}, 1, false},
		{"rush/archives", 30, 2, [3]float64{0, 0.5, 3}, 1, false},
	}
)

func (c scenario) run(f fleet, policy string, seed uint64) *result {
	var loads []load
	for i, offered := range c.loads {
		if offered > 0 {
			loads = append(loads, load{f.services[i], offered, meanServiceTimes[i], responseSizes[i], deadlines[i]})
		}
	}
	m := newSimulation(f, policy, seed, c.seconds, loads...)
	m.retryRefused = c.retryRefused
	m.schedule(warmup/2, func() { m.servers[loads[0].service][0].slowFactor = c.slowFactor })
	r := m.run()[f.services[c.service]]
	slots := int64(f.upstreams * f.slots[c.service])
	window := c.seconds*int64(time.Second) - deadlines[c.service]
	r.goodput = float64(r.goodSlotTime) / float64(window*slots)
	return r
}

// metrics returns the columns of the tables in docs/MEASUREMENTS.md.
func (r *result) metrics() [7]float64 {
	n, answered := float64(r.sent), float64(max(1, len(r.latencies)))
	return [...]float64{
		r.goodput, float64(r.good) / n, float64(r.overLimit), r.p99(),
		float64(r.local) / answered, float64(r.forwarded) / n, float64(r.refusedForwards) / n,
	}
}

// BenchmarkPolicy reports the means over four seeds. One iteration is enough,
// because the simulation is deterministic.
func BenchmarkPolicy(b *testing.B) {
	units := [...]string{"goodput", "ok", "over", "p99-ms", "local", "hops", "wasted"}
	for _, f := range []fleet{kasa, kotuku} {
		for _, c := range scenarios {
			for _, policy := range policies {
				b.Run(f.services[0]+"/"+c.name+"/"+policy, func(b *testing.B) {
					for b.Loop() {
						var mean [len(units)]float64
						for seed := range uint64(4) {
							for i, x := range c.run(f, policy, seed+1).metrics() {
								mean[i] += x / 4
							}
						}
						for i, unit := range units {
							b.ReportMetric(mean[i], unit)
						}
					}
					b.ReportMetric(0, "ns/op")
				})
			}
		}
	}
}

func findScenario(name string, seconds int64) scenario {
	for _, c := range scenarios {
		if c.name == name {
			c.seconds = seconds
			return c
		}
	}
	panic("unknown scenario " + name)
}

// Guards against slots that stay unused or are exceeded at 120% of their
// capacity, and against requests that are refused late.
func TestGoodputAtOverload(t *testing.T) {
	is := is.New(t)
	for _, f := range []fleet{kasa, kotuku} {
		r := findScenario("overload120/lookups", 4).run(f, "ours", 1)
		is.Equal(r.overLimit, 0)
		is.True(r.goodput >= 0.95)
		is.True(r.refusedAfter < 250*ms)
	}
}

// Guards against a slow upstream raising the callers' p99 latency, and against
// traffic leaving a region that has headroom.
func TestOneSlowUpstream(t *testing.T) {
	is := is.New(t)
	for _, f := range []fleet{kasa, kotuku} {
		healthy := findScenario("load60/lookups", 4).run(f, "ours", 1)
		slow := findScenario("load60slow10/lookups", 4).run(f, "ours", 1)
		is.True(slow.p99() <= 1.5*healthy.p99())
		is.True(float64(healthy.local) >= 0.95*float64(healthy.good))
	}
}

// Guards against large bulk responses delaying or displacing payments.
func TestPaymentsDuringBulkRush(t *testing.T) {
	is := is.New(t)
	for _, f := range []fleet{kasa, kotuku} {
		calm := findScenario("calm/payments", 6).run(f, "ours", 1)
		rush := findScenario("rush/payments", 6).run(f, "ours", 1)
		is.True(float64(rush.good) >= 0.999*float64(rush.sent))
		is.True(rush.p99() <= 1.5*calm.p99())
	}
}
