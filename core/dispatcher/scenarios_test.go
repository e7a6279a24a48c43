package dispatcher

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write the golden files")

// baseScenario is a service of typical size: three regions with the same load but
// different numbers of upstreams, each region with its own keys.
func baseScenario(name string) scenario {
	const rate = 126
	return scenario{
		name: name,
		regions: []simRegion{
			{upstreams: 6, rate: rate, swing: 0.55, phase: 0.2, keys: 94},
			{upstreams: 2, rate: rate, swing: 0.55, phase: 0.53, keys: 94},
			{upstreams: 4, rate: rate, swing: 0.55, phase: 0.87, keys: 94},
		},
		slots: 6, cacheSize: 98,
		coldTime: 240 * time.Millisecond, aim: 250 * time.Millisecond, timeout: 1200 * time.Millisecond,
		duration: 36 * time.Second,
	}
}

// scaled returns the scenario with all rates multiplied by factor.
func scaled(s scenario, factor float64) scenario {
	s.regions = append([]simRegion(nil), s.regions...)
	for i := range s.regions {
		s.regions[i].rate *= factor
	}
	return s
}

// scenarios returns the fixed scenarios of load and faults. Their names are also the
// names of golden files.
func scenarios() []scenario {
	wave := baseScenario("waves of the regions out of phase")
	start := baseScenario("all upstreams start without any key")
	start.duration = 6 * time.Second
	heavy := scaled(baseScenario("twice the usual load"), 2)
	burst := baseScenario("a burst of 1.7 times for 3 s")
	burst.rateFactor = func(now time.Duration) float64 {
		if now > 15*time.Second && now < 18*time.Second {
			return 1.7
		}
		return 1
	}
	overload := baseScenario("three and a half times the usual load for 6 s")
	overload.rateFactor = func(now time.Duration) float64 {
		if now > 15*time.Second && now < 21*time.Second {
			return 3.5
		}
		return 1
	}
	overload.countFrom, overload.duration = 15*time.Second, 22*time.Second
	slow := baseScenario("two upstreams take five times as long")
	slow.onTick = func(m *simulation, now time.Duration) {
		for _, i := range []int{0, 8} {
			m.upstreams[i].slowdown = 1
			if now > 10*time.Second && now < 20*time.Second {
				m.upstreams[i].slowdown = 5
			}
		}
	}
	manySlow := baseScenario("five of twelve upstreams take twelve times as long")
	manySlow.onTick = func(m *simulation, now time.Duration) {
		for _, i := range []int{0, 3, 7, 8, 11} {
			m.upstreams[i].slowdown = 1
			if now > 10*time.Second && now < 20*time.Second {
				m.upstreams[i].slowdown = 12
			}
		}
	}
	crash := baseScenario("an upstream of six refuses connections")
	crash.onTick = func(m *simulation, now time.Duration) {
		m.upstreams[1].down = now > 10*time.Second && now < 16*time.Second
		m.upstreams[9].down = m.upstreams[1].down
	}
	large := baseScenario("a large system recovers from a burst")
	large.instances = 28
	large.regions = nil
	for _, r := range []struct {
		upstreams int
		phase     float64
	}{{54, 0.2}, {12, 0.53}, {46, 0.87}} {
		large.regions = append(large.regions, simRegion{upstreams: r.upstreams, rate: 510, swing: 0.55, phase: r.phase, keys: 296})
	}
	large.coldTime, large.aim, large.timeout = 720*time.Millisecond, 500*time.Millisecond, 4*time.Second
	large.cacheSize = 33
	large.rateFactor = func(now time.Duration) float64 {
		if now > 8*time.Second && now < 13*time.Second {
			return 1.8
		}
		return 1
	}
	large.countFrom, large.duration = 18*time.Second, 28*time.Second
	cold := large
	cold.name = "a large system recovers after its upstreams forgot all keys"
	cold.onTick = func(m *simulation, now time.Duration) {
		if now > 10*time.Second && now < 11*time.Second {
			for _, u := range m.upstreams {
				u.cachedKeys = nil
			}
		}
	}
	cold.rateFactor = func(now time.Duration) float64 {
		if now > 8*time.Second {
			return 1.45
		}
		return 1
	}
	flap := baseScenario("two upstreams go down and up each second")
	flap.onTick = func(m *simulation, now time.Duration) {
		for _, i := range []int{1, 9} {
			m.upstreams[i].down = now > 10*time.Second && now < 24*time.Second && now/time.Second%2 == 0
		}
	}
	pause := baseScenario("half of the upstreams ask for a pause of 3 s")
	pause.onTick = func(m *simulation, now time.Duration) {
		for i, u := range m.upstreams {
			if i%2 == 0 && now == 15*time.Second {
				u.pausedUntil = int64(now + 3*time.Second)
			}
		}
	}
	pause.countFrom, pause.duration = 15*time.Second, 20*time.Second
	pauseHeavy := scaled(pause, 2)
	pauseHeavy.name = "half of the upstreams ask for a pause of 3 s under twice the usual load"
	small := baseScenario("upstreams remember a sixth of the keys")
	small.cacheSize = 47
	shared := baseScenario("callers of all regions ask for the same objects")
	shared.sharedKeys = true
	isolated := baseScenario("one region is cut off from the others for 6 s")
	isolated.partitioned = func(a, b int, now time.Duration) bool {
		return a != b && (a == 0 || b == 0) && now > 10*time.Second && now < 16*time.Second
	}
	return []scenario{wave, start, heavy, burst, overload, slow, manySlow, crash, flap, pause, pauseHeavy, small, shared, isolated, large, cold}
}

// TestPatterns simulates each scenario with the dispatcher and with simple policies.
// The golden file holds the results of all of them, and those of the oracle.
func TestPatterns(t *testing.T) {
	for _, s := range scenarios() {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			is := is.NewRelaxed(t)
			dispatcher := simulate(s, newDispatcherPolicy(s), 1)
			for _, u := range dispatcher.upstreams {
				for _, n := range u.afterPause {
					is.True(n <= 2) // a paused upstream gets at most two more requests of an instance
				}
			}
			var out strings.Builder
			fmt.Fprintf(&out, "%-14s %v\n", "dispatcher", dispatcher.tally)
			for _, b := range baselines() {
				if s.partitioned != nil {
					// The simple policies do not detect a partition.
					continue
				}
				if s.instances > 0 && b.name != "two random" {
					// Large systems take long to simulate.
					continue
				}
				m := simulate(s, b.policy, 1)
				fmt.Fprintf(&out, "%-14s %v\n", b.name, m.tally)
				is.True(dispatcher.tally.meanScore() >= m.tally.meanScore()) // no simple policy scores higher
			}
			if s.instances == 0 && s.partitioned == nil {
				fmt.Fprintf(&out, "%-14s %v\n", "informed", simulate(s, oracle{}, 1).tally)
			}
			golden(t, strings.ReplaceAll(s.name, " ", "-"), out.String())
		})
	}
}

// baseline is a simple policy to compare the dispatcher with.
type baseline struct {
	name   string
	policy policy
}

func baselines() []baseline {
	return []baseline{
		{"round robin", &roundRobin{}},
		{"least own", &leastOutstanding{inflight: map[[3]int]int{}}},
		{"two random", &twoRandomChoices{load: map[int]int{}}},
	}
}

// golden compares text with a golden file, which it writes first if -update is set.
func golden(t *testing.T, name, text string) {
	t.Helper()
	is := is.New(t)
	file := filepath.Join("testdata", name+".golden")
	if *update {
		is.NoErr(os.MkdirAll("testdata", 0o755))
		is.NoErr(os.WriteFile(file, []byte(text), 0o644))
	}
	want, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(text, string(want))
}
