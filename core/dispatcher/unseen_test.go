package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// unseen makes a deployment of the kinds that the dispatcher serves, with its load
// and faults, from a seed.
func unseen(seed uint64) scenario {
	r := rand.New(rand.NewPCG(seed, 99))
	between := func(a, b int) int { return a + r.IntN(b-a+1) }
	s := scenario{
		name:      fmt.Sprint("unseen ", seed),
		slots:     between(2, 16),
		instances: between(1, 4),
		work:      time.Duration(between(100, 900)) * time.Millisecond,
		length:    20 * time.Second,
		from:      2 * time.Second,
		shared:    r.IntN(4) == 0,
	}
	s.aim = time.Duration(float64(s.work) * (0.55 + 0.8*r.Float64()))
	s.timeout = s.aim * time.Duration(between(4, 8))
	upstreams := 0
	for range between(1, 4) {
		region := modelRegion{upstreams: between(1, 8), swing: 0.6 * r.Float64(), phase: r.Float64(), keys: between(10, 120)}
		upstreams += region.upstreams
		s.regions = append(s.regions, region)
	}
	// The load takes a share of the slots if all keys are known.
	capacity := float64(upstreams*s.slots) / (0.3 * s.work.Seconds())
	for i := range s.regions {
		s.regions[i].rate = (0.2 + 0.5*r.Float64()) * capacity / float64(len(s.regions))
	}
	keys := 0
	for _, region := range s.regions {
		keys += region.keys
	}
	s.remembers = keys/upstreams*between(1, 3) + 2
	begin, end := time.Duration(between(4, 9))*time.Second, time.Duration(between(10, 15))*time.Second
	during := func(now time.Duration) bool { return now > begin && now < end }
	switch r.IntN(4) {
	case 0:
		x := 1.2 + 0.8*r.Float64()
		s.burst = func(now time.Duration) float64 {
			if during(now) {
				return x
			}
			return 1
		}
	case 1:
		slow := float64(between(2, 10))
		s.change = func(m *model, now time.Duration) {
			m.upstreams[0].slow = 1
			if during(now) {
				m.upstreams[0].slow = slow
			}
		}
	case 2:
		s.change = func(m *model, now time.Duration) { m.upstreams[0].dead = during(now) && len(m.upstreams) > 1 }
	}
	return s
}

// TestUnseen plays deployments that nobody has tuned for. The golden file has what
// callers earn with the dispatcher, with the best of the simple policies, and with
// the informed one.
func TestRandomScenarios(t *testing.T) {
	t.Parallel()
	const seeds = 50
	is := is.NewRelaxed(t)
	var out strings.Builder
	sums := [3]float64{}
	for seed := range uint64(seeds) {
		s := unseen(seed)
		own, simple := play(s, newSteering(s), 1).tally.share(), 0.0
		for _, b := range baselines() {
			simple = max(simple, play(s, b.policy, 1).tally.share())
		}
		all := play(s, informed{}, 1).tally.share()
		note := ""
		if own < 0.9*all {
			note = "  below nine tenths of the informed one"
		}
		fmt.Fprintf(&out, "%2d  %.3f  %.3f  %.3f%s\n", seed, own, simple, all, note)
		for i, x := range []float64{own, simple, all} {
			sums[i] += x / seeds
		}
		is.True(own >= 0.95*simple) // no simple policy earns much more
	}
	fmt.Fprintf(&out, "mean  %.3f  %.3f  %.3f\n", sums[0], sums[1], sums[2])
	is.True(sums[0] >= 0.9*sums[2]) // nine tenths of what better knowledge earns
	golden(t, "unseen", out.String())
}
