package dispatcher

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// randomScenario generates a deployment with its load and faults from a seed, within
// the range that the dispatcher is meant for.
func randomScenario(seed uint64) scenario {
	r := rand.New(rand.NewPCG(seed, 99))
	between := func(a, b int) int { return a + r.IntN(b-a+1) }
	s := scenario{
		name:       fmt.Sprint("unseen ", seed),
		slots:      between(2, 16),
		instances:  between(1, 4),
		coldTime:   time.Duration(between(100, 900)) * time.Millisecond,
		duration:   20 * time.Second,
		countFrom:  2 * time.Second,
		sharedKeys: r.IntN(4) == 0,
	}
	s.aim = time.Duration(float64(s.coldTime) * (0.55 + 0.8*r.Float64()))
	s.timeout = s.aim * time.Duration(between(4, 8))
	upstreams := 0
	for range between(1, 4) {
		region := simRegion{upstreams: between(1, 8), swing: 0.6 * r.Float64(), phase: r.Float64(), keys: between(10, 120)}
		upstreams += region.upstreams
		s.regions = append(s.regions, region)
	}
	// The load is a share of the capacity with all keys cached.
	capacity := float64(upstreams*s.slots) / (0.3 * s.coldTime.Seconds())
	for i := range s.regions {
		s.regions[i].rate = (0.2 + 0.5*r.Float64()) * capacity / float64(len(s.regions))
	}
	keys := 0
	for _, region := range s.regions {
		keys += region.keys
	}
	s.cacheSize = keys/upstreams*between(1, 3) + 2
	begin, end := time.Duration(between(4, 9))*time.Second, time.Duration(between(10, 15))*time.Second
	during := func(now time.Duration) bool { return now > begin && now < end }
	switch r.IntN(4) {
	case 0:
		factor := 1.2 + 0.8*r.Float64()
		s.rateFactor = func(now time.Duration) float64 {
			if during(now) {
				return factor
			}
			return 1
		}
	case 1:
		slowdown := float64(between(2, 10))
		s.onTick = func(m *simulation, now time.Duration) {
			m.upstreams[0].slowdown = 1
			if during(now) {
				m.upstreams[0].slowdown = slowdown
			}
		}
	case 2:
		s.onTick = func(m *simulation, now time.Duration) { m.upstreams[0].down = during(now) && len(m.upstreams) > 1 }
	}
	return s
}

// TestRandomScenarios guards against tuning the dispatcher to the fixed scenarios of
// TestPatterns: it simulates random ones. The golden file holds the mean scores of
// the dispatcher, the best simple policy and the oracle, one line per seed.
func TestRandomScenarios(t *testing.T) {
	t.Parallel()
	const seeds = 50
	is := is.NewRelaxed(t)
	var out strings.Builder
	means := [3]float64{}
	for seed := range uint64(seeds) {
		s := randomScenario(seed)
		dispatcher, simple := simulate(s, newDispatcherPolicy(s), 1).tally.meanScore(), 0.0
		for _, b := range baselines() {
			simple = max(simple, simulate(s, b.policy, 1).tally.meanScore())
		}
		ideal := simulate(s, oracle{}, 1).tally.meanScore()
		note := ""
		if dispatcher < 0.9*ideal {
			note = "  below nine tenths of the informed one"
		}
		fmt.Fprintf(&out, "%2d  %.3f  %.3f  %.3f%s\n", seed, dispatcher, simple, ideal, note)
		for i, score := range []float64{dispatcher, simple, ideal} {
			means[i] += score / seeds
		}
		is.True(dispatcher >= 0.95*simple) // no simple policy scores much higher
	}
	fmt.Fprintf(&out, "mean  %.3f  %.3f  %.3f\n", means[0], means[1], means[2])
	is.True(means[0] >= 0.9*means[2]) // at least nine tenths of the oracle's score
	golden(t, "unseen", out.String())
}
