package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// limitContactTime is the time after a limit was first stated in which it may be
	// exceeded, limitToldTime the time after which an instance that was told counts.
	limitContactTime = 3 * time.Second
	limitToldTime    = 500 * time.Millisecond
	// In each limitWindow an upstream may get limitFactor times what its limit allows,
	// and limitSlack more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// excess returns the largest number of requests in a window of the limit, less what is
// allowed. Only instances that were told of the limit count.
func (u *simUpstream) excess(limit float64) float64 {
	var counted []int64
	for _, a := range u.limitedArrivals {
		told := u.limitSentAt[a.instance]
		if told != 0 && a.at-told >= int64(limitToldTime) && a.at-u.limitedAt >= int64(limitContactTime) {
			counted = append(counted, a.at)
		}
	}
	most, first := 0, 0
	for i, at := range counted {
		for at-counted[first] >= int64(limitWindow) {
			first++
		}
		most = max(most, i-first+1)
	}
	return float64(most) - (limitFactor*limit*limitWindow.Seconds() + limitSlack)
}

// limitScenario is a scenario in which some upstreams state a limit from second 8 on.
type limitScenario struct {
	scenario
	limit float64
	// limited is the number of upstreams that state it.
	limited int
}

func limitScenarios() []limitScenario {
	base := baseScenario("one of twelve upstreams limits its rate")
	few := base
	few.name = "a third of the upstreams limits its rate to half a request"
	all := base
	all.name = "all upstreams limit their rate"
	burst := base
	burst.name = "upstreams limit their rate in a burst"
	burst.rateFactor = func(now time.Duration) float64 {
		if now > 12*time.Second && now < 20*time.Second {
			return 1.8
		}
		return 1
	}
	cut := base
	cut.name = "a region is cut off from upstreams that limit their rate"
	cut.partitioned = func(a, b int, now time.Duration) bool {
		return a != b && (a == 0 || b == 0) && now > 10*time.Second && now < 16*time.Second
	}
	large := base
	large.name = "300 instances share the limits of four upstreams"
	large.instances = 100
	large.regions = []simRegion{{upstreams: 20, rate: 500, keys: 300}, {upstreams: 20, rate: 500, keys: 300}, {upstreams: 20, rate: 500, keys: 300}}
	large.duration = 20 * time.Second
	alone := base
	alone.name = "one instance has the whole limit"
	alone.instances = 1
	alone.regions = []simRegion{{upstreams: 6, rate: 126, keys: 94}}
	return []limitScenario{
		{base, 4.2, 1}, {few, 0.5, 4}, {all, 7.3, 12}, {burst, 5, 3}, {cut, 5, 3}, {large, 4.2, 4}, {alone, 4.2, 2},
	}
}

// TestRateLimitHoldsOverAllInstances guards against more requests than an upstream has
// limited itself to: each instance kept sending its usual load.
func TestRateLimitHoldsOverAllInstances(t *testing.T) {
	for _, s := range limitScenarios() {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			is := is.NewRelaxed(t)
			s.onTick = func(m *simulation, now time.Duration) {
				if now < 8*time.Second {
					return
				}
				// The limited upstreams are spread over the regions.
				for i := range s.limited {
					m.upstreams[i*len(m.upstreams)/s.limited].limit = s.limit
				}
			}
			m := simulate(s.scenario, newDispatcherPolicy(s.scenario), 1)
			for _, u := range m.upstreams {
				if u.limitedAt == 0 {
					continue
				}
				t.Logf("%s: excess %.1f", u.registration.ID, u.excess(s.limit))
				is.True(u.excess(s.limit) <= 0) // at most 1.5 times the limit, and 5 requests, in 4 s
			}
		})
	}
}
