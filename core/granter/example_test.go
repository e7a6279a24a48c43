package granter_test

import (
	"fmt"
	"time"

	"hornbeamstream.example/core/granter"
)

// An instance that is alone in its domain takes the lease and grants itself all
// slots.
func ExampleState_Step() {
	now := time.Unix(0, 0)
	s := granter.New(granter.Member{Name: "a", Incarnation: 1, Domain: "d"}, now)
	s.Step(granter.ConfigChanged{Now: now, Config: granter.Config{
		Upstreams: []granter.UpstreamConfig{{Upstream: "u", Service: "lookup", Slots: 6, Limit: time.Second}},
	}})
	s.Step(granter.LeaseRead{Sent: now, Now: now})
	for _, e := range s.Step(granter.Tick{Now: now}) {
		if w, ok := e.(granter.WriteLease); ok {
			s.Step(granter.WriteCompleted{Sent: now, Now: now, Nonce: w.Lease.Nonce, Version: 1})
		}
	}
	fmt.Println(s.Leading, s.Holdings.Parts)
	// Output: true [{u 0 6}]
}
