// Package resolver tells callers which entry instances to use. It maps a
// caller's block to its home region and to an ordered list of front addresses.
package resolver

import (
	"cmp"
	"encoding/json"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/loader"
)

// entriesMax is the largest number of entries in an answer. It is enough for
// several failure domains of every region and keeps the answer in one packet.
const entriesMax = 8

// Input is what a table is made of.
type Input struct {
	Config *loader.State
	// Region is the region of this instance, the home of unknown blocks.
	Region string
	// Views are the newest views of all domains.
	Views []granter.View
	// Previous is the table in use or nil. Its block list is taken over when the
	// configuration of regions and blocks is the same.
	Previous *Table
}

// Table answers look-ups. It is immutable. Its zero value knows no entries.
type Table struct {
	blocks blocks
	// versions are those of the objects that the block list was made of.
	versions map[string]uint64
	// regions are the names by index; lists hold the answers of a region by
	// rotation.
	regions []string
	lists   [][]string
	unknown int
}

// Build makes a table.
func Build(in Input) *Table {
	if in.Config == nil {
		in.Config = &loader.State{}
	}
	t := &Table{}
	index := map[string]int{}
	for region := range in.Config.Regions {
		t.regions = append(t.regions, region)
	}
	if _, ok := in.Config.Regions[in.Region]; !ok {
		t.regions = append(t.regions, in.Region)
	}
	slices.Sort(t.regions)
	fronts := gather(in)
	for i, region := range t.regions {
		index[region] = i
		t.lists = append(t.lists, rotations(fronts, in.Config, region))
	}
	t.unknown = index[in.Region]
	t.versions = versions(in.Config)
	if p := in.Previous; p != nil && slices.Equal(p.regions, t.regions) && same(p.versions, t.versions) {
		t.blocks = p.blocks
		return t
	}
	t.blocks = makeBlocks(in.Config.Blocks, index)
	return t
}

func versions(c *loader.State) map[string]uint64 {
	all := make(map[string]uint64, len(c.Blocks))
	for name := range c.Blocks {
		all[name] = c.ModifiedVersions[loader.KindBlocks+"/"+name]
	}
	return all
}

// same tells whether two block lists were made of the same objects. An object
// without a known version is never the same.
func same(a, b map[string]uint64) bool {
	for _, version := range a {
		if version == 0 {
			return false
		}
	}
	return maps.Equal(a, b)
}

// Region returns the home region of an address, or "" for an unknown block.
func (t *Table) HomeRegion(addr netip.Addr) string {
	i, ok := t.blocks.find(addr)
	if !ok {
		return ""
	}
	return t.regions[i]
}

// Append appends the JSON answer for an address, valid until the given Unix time
// in milliseconds.
func (t *Table) AppendAnswer(dst []byte, addr netip.Addr, until int64) []byte {
	addr = addr.Unmap()
	region, ok := t.blocks.find(addr)
	if !ok {
		region = t.unknown
	}
	dst = append(dst, `{"entries":[`...)
	if region < len(t.lists) {
		if l := t.lists[region]; len(l) > 0 {
			dst = append(dst, l[hashAddress(addr)%uint32(len(l))]...)
		}
	}
	dst = append(dst, `],"until":`...)
	dst = strconv.AppendInt(dst, until, 10)
	return append(dst, '}')
}

// front is an entry instance.
type front struct {
	address, domain, region string
}

// gather lists the instances that serve, ordered by domain and address.
func gather(in Input) []front {
	var fronts []front
	for _, v := range in.Views {
		for _, m := range v.Members {
			if !m.Leaving && m.Front != "" {
				fronts = append(fronts, front{m.Front, v.Domain, in.Config.Domains[v.Domain].Region})
			}
		}
	}
	slices.SortFunc(fronts, func(a, b front) int {
		return cmp.Or(strings.Compare(a.domain, b.domain), strings.Compare(a.address, b.address))
	})
	return slices.Compact(fronts)
}

// rotations returns the answers for a region, one for every rotation of its
// instances.
func rotations(fronts []front, config *loader.State, region string) []string {
	var home, away []front
	for _, f := range fronts {
		if f.region == region {
			home = append(home, f)
			continue
		}
		away = append(away, f)
	}
	slices.SortStableFunc(away, func(a, b front) int {
		return cmp.Compare(delay(config, region, a.region), delay(config, region, b.region))
	})
	home, away = interleave(home), interleave(away)
	n := max(len(home), min(len(away), entriesMax), 1)
	answers := make([]string, n)
	for i := range answers {
		answers[i] = answer(rotate(home, i), rotate(away, i))
	}
	return answers
}

func delay(config *loader.State, from, to string) int {
	if l, ok := config.Links[from+"/"+to]; ok {
		return l.DelayMillis
	}
	return math.MaxInt
}

// interleave takes one instance of each failure domain in turn, so that every
// stretch of the list represents several domains.
func interleave(fronts []front) []front {
	var order []string
	groups := map[string][]front{}
	for _, f := range fronts {
		if len(groups[f.domain]) == 0 {
			order = append(order, f.domain)
		}
		groups[f.domain] = append(groups[f.domain], f)
	}
	mixed := make([]front, 0, len(fronts))
	for len(mixed) < len(fronts) {
		for _, d := range order {
			if g := groups[d]; len(g) > 0 {
				mixed = append(mixed, g[0])
				groups[d] = g[1:]
			}
		}
	}
	return mixed
}

func rotate(fronts []front, n int) []front {
	if len(fronts) == 0 {
		return nil
	}
	n %= len(fronts)
	return slices.Concat(fronts[n:], fronts[:n])
}

// answer joins the addresses of one rotation. A fourth of the entries is kept
// for other regions, because the home region can fail as a whole.
func answer(home, away []front) string {
	local := max(entriesMax-entriesMax/4, entriesMax-len(away))
	list := home[:min(len(home), local)]
	list = slices.Concat(list, away[:min(len(away), entriesMax-len(list))])
	pieces := make([]string, len(list))
	for i, f := range list {
		quoted, _ := json.Marshal(f.address)
		pieces[i] = string(quoted)
	}
	return strings.Join(pieces, ",")
}
