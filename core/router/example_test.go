package router_test

import (
	"fmt"
	"time"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/router"
)

func ExampleTable_Choose() {
	now := time.Unix(1_800_000_000, 0)
	table := router.Build(router.Input{
		Now: now, Self: "entry-1", Domain: "sofia-a", Region: "sofia",
		Config: &loader.State{
			Regions:   map[string]loader.Region{"sofia": {}},
			Domains:   map[string]loader.Domain{"sofia-a": {Region: "sofia"}},
			Services:  map[string]loader.Service{"lookup": {Limit: 2000}},
			Upstreams: map[string]loader.Upstream{"lookup-1": {Service: "lookup", Domain: "sofia-a", Slots: 1}},
		},
		Holdings: granter.Holdings{
			Parts:    []granter.Part{{Upstream: "lookup-1", Slots: 1}},
			Deadline: now.Add(3 * time.Second),
		},
	})
	q := &router.Request{
		Service: table.Services["lookup"], Region: "sofia", Deadline: now.Add(time.Second).UnixNano(),
	}
	first, _ := table.Choose(q, now.UnixNano(), nil)
	_, reason := table.Choose(q, now.UnixNano(), nil)
	fmt.Println(first.Target.Upstream, reason)
	first.Target.Gate.Release()
	// Output: lookup-1 full
}
