package resolver

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
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
			is.Equal(table.HomeRegion(a), want.region)
			is.Equal(string(table.AppendAnswer(nil, a, 5)), want.answer)
		})
	}
}

// Guards against answers that name an instance twice, a leaving one, too many,
// or only one failure domain, and against an uneven spread of blocks.
func TestListsRepresentDomainsAndSpreadBlocks(t *testing.T) {
	is := is.New(t)
	in := large(400)
	in.Views[0].Members[0].Leaving = true
	table := Build(in)
	firsts := map[string]int{}
	for i := range 400 {
		addr := netip.MustParseAddr(fmt.Sprintf("10.%d.%d.7", i>>8, i&255))
		var answer struct {
			Entries []string
			Until   int64
		}
		is.NoErr(json.Unmarshal(table.AppendAnswer(nil, addr, 1_800_000_000_000), &answer))
		is.Equal(len(answer.Entries), entriesMax)
		firsts[answer.Entries[0]]++
		domains, regions, seen := map[string]bool{}, map[string]bool{}, map[string]bool{}
		for _, e := range answer.Entries {
			is.True(e != in.Views[0].Members[0].Front)
			is.True(!seen[e])
			seen[e] = true
			d := strings.Split(e, "-")[0]
			domains[d] = true
			regions[in.Config.Domains[d].Region] = true
		}
		is.True(len(domains) >= 4)
		is.True(len(regions) >= 2)
		is.Equal(in.Config.Domains[strings.Split(answer.Entries[0], "-")[0]].Region, table.HomeRegion(addr))
	}
	for _, n := range firsts {
		is.True(n < 12) // 400 blocks over 219 instances
	}
}

func TestBlocksAreTakenOverWhenUnchanged(t *testing.T) {
	is := is.New(t)
	in := large(10)
	in.Config.ModifiedVersions = map[string]uint64{"blocks/0": 4}
	in.Previous = Build(in)
	is.True(&Build(in).blocks.four[0] == &in.Previous.blocks.four[0])
	in.Config.ModifiedVersions = map[string]uint64{"blocks/0": 5}
	is.True(&Build(in).blocks.four[0] != &in.Previous.blocks.four[0])
}

func TestZeroTableAnswers(t *testing.T) {
	is := is.New(t)
	var table Table
	is.Equal(string(table.AppendAnswer(nil, netip.Addr{}, 5)), `{"entries":[],"until":5}`)
	is.Equal(table.HomeRegion(netip.MustParseAddr("::1")), "")
}

// large is 11 domains with 20 instances each in 4 regions and n blocks.
func large(n int) Input {
	in := Input{Region: "r0", Config: &loader.State{
		Regions: map[string]loader.Region{}, Domains: map[string]loader.Domain{},
		Blocks: map[string]loader.Blocks{"0": {Regions: map[string][]string{}}},
	}}
	for d := range 11 {
		region, domain := fmt.Sprintf("r%d", d%4), fmt.Sprintf("d%d", d)
		in.Config.Regions[region] = loader.Region{}
		in.Config.Domains[domain] = loader.Domain{Region: region}
		v := granter.View{Domain: domain}
		for m := range 20 {
			v.Members = append(v.Members, granter.Member{Front: fmt.Sprintf("%s-127.0.%d.%d:80", domain, d, m)})
		}
		in.Views = append(in.Views, v)
	}
	regions := in.Config.Blocks["0"].Regions
	for i := range n {
		r := fmt.Sprintf("r%d", i%4)
		regions[r] = append(regions[r], fmt.Sprintf("%d.%d.%d.0/24", 10+i>>16, i>>8&255, i&255))
		if i%8 == 0 {
			regions[r] = append(regions[r], fmt.Sprintf("2001:db8:%x::/48", i&0xffff))
		}
	}
	return in
}

func BenchmarkLookup(b *testing.B) {
	table := Build(large(120_000))
	for _, kind := range []string{"four", "six"} {
		b.Run(kind, func(b *testing.B) {
			addrs := make([]netip.Addr, 1<<16)
			for i := range addrs {
				n := i * 40503 % 120_000
				addrs[i] = netip.AddrFrom4([4]byte{byte(10 + n>>16), byte(n >> 8), byte(n), 9})
				if kind == "six" {
					addrs[i] = netip.AddrFrom16([16]byte{0x20, 1, 0xd, 0xb8, byte(n >> 8), byte(n &^ 7), 15: 1})
				}
			}
			buffer := make([]byte, 0, 512)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				buffer = table.AppendAnswer(buffer[:0], addrs[i&(len(addrs)-1)], 1_800_000_000_000)
			}
		})
	}
}

func BenchmarkBuild(b *testing.B) {
	in := large(120_000)
	for b.Loop() {
		Build(in)
	}
}

// FuzzPrefixes compares the look-up with a search through all prefixes.
func FuzzPrefixes(f *testing.F) {
	f.Add("10.0.0.0/8 10.1.0.0/16 10.1.2.0/24", "10.1.2.3")
	f.Add("0.0.0.0/0 255.255.255.255/32 ::/0", "255.255.255.255")
	f.Add("::ffff:10.0.0.0/104 ffff::/16 2001:db8::1/128", "2001:db8::1")
	f.Add("10.0.0.0/9 10.128.0.0/9 10.0.0.0/33 x", "10.127.255.255")
	f.Fuzz(func(t *testing.T, text, address string) {
		prefixes := strings.Fields(text)
		index := map[string]int{}
		regions := map[string][]string{}
		for i, p := range prefixes {
			region := fmt.Sprintf("%04d", i)
			index[region] = i
			regions[region] = []string{p}
		}
		b := makeBlocks(map[string]loader.Blocks{"0": {Regions: regions}}, index)
		addrs := []netip.Addr{}
		if a, err := netip.ParseAddr(address); err == nil {
			addrs = append(addrs, a)
		}
		for _, text := range prefixes {
			if p, ok := parse(text); ok {
				addrs = append(addrs, p.Addr(), p.Addr().Prev(), after(p))
			}
		}
		for _, a := range addrs {
			if !a.IsValid() {
				continue
			}
			want, bits := -1, -1
			for i, text := range prefixes {
				p, ok := parse(text)
				if ok && p.Bits() > bits && p.Contains(a.Unmap().WithZone("")) {
					want, bits = i, p.Bits()
				}
			}
			got, ok := b.find(a)
			if !ok {
				got = -1
			}
			if got != want {
				t.Fatalf("%v in %q: got %d, want %d", a, text, got, want)
			}
		}
	})
}
