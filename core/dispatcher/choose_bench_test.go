package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"hornbeamstream.example/core/steerer"
)

// BenchmarkChoose decides for requests whose key has room at the first look, by
// the number of the service's upstreams.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 150, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			domains := map[string]string{"a-1": "a", "a-2": "a", "b-1": "b", "c-1": "c"}
			builder := Builder{Self: steerer.Instance{Name: "i", Domain: "a-1", Region: "a"}, Regions: domains}
			view := steerer.View{Config: &steerer.Config{
				Services: []steerer.Service{{Name: "s", Conns: 100}},
				Routes: []steerer.Route{{
					Name: "r", Host: "h", Prefix: "/", Aim: 200 * time.Millisecond, Timeout: time.Second, Attempts: 2,
					Parts: []steerer.WeightedService{{Service: "s", Weight: 1}},
				}},
			}}
			names := []string{"a-1", "a-2", "b-1", "c-1"}
			for i := range n {
				view.Upstreams = append(view.Upstreams, steerer.Upstream{
					ID: fmt.Sprint("u", i), Service: "s", Address: fmt.Sprint("10.0.0.1:", i), Domain: names[i%len(names)], Slots: 4,
				})
			}
			now := int64(time.Second)
			t := builder.Build(view, now)
			route := t.Route("h", "/x")
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r := Request{Route: route, Pool: route.Pools[0].Pool, Key: uint64(i%500 + 1), Now: now, Deadline: now + int64(time.Second)}
				d := Choose(&r)
				d.Done(&r, Answered, 70*time.Millisecond, now)
				now += int64(time.Millisecond)
			}
		})
	}
}
