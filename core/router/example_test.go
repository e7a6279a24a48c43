package router_test

import (
	"fmt"
	"time"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/observer"
	"hornbeamstream.example/core/router"
)

func ExampleTable_Choose() {
	now := time.Unix(1_800_000_000, 0)
	table := router.Build(router.Input{
		Now: now, Self: "sofia-a-1", Domain: "sofia-a", Region: "sofia",
		Config: &loader.State{
			Regions:  map[string]loader.Region{"sofia": {}},
			Domains:  map[string]loader.Domain{"sofia-a": {Region: "sofia", Instances: 1}},
			Services: map[string]loader.Service{"lookup": {TimeoutMillis: 2000}},
			Upstreams: map[string]loader.Upstream{
				"lookup-1": {Service: "lookup", Domain: "sofia-a", Address: "127.0.0.1:8000", Slots: 1, MaxConns: 8},
			},
		},
		Holdings: granter.Holdings{
			Version: 1, Deadline: now.Add(granter.GrantTerm),
			Parts: []granter.Part{{Upstream: "lookup-1", Slots: 1}},
		},
		Verdicts: []observer.Verdict{{Upstream: "lookup-1", Limit: 1}},
	})
	q := router.Request{
		Service: table.Services["lookup"], Region: "sofia",
		Deadline: now.Add(time.Second).UnixNano(),
	}
	first, reason := table.Choose(&q, now.UnixNano(), nil)
	fmt.Printf("%s %q\n", first.Target.Upstream, reason)
	_, reason = table.Choose(&q, now.UnixNano(), nil)
	fmt.Printf("%q\n", reason)
	// Output:
	// lookup-1 ""
	// "full"
}
