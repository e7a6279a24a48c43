package reducer_test

import (
	"fmt"
	"time"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/reducer"
)

func ExampleState_Step() {
	now := time.Unix(1_800_000_000, 0)
	s := reducer.New(granter.Member{Name: "sofia-a-1", Domain: "sofia-a"}, "sofia", nil, now)
	for _, e := range s.Step(reducer.Tick{Now: now.Add(2 * time.Second)}) {
		if r, ok := e.(reducer.Record); ok {
			fmt.Println(r.Event.Kind, r.Event.Cause)
		}
	}
	// Output: paused no tick for 2s
}
