package observer_test

import (
	"fmt"
	"time"

	"hornbeamstream.example/core/observer"
)

func ExampleState_Step() {
	now := time.Unix(1_800_000_000, 0)
	s := observer.New(now)
	specs := []observer.Spec{{Upstream: "lookup-1", Service: "lookup", Slots: 8}}
	show := func(effects []observer.Effect) {
		for _, e := range effects {
			if v, ok := e.(observer.Verdict); ok {
				fmt.Printf("%s %d %v %q\n", v.Upstream, v.Limit, v.Leaving, v.Cause)
			}
		}
	}
	show(s.Step(observer.SpecsChanged{Now: now, Specs: specs}))
	show(s.Step(observer.Signaled{
		At: now, Now: now, Upstream: "lookup-1", Source: observer.FromPlatform, Leaving: true,
	}))
	// Output:
	// lookup-1 8 false ""
	// lookup-1 0 true "leaving by the platform's list"
}
