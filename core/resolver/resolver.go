// Package resolver tells callers which entry instances to use. It maps a caller's
// address to its home region and to an ordered list of front addresses.
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

// maxEntries is the largest number of entries in an answer. It is enough for
// several failure domains of every region and keeps the answer in one packet.
const maxEntries = 8

// Input holds the inputs of Build.
type Input struct {
	Config *loader.State
	// Region is the region of this instance and the home region of addresses
	// outside all blocks.
	Region string
	// Views are the latest views of all failure domains.
	Views []granter.View
	// Previous is the current table or nil. Its blocks are reused if the
	// configuration of regions and blocks has not changed.
	Previous *Table
}

// Table answers look-ups. It is immutable. The zero value has no entries.
type Table struct {
	blocks blocks
	// blockVersions are the versions of the objects that blocks was built from.
	blockVersions map[string]uint64
	// regions holds the region names by index; answers holds the entry lists of
	// each region, one for every rotation.
	regions       []string
	answers       [][]string
	defaultRegion int
}

// Build returns a new table.
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
	fronts := servingFronts(in)
	for i, region := range t.regions {
		index[region] = i
		t.answers = append(t.answers, rotations(fronts, in.Config, region))
	}
	t.defaultRegion = index[in.Region]
	t.blockVersions = blockVersions(in.Config)
	if p := in.Previous; p != nil && slices.Equal(p.regions, t.regions) && sameVersions(p.blockVersions, t.blockVersions) {
		t.blocks = p.blocks
		return t
	}
	t.blocks = newBlocks(in.Config.Blocks, index)
	return t
}

func blockVersions(c *loader.State) map[string]uint64 {
	versions := make(map[string]uint64, len(c.Blocks))
	for name := range c.Blocks {
		versions[name] = c.ModifiedVersions[loader.KindBlocks+"/"+name]
	}
	return versions
}

// sameVersions reports whether two sets of blocks were built from the same
// objects. An object without a known version counts as changed.
func sameVersions(a, b map[string]uint64) bool {
	for _, version := range a {
		if version == 0 {
			return false
		}
	}
	return maps.Equal(a, b)
}

// HomeRegion returns the home region of an address, or "" if it is in no block.
func (t *Table) HomeRegion(addr netip.Addr) string {
	i, ok := t.blocks.lookup(addr)
	if !ok {
		return ""
	}
	return t.regions[i]
}

// AppendAnswer appends the JSON answer for an address to dst and returns the
// extended buffer. until is the end of the answer's validity as a Unix time in
// milliseconds.
func (t *Table) AppendAnswer(dst []byte, addr netip.Addr, until int64) []byte {
	addr = addr.Unmap()
	region, ok := t.blocks.lookup(addr)
	if !ok {
		region = t.defaultRegion
	}
	dst = append(dst, `{"entries":[`...)
	if region < len(t.answers) {
		if l := t.answers[region]; len(l) > 0 {
			dst = append(dst, l[hashAddress(addr)%uint32(len(l))]...)
		}
	}
	dst = append(dst, `],"until":`...)
	dst = strconv.AppendInt(dst, until, 10)
	return append(dst, '}')
}

// front is the front address of an entry instance.
type front struct {
	address, domain, region string
}

// servingFronts returns the instances that are not leaving, sorted by failure
// domain and address.
func servingFronts(in Input) []front {
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

// rotations returns the entry lists for a region, one for every rotation of its
// instances.
func rotations(fronts []front, config *loader.State, region string) []string {
	var local, remote []front
	for _, f := range fronts {
		if f.region == region {
			local = append(local, f)
			continue
		}
		remote = append(remote, f)
	}
	slices.SortStableFunc(remote, func(a, b front) int {
		return cmp.Compare(delay(config, region, a.region), delay(config, region, b.region))
	})
	local, remote = interleave(local), interleave(remote)
	n := max(len(local), min(len(remote), maxEntries), 1)
	answers := make([]string, n)
	for i := range answers {
		answers[i] = joinAddresses(rotate(local, i), rotate(remote, i))
	}
	return answers
}

func delay(config *loader.State, from, to string) int {
	if l, ok := config.Links[from+"/"+to]; ok {
		return l.DelayMillis
	}
	return math.MaxInt
}

// interleave orders instances round-robin by failure domain, so that every part
// of the list covers several domains.
func interleave(fronts []front) []front {
	var order []string
	groups := map[string][]front{}
	for _, f := range fronts {
		if len(groups[f.domain]) == 0 {
			order = append(order, f.domain)
		}
		groups[f.domain] = append(groups[f.domain], f)
	}
	interleaved := make([]front, 0, len(fronts))
	for len(interleaved) < len(fronts) {
		for _, d := range order {
			if g := groups[d]; len(g) > 0 {
				interleaved = append(interleaved, g[0])
				groups[d] = g[1:]
			}
		}
	}
	return interleaved
}

func rotate(fronts []front, n int) []front {
	if len(fronts) == 0 {
		return nil
	}
	n %= len(fronts)
	return slices.Concat(fronts[n:], fronts[:n])
}

// joinAddresses returns the quoted addresses of one rotation. A quarter of the
// entries is reserved for other regions, because the home region can fail as a
// whole.
func joinAddresses(local, remote []front) string {
	maxLocal := max(maxEntries-maxEntries/4, maxEntries-len(remote))
	list := local[:min(len(local), maxLocal)]
	list = slices.Concat(list, remote[:min(len(remote), maxEntries-len(list))])
	quotedAddresses := make([]string, len(list))
	for i, f := range list {
		quoted, _ := json.Marshal(f.address)
		quotedAddresses[i] = string(quoted)
	}
	return strings.Join(quotedAddresses, ",")
}
