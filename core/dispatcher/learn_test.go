package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAssumedKeys learns how often an upstream that should know a key does. At
// first no run is expected to; once most do, a long run is the upstream's fault.
func TestLikelyWarmEstimate(t *testing.T) {
	const fast, slow = 70 * time.Millisecond, 240 * time.Millisecond
	is := is.New(t)
	w, u := &work{}, &Upstream{RTT: domainTrip}
	w.aim.Store(int64(250 * time.Millisecond))
	assumed := func(took time.Duration) float64 {
		return w.learn(&Decision{Upstream: u, LikelyWarm: true}, u, took+u.RTT)
	}
	is.Equal(w.assumed(), w.cold())
	for range 40 {
		is.True(assumed(slow) < 1.2) // as long as a run without the key
	}
	for range 100 {
		assumed(fast)
	}
	is.True(w.assumed() < 1.1*w.warm())
	is.True(w.warm() < float64(100*time.Millisecond) && w.cold() > float64(200*time.Millisecond))
	is.True(assumed(slow) > 2)
	known := Decision{Upstream: u, LikelyWarm: true, KnownWarm: true}
	is.True(w.learn(&known, u, slow+u.RTT) > 2) // always the upstream's fault
	for range 60 {
		assumed(slow) // all upstreams have forgotten
	}
	is.True(assumed(slow) < 1.2)
	is.True(w.assumed() > 0.8*w.cold())
}
