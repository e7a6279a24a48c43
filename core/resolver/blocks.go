package resolver

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"net/netip"
	"slices"
	"sort"

	"hornbeamstream.example/core/loader"
)

// unknownRegion is the region index of addresses outside all blocks.
const unknownRegion = -1

// home is the home region of an address range, as an index.
type home struct {
	region int32
}

// blocks maps addresses to homes by longest prefix. Nested prefixes are flattened
// into disjoint ranges, so that a look-up is one binary search.
type blocks struct {
	// ipv4Starts and ipv6Starts are the sorted first addresses of the ranges.
	ipv4Starts []uint32
	ipv4Homes  []home
	// ipv4Index holds, for each /16, the index of the first range at or after its
	// start, so that a search covers only the ranges of one /16.
	ipv4Index  []int32
	ipv6Starts []uint128
	ipv6Homes  []home
}

// uint128 is an IPv6 address as a number.
type uint128 struct{ hi, lo uint64 }

func (w uint128) less(o uint128) bool {
	return w.hi < o.hi || w.hi == o.hi && w.lo < o.lo
}

func toUint128(a netip.Addr) uint128 {
	b := a.As16()
	return uint128{binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])}
}

func toUint32(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

// block is a prefix and its home.
type block struct {
	prefix netip.Prefix
	home   home
}

// newBlocks ignores invalid prefixes and unknown regions; the loader reports them.
// index maps region names to indexes.
func newBlocks(config map[string]loader.Blocks, index map[string]int) blocks {
	var ipv4, ipv6 []block
	for _, b := range config {
		for region, prefixes := range b.Regions {
			i, ok := index[region]
			if !ok {
				continue
			}
			for _, text := range prefixes {
				p, ok := parsePrefix(text)
				if !ok {
					continue
				}
				list := &ipv6
				if p.Addr().Is4() {
					list = &ipv4
				}
				*list = append(*list, block{p, home{int32(i)}})
			}
		}
	}
	var t blocks
	flatten(ipv4, func(start netip.Addr, h home) {
		t.ipv4Starts = append(t.ipv4Starts, toUint32(start))
		t.ipv4Homes = append(t.ipv4Homes, h)
	})
	flatten(ipv6, func(start netip.Addr, h home) {
		t.ipv6Starts = append(t.ipv6Starts, toUint128(start))
		t.ipv6Homes = append(t.ipv6Homes, h)
	})
	t.buildIPv4Index()
	return t
}

// parsePrefix parses a prefix, masks it and converts IPv4-mapped prefixes to IPv4.
func parsePrefix(text string) (netip.Prefix, bool) {
	p, err := netip.ParsePrefix(text)
	if err != nil {
		return p, false
	}
	if a := p.Addr(); a.Is4In6() && p.Bits() >= 96 {
		p = netip.PrefixFrom(a.Unmap(), p.Bits()-96)
	}
	return p.Masked(), true
}

// flatten calls add with the start and the home of each range in ascending order.
// A longer prefix takes precedence over the shorter ones that contain it. If a
// prefix occurs twice, the first region by name wins.
func flatten(prefixes []block, add func(start netip.Addr, h home)) {
	slices.SortFunc(prefixes, func(a, b block) int {
		return cmp.Or(a.prefix.Addr().Compare(b.prefix.Addr()),
			cmp.Compare(a.prefix.Bits(), b.prefix.Bits()), cmp.Compare(a.home.region, b.home.region))
	})
	prefixes = slices.CompactFunc(prefixes, func(a, b block) bool { return a.prefix == b.prefix })
	var open []block
	// closeInnermost ends the range of the innermost open prefix and continues
	// that of the prefix around it.
	closeInnermost := func() {
		next := nextAddr(open[len(open)-1].prefix)
		open = open[:len(open)-1]
		h := home{region: unknownRegion}
		if len(open) > 0 {
			h = open[len(open)-1].home
		}
		if next.IsValid() {
			add(next, h)
		}
	}
	for _, b := range prefixes {
		for len(open) > 0 && !open[len(open)-1].prefix.Contains(b.prefix.Addr()) {
			closeInnermost()
		}
		add(b.prefix.Addr(), b.home)
		open = append(open, b)
	}
	for len(open) > 0 {
		closeInnermost()
	}
}

// nextAddr returns the first address after the prefix, or the zero Addr if there
// is none.
func nextAddr(p netip.Prefix) netip.Addr {
	b := p.Addr().AsSlice()
	for i := range b {
		switch n := p.Bits() - 8*i; {
		case n <= 0:
			b[i] = 0xff
		case n < 8:
			b[i] |= 0xff >> n
		}
	}
	last, _ := netip.AddrFromSlice(b)
	return last.Next()
}

func (t *blocks) buildIPv4Index() {
	if len(t.ipv4Starts) == 0 {
		return
	}
	t.ipv4Index = make([]int32, 1<<16+1)
	i := 0
	for n := range t.ipv4Index {
		for i < len(t.ipv4Starts) && uint64(t.ipv4Starts[i]) < uint64(n)<<16 {
			i++
		}
		t.ipv4Index[n] = int32(i)
	}
}

// lookup returns the index of the home region of an address, and whether the
// address belongs to a block.
func (t *blocks) lookup(addr netip.Addr) (region int, ok bool) {
	addr = addr.Unmap()
	h := home{region: unknownRegion}
	switch {
	case addr.Is4():
		h = t.lookupIPv4(toUint32(addr))
	case addr.Is6():
		h = t.lookupIPv6(toUint128(addr))
	}
	if h.region == unknownRegion {
		return 0, false
	}
	return int(h.region), true
}

func (t *blocks) lookupIPv4(a uint32) home {
	if len(t.ipv4Starts) == 0 {
		return home{region: unknownRegion}
	}
	low, high := int(t.ipv4Index[a>>16]), int(t.ipv4Index[a>>16+1])
	for low < high {
		if mid := int(uint(low+high) >> 1); t.ipv4Starts[mid] <= a {
			low = mid + 1
		} else {
			high = mid
		}
	}
	if low == 0 {
		return home{region: unknownRegion}
	}
	return t.ipv4Homes[low-1]
}

func (t *blocks) lookupIPv6(a uint128) home {
	i := sort.Search(len(t.ipv6Starts), func(i int) bool { return a.less(t.ipv6Starts[i]) })
	if i == 0 {
		return home{region: unknownRegion}
	}
	return t.ipv6Homes[i-1]
}

// hashAddress returns a hash that spreads callers over the rotations of an entry
// list. It covers the address rather than the block, since one block can contain
// most callers of a region, but not the lower half of an IPv6 address, which
// hosts change by themselves. All instances compute the same value.
func hashAddress(addr netip.Addr) uint32 {
	w := toUint128(addr.WithZone(""))
	if addr.Is6() {
		w.lo = 0
	}
	h := uint64(addr.BitLen())
	for _, word := range [2]uint64{w.hi, w.lo} {
		hi, lo := bits.Mul64(h^word^0x9e3779b97f4a7c15, 0xd6e8feb86659fd93)
		h = hi ^ lo
	}
	return uint32(h ^ h>>32)
}
