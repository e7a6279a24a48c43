package dispatcher_test

import (
	"fmt"
	"time"

	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/core/steerer"
)

// A request goes to the upstream from which its answer is expected first. The
// second one finds the upstream's only slot taken and goes to the other one.
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
		return dispatcher.Choose(&dispatcher.Request{Route: route, Pool: route.SelectPool(0, now), Now: now, Deadline: deadline})
	}
	deadline := now + int64(time.Second)
	first, second := choose(now, deadline), choose(now, deadline)
	fmt.Println(first.Expected, first.Wait, first.Upstream != second.Upstream)
	late := choose(now, now+int64(100*time.Millisecond))
	fmt.Println(late.Upstream == nil, late.Reason)
	// Output:
	// 181ms 0s true
	// true overload
}
