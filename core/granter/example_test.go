package granter_test

import (
	"fmt"
	"time"

	"hornbeamstream.example/core/granter"
)

// The platform has no lease of the failure domain yet, so the first instance
// writes one that names itself.
func ExampleState_Step() {
	now := time.Unix(1_800_000_000, 0)
	s := granter.New(granter.Member{Name: "sofia-a-1", Domain: "sofia-a", Incarnation: 1}, now)
	s.Step(granter.Tick{Now: now})
	s.Step(granter.LeaseSeen{Asked: now, Now: now})
	for _, e := range s.Step(granter.Tick{Now: now.Add(100 * time.Millisecond)}) {
		if w, ok := e.(granter.WriteLease); ok {
			fmt.Println(w.Version, w.Lease.Leader, w.Lease.Epoch, w.Lease.Electors)
		}
	}
	// Output: 0 sofia-a-1 1 [sofia-a-1]
}
