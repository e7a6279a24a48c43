package resolver

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/loader"
)

func twoRegions() Input {
	return Input{
		Region: "sofia",
		Config: &loader.State{
			Regions: map[string]loader.Region{"sofia": {}, "varna": {}},
			Domains: map[string]loader.Domain{"sofia-a": {Region: "sofia"}, "varna-a": {Region: "varna"}},
			Blocks: map[string]loader.Blocks{"1": {Regions: map[string][]string{
				"sofia": {"127.20.0.0/16"}, "varna": {"127.20.1.0/24", "2001:db8::/48"},
			}}},
		},
		Views: []granter.View{
			{Domain: "sofia-a", Members: []granter.Member{{Front: "127.0.0.1:80"}, {Front: "127.0.0.2:80", Leaving: true}}},
			{Domain: "varna-a", Members: []granter.Member{{Front: "127.0.1.1:80"}}},
		},
	}
}

func TestLongestPrefixDecidesTheHomeRegion(t *testing.T) {
	table := Build(twoRegions())
	for addr, want := range map[string]struct{ region, answer string }{
		"127.20.2.9":          {"sofia", `{"entries":["127.0.0.1:80","127.0.1.1:80"],"until":5}`},
		"127.20.1.9":          {"varna", `{"entries":["127.0.1.1:80","127.0.0.1:80"],"until":5}`},
		"::ffff:127.20.1.9":   {"varna", `{"entries":["127.0.1.1:80","127.0.0.1:80"],"until":5}`},
		"2001:db8:0:1::1%lo0": {"varna", `{"entries":["127.0.1.1:80","127.0.0.1:80"],"until":5}`},
		"10.0.0.1":            {"", `{"entries":["127.0.0.1:80","127.0.1.1:80"],"until":5}`},
	} {
		t.Run(addr, func(t *testing.T) {
			is := is.New(t)
			a := netip.MustParseAddr(addr)
			is.Equal(table.Region(a), want.region)
			is.Equal(string(table.Append(nil, a, 5)), want.answer)
		})
	}
}
