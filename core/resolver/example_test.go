package resolver_test

import (
	"fmt"
	"net/netip"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/resolver"
)

func ExampleTable_Append() {
	table := resolver.Build(resolver.Input{
		Region: "sofia",
		Config: &loader.State{
			Regions: map[string]loader.Region{"sofia": {}},
			Domains: map[string]loader.Domain{"sofia-a": {Region: "sofia"}},
			Blocks:  map[string]loader.Blocks{"0": {Regions: map[string][]string{"sofia": {"127.20.0.0/16"}}}},
		},
		Views: []granter.View{{
			Domain:  "sofia-a",
			Members: []granter.Member{{Name: "entry-1", Front: "127.0.0.1:8080"}},
		}},
	})
	caller := netip.MustParseAddr("127.20.1.9")
	fmt.Println(table.HomeRegion(caller))
	fmt.Println(string(table.AppendAnswer(nil, caller, 1_800_000_005_000)))
	// Output:
	// sofia
	// {"entries":["127.0.0.1:8080"],"until":1800000005000}
}
