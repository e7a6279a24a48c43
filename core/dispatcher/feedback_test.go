package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLikelyWarmEstimate checks the hit rate of upstreams that are assumed to be
// warm. At first every run is expected to be cold. Once most runs are warm, a slow
// run is attributed to the upstream.
func TestLikelyWarmEstimate(t *testing.T) {
	const fast, slow = 70 * time.Millisecond, 240 * time.Millisecond
	is := is.New(t)
	s, u := &serviceTime{}, &Upstream{RTT: sameDomainRTT}
	s.aim.Store(int64(250 * time.Millisecond))
	observe := func(took time.Duration) float64 {
		return s.observe(&Decision{Upstream: u, LikelyWarm: true}, u, took+u.RTT)
	}
	is.Equal(s.likelyWarm(), s.cold())
	for range 40 {
		is.True(observe(slow) < 1.2) // counts as a cold run
	}
	for range 100 {
		observe(fast)
	}
	is.True(s.likelyWarm() < 1.1*s.warm())
	is.True(s.warm() < float64(100*time.Millisecond) && s.cold() > float64(200*time.Millisecond))
	is.True(observe(slow) > 2)
	known := Decision{Upstream: u, LikelyWarm: true, KnownWarm: true}
	is.True(s.observe(&known, u, slow+u.RTT) > 2) // always attributed to the upstream
	for range 60 {
		observe(slow) // all upstreams have lost their caches
	}
	is.True(observe(slow) < 1.2)
	is.True(s.likelyWarm() > 0.8*s.cold())
}
