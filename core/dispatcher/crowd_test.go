package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/steerer"
)

// TestCrowd fills the only upstream with requests that take 100 ms each, four at a
// time, and lists how many are taken in for several aims. Requests that find a
// longer wait than the aim are refused, long before the deadline.
func TestQueueLimit(t *testing.T) {
	for _, tt := range []struct {
		aim  time.Duration
		want int
	}{
		// Four run, and with each four more the wait grows by a run.
		{300 * time.Millisecond, 16},
		{200 * time.Millisecond, 12},
		// No run ends within the aim, so that it bounds nothing but the wait for one
		// run.
		{time.Millisecond, 8},
		// Without an aim the deadline of 1 s bounds wait, run and way.
		{0, 39},
	} {
		t.Run(fmt.Sprint(tt.aim), func(t *testing.T) {
			is := is.New(t)
			b := &Builder{Self: steerer.Instance{Name: "i", Domain: "a", Region: "r"}, Regions: map[string]string{"a": "r"}}
			table := b.Build(steerer.View{Ready: true, Upstreams: []steerer.Upstream{incarnationOf("u", 1)}, Config: &steerer.Config{
				Version:  1,
				Services: []steerer.Service{{Name: "s", Conns: 100}},
				Routes: []steerer.Route{{
					Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Aim: tt.aim, Attempts: 1,
					Parts: []steerer.WeightedService{{Service: "s", Weight: 1}},
				}},
			}}, 1)
			route := table.Route("h", "/")
			w := route.work
			w.warmTime.Store(int64(100 * time.Millisecond))
			w.coldTime.Store(int64(100 * time.Millisecond))
			now := int64(time.Minute)
			taken := 0
			for range 100 {
				d := Choose(&Request{Route: route, Pool: route.Pools[0].Pool, Now: now, Deadline: now + int64(time.Second)})
				if d.Upstream == nil {
					is.Equal(d.Reason, Overload)
					is.True(d.RetryAfter > 0)
					break
				}
				taken++
			}
			is.Equal(taken, tt.want)
		})
	}
}
