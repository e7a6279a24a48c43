package router

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/limiter"
)

// ringSize bounds the memory of a ring. It leaves every one of 640 owners at
// least several entries.
const ringSize = 4096

// defaultDelay is assumed between regions whose link is not configured.
const defaultDelay = 50 * time.Millisecond

// domainDelay is assumed between two failure domains of a region.
const domainDelay = 4 * time.Millisecond

// owner is an instance that holds parts of a service.
type owner struct {
	// peer is nil for this instance.
	peer   *Peer
	credit *limiter.Credit
	slots  int64
	// inverse is 1 divided by slots.
	inverse float64
}

// tier is a group of owners at the same distance.
type tier struct {
	owners []owner
	// ring holds indexes of owners in proportion to their slots.
	ring []uint16
	// delay is the one-way delay in nanoseconds.
	delay int64
	link  *limiter.BandwidthLimiter
}

func newTier(owners []owner, delay time.Duration, link *limiter.BandwidthLimiter) *tier {
	r := &tier{owners: owners, delay: int64(delay), link: link}
	total := int64(0)
	for _, o := range owners {
		total += o.slots
	}
	scale := 1.0
	if total > ringSize {
		scale = ringSize / float64(total)
	}
	for i, o := range owners {
		owners[i].inverse = 1 / float64(max(1, o.slots))
		n := max(1, int(math.Round(float64(o.slots)*scale)))
		for range n {
			r.ring = append(r.ring, uint16(i))
		}
	}
	return r
}

// pick returns the owner number k in an order given by the hash. With few
// owners, the order contains each once.
func (r *tier) pick(hash uint64, k int) *owner {
	if len(r.owners) > lookMax {
		hash = mix(hash + uint64(k)*weightSeed)
		return &r.owners[r.ring[hash%uint64(len(r.ring))]]
	}
	i := int(r.ring[hash%uint64(len(r.ring))]) + k
	return &r.owners[i%len(r.owners)]
}

// area is one region as seen from this instance.
type area struct {
	region string
	delay  time.Duration
	// tiers are ordered by distance; stable holds the owners of all tiers and,
	// in the own region, this instance.
	tiers  []*tier
	stable *tier
}

// plan is the order of regions for the callers of one region.
type plan struct {
	areas []*area
	// bounds are the upper ends of the areas' shares of the hash space; nil
	// gives all requests to the first area.
	bounds []uint64
}

// first returns the index of the area that the hash belongs to.
func (p *plan) first(hash uint64) int {
	for i, end := range p.bounds {
		if hash <= end {
			return i
		}
	}
	return 0
}

// buildPeers lists, for each service, the peers that hold slots of it.
func (b *builder) buildPeers() {
	peers := b.peers()
	b.slots = b.heldSlots()
	for key := range b.slots {
		p, s := peers[key.peer], b.services[key.service]
		if p == nil || s == nil {
			continue
		}
		p.Credits[key.service] = keep(b.fresh.credits, b.old.credits, key)
		s.Peers = append(s.Peers, p)
	}
	for _, s := range b.services {
		slices.SortFunc(s.Peers, func(a, b *Peer) int { return strings.Compare(a.Name, b.Name) })
	}
}

// peers returns the other instances by name.
func (b *builder) peers() map[string]*Peer {
	peers := map[string]*Peer{}
	for _, v := range b.Views {
		for _, m := range v.Members {
			if m.Name == b.Self {
				continue
			}
			peers[m.Name] = &Peer{
				Name: m.Name, Domain: v.Domain, Address: m.Data,
				Region:  b.Config.RegionOf(v.Domain),
				Credits: map[string]*limiter.Credit{},
				Path:    keep(b.fresh.paths, b.old.paths, pathKey(m)),
			}
		}
	}
	return peers
}

// heldSlots sums up the slots of open upstreams by holder and service.
func (b *builder) heldSlots() map[creditKey]int64 {
	slots := map[creditKey]int64{}
	for _, v := range b.Views {
		for _, h := range v.Holdings {
			u, ok := b.Config.Upstreams[h.Part.Upstream]
			if ok && !b.closed(h.Part.Upstream, u) {
				slots[creditKey{h.Holder, u.Service}] += int64(h.Part.Slots)
			}
		}
	}
	return slots
}

// pathKey names the path to a member, whose address may not be known yet.
func pathKey(m granter.Member) string {
	if m.Data == "" {
		return m.Name
	}
	return m.Data
}

func (b *builder) buildPlans() {
	for _, name := range b.names {
		s := b.services[name]
		areas := b.areas(s)
		s.unknown = b.plan(areas, name, b.Region)
		s.plans = make(map[string]*plan, len(b.Config.Regions))
		for region := range b.Config.Regions {
			s.plans[region] = b.plan(areas, name, region)
		}
	}
}

// areas groups the owners of a service by region and distance.
func (b *builder) areas(s *Service) map[string]*area {
	areas := map[string]*area{}
	near, far := map[string][]owner{}, map[string][]owner{}
	for _, p := range s.Peers {
		o := owner{peer: p, credit: p.Credits[s.Name], slots: b.slots[creditKey{p.Name, s.Name}]}
		if p.Domain == b.Domain {
			near[p.Region] = append(near[p.Region], o)
			continue
		}
		far[p.Region] = append(far[p.Region], o)
	}
	regions := []string{b.Region}
	for region := range b.Config.Regions {
		if region != b.Region {
			regions = append(regions, region)
		}
	}
	for _, region := range regions {
		own := int64(0)
		if region == b.Region {
			own = b.ownSlots(s)
		}
		areas[region] = b.area(region, near[region], far[region], own)
	}
	return areas
}

// area makes the tiers of a region from its owners in this failure domain, those
// in others, and the slots that this instance holds.
func (b *builder) area(region string, near, far []owner, own int64) *area {
	a := &area{region: region, delay: b.delay(region)}
	link := b.link(region)
	all := slices.Concat(near, far)
	if own > 0 {
		all = append(all, owner{slots: own})
	}
	slices.SortFunc(all, func(x, y owner) int { return strings.Compare(x.name(b.Self), y.name(b.Self)) })
	if len(all) > 0 {
		a.stable = newTier(all, a.delay, link)
	}
	if len(near) > 0 {
		a.tiers = append(a.tiers, newTier(near, 0, nil))
	}
	if len(far) > 0 {
		a.tiers = append(a.tiers, newTier(far, max(a.delay, domainDelay), link))
	}
	return a
}

func (o owner) name(self string) string {
	if o.peer == nil {
		return self
	}
	return o.peer.Name
}

// ownSlots returns the slots that this instance holds: as the view has it, which
// all instances see alike, or else what its gates have.
func (b *builder) ownSlots(s *Service) int64 {
	if n := b.slots[creditKey{b.Self, s.Name}]; n > 0 && len(s.Targets) > 0 {
		return n
	}
	n := 0
	for i := range s.Targets {
		n += s.Targets[i].Slots
	}
	return int64(n)
}

// delay returns the one-way delay to a region.
func (b *builder) delay(region string) time.Duration {
	if region == b.Region {
		return 0
	}
	if l, ok := b.Config.Links[b.Region+"/"+region]; ok && l.DelayMillis > 0 {
		return time.Duration(l.DelayMillis) * time.Millisecond
	}
	return defaultDelay
}

// plan orders the areas for the callers of a region: by weight where weights
// are configured, otherwise the callers' own region before the others by delay.
// A region that a weight does not name comes last; one with the share 0 is
// left out.
func (b *builder) plan(areas map[string]*area, service, region string) *plan {
	weight, weighted := b.Config.Weights[service+"/"+region]
	if areas[region] == nil {
		region = b.Region
	}
	p := &plan{}
	for name, a := range areas {
		if share, ok := weight.Shares[name]; ok && share <= 0 {
			continue
		}
		p.areas = append(p.areas, a)
	}
	slices.SortFunc(p.areas, func(x, y *area) int {
		if weighted {
			if c := cmp.Compare(weight.Shares[y.region], weight.Shares[x.region]); c != 0 {
				return c
			}
		}
		if x.region == region || y.region == region {
			return cmp.Compare(boolInt(y.region == region), boolInt(x.region == region))
		}
		return cmp.Or(cmp.Compare(x.delay, y.delay), strings.Compare(x.region, y.region))
	})
	if weighted {
		p.bounds = bounds(p.areas, weight.Shares)
	}
	return p
}

func bounds(areas []*area, shares map[string]float64) []uint64 {
	total := 0.0
	for _, a := range areas {
		total += shares[a.region]
	}
	if total <= 0 {
		return nil
	}
	var ends []uint64
	sum := 0.0
	for _, a := range areas {
		if shares[a.region] <= 0 {
			break
		}
		sum += shares[a.region]
		ends = append(ends, fraction(sum/total))
	}
	return ends
}

// fraction maps 0 to 1 to the space of hashes.
func fraction(f float64) uint64 {
	switch {
	case f <= 0:
		return 0
	case f >= 1:
		return math.MaxUint64
	}
	return uint64(f * (1 << 63) * 2)
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
