package resolver

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"

	"hornbeamstream.example/core/loader"
)

// block is a range of addresses with one home region.
type block struct {
	prefix netip.Prefix
	region int
}

// blocks finds the longest prefix of an address.
type blocks struct {
	lists map[int]map[netip.Prefix]int
	// lengths are the prefix lengths in use, the longest first; IPv4 lengths
	// are offset by 256.
	lengths []int
}

func makeBlocks(config map[string]loader.Blocks, index map[string]int) blocks {
	var all []block
	for _, b := range config {
		for region, prefixes := range b.Regions {
			i, ok := index[region]
			if !ok {
				continue
			}
			for _, text := range prefixes {
				if p, err := netip.ParsePrefix(text); err == nil {
					all = append(all, block{p.Masked(), i})
				}
			}
		}
	}
	slices.SortFunc(all, func(a, b block) int {
		return cmp.Or(a.prefix.Compare(b.prefix), cmp.Compare(a.region, b.region))
	})
	t := blocks{lists: map[int]map[netip.Prefix]int{}}
	for _, b := range all {
		n := key(b.prefix)
		if t.lists[n] == nil {
			t.lists[n] = map[netip.Prefix]int{}
			t.lengths = append(t.lengths, n)
		}
		t.lists[n][b.prefix] = b.region
	}
	slices.SortFunc(t.lengths, func(a, b int) int { return b - a })
	return t
}

func key(p netip.Prefix) int {
	if p.Addr().Is4() {
		return 256 + p.Bits()
	}
	return p.Bits()
}

// find returns the region and the hash of the address's block. The hash of an
// unknown block is that of the address's /24 or /56.
func (t *blocks) find(addr netip.Addr) (region int, hash uint64, ok bool) {
	addr = addr.Unmap().WithZone("")
	for _, n := range t.lengths {
		if addr.Is4() != (n >= 256) {
			continue
		}
		p, err := addr.Prefix(n & 255)
		if err != nil {
			continue
		}
		if region, ok = t.lists[n][p]; ok {
			return region, hashPrefix(p), true
		}
	}
	return 0, hashPrefix(defaultBlock(addr)), false
}

func defaultBlock(addr netip.Addr) netip.Prefix {
	n := 56
	if addr.Is4() {
		n = 24
	}
	p, _ := addr.Prefix(n)
	return p
}

func hashPrefix(p netip.Prefix) uint64 {
	b := p.Addr().As16()
	h := uint64(p.Bits() + 1)
	for i := 0; i < 16; i += 8 {
		var w uint64
		for _, c := range b[i : i+8] {
			w = w<<8 | uint64(c)
		}
		hi, lo := bits.Mul64(h^w^0x9e3779b97f4a7c15, 0xd6e8feb86659fd93)
		h = hi ^ lo
	}
	return h
}
