package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/steerer"
)

// TestQueueLimit fills the only upstream, which has four slots, with requests that
// take 100 ms each. It checks how many are accepted for several latency aims. A
// request that would wait longer than the aim is refused, even if its deadline is
// much later.
func TestQueueLimit(t *testing.T) {
	for _, tt := range []struct {
		aim  time.Duration
		want int
	}{
		// Four requests run, and each four more add 100 ms to the wait.
		{300 * time.Millisecond, 16},
		{200 * time.Millisecond, 12},
		// No request can run within the aim, so the wait is limited to one warm
		// service time.
		{time.Millisecond, 8},
		// Without an aim, the deadline of 1 s limits wait, service time and round trip.
		{0, 39},
	} {
		t.Run(fmt.Sprint(tt.aim), func(t *testing.T) {
			is := is.New(t)
			b := &Builder{Self: steerer.Instance{Name: "i", Domain: "a", Region: "r"}, Regions: map[string]string{"a": "r"}}
			table := b.Build(steerer.View{Ready: true, Upstreams: []steerer.Upstream{testUpstream("u", 1)}, Config: &steerer.Config{
				Version:  1,
				Services: []steerer.Service{{Name: "s", Conns: 100}},
				Routes: []steerer.Route{{
					Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Aim: tt.aim, Attempts: 1,
					Parts: []steerer.WeightedService{{Service: "s", Weight: 1}},
				}},
			}}, 1)
			route := table.Route("h", "/")
			st := route.Pools[0].serviceTime
			st.warmTime.Store(int64(100 * time.Millisecond))
			st.coldTime.Store(int64(100 * time.Millisecond))
			now := int64(time.Minute)
			accepted := 0
			for range 100 {
				d := Choose(&Request{Route: route, Pool: route.Pools[0].Pool, Now: now, Deadline: now + int64(time.Second)})
				if d.Upstream == nil {
					is.Equal(d.Reason, Overload)
					is.True(d.RetryAfter > 0)
					break
				}
				accepted++
			}
			is.Equal(accepted, tt.want)
		})
	}
}
