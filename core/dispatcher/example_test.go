package dispatcher_test

import (
	"fmt"
	"time"

	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/core/steerer"
)

// The first request occupies the only slot of one upstream, so the second one goes
// to the other upstream. The third one cannot be answered before its deadline and is
// refused.
func ExampleChoose() {
	b := dispatcher.Builder{
		Self:    steerer.Instance{Name: "i1", Domain: "a-1", Region: "a"},
		Regions: map[string]string{"a-1": "a", "b-1": "b"},
	}
	now := int64(time.Second)
	table := b.Build(steerer.View{
		Config: &steerer.Config{
			Services: []steerer.Service{{Name: "lookup", Conns: 100}},
			Routes: []steerer.Route{{
				Name: "r", Host: "example", Prefix: "/", Aim: 200 * time.Millisecond, Timeout: time.Second,
				Parts: []steerer.WeightedService{{Service: "lookup", Weight: 1}},
			}},
		},
		Upstreams: []steerer.Upstream{
			{ID: "near", Service: "lookup", Domain: "a-1", Slots: 1},
			{ID: "near-2", Service: "lookup", Domain: "a-1", Slots: 1},
		},
	}, now)
	route := table.Route("example", "/balance/7")
	choose := func(now, deadline int64) dispatcher.Decision {
		return dispatcher.Choose(&dispatcher.Request{Route: route, Pool: route.SelectPool(), Now: now, Deadline: deadline})
	}
	deadline := now + int64(time.Second)
	first, second := choose(now, deadline), choose(now, deadline)
	fmt.Println(first.Expected, first.Wait, first.Upstream != second.Upstream)
	third := choose(now, now+int64(100*time.Millisecond))
	fmt.Println(third.Upstream == nil, third.Reason)
	// Output:
	// 181ms 0s true
	// true overload
}
