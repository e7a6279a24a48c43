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

// maxRingSize bounds the memory of a tier's ring. It is large enough for each of
// 640 owners to have several entries.
const maxRingSize = 4096

// defaultLinkDelay is the one-way delay assumed between regions whose link is not
// configured.
const defaultLinkDelay = 50 * time.Millisecond

// crossDomainDelay is the one-way delay assumed between two failure domains of a
// region.
const crossDomainDelay = 4 * time.Millisecond

// owner is an instance that holds parts of a service.
type owner struct {
	// peer is nil for this instance.
	peer   *Peer
	credit *limiter.Credit
	slots  int64
	// inverseSlots is 1/slots, precomputed for freeRatio.
	inverseSlots float64
}

// tier is a group of owners at the same distance.
type tier struct {
	owners []owner
	// ring holds indexes into owners, each repeated in proportion to its slots.
	ring []uint16
	// delay is the one-way delay in nanoseconds.
	delay int64
	link  *limiter.BandwidthLimiter
}

func newTier(owners []owner, delay time.Duration, link *limiter.BandwidthLimiter) *tier {
	t := &tier{owners: owners, delay: int64(delay), link: link}
	total := int64(0)
	for _, o := range owners {
		total += o.slots
	}
	scale := 1.0
	if total > maxRingSize {
		scale = maxRingSize / float64(total)
	}
	for i, o := range owners {
		owners[i].inverseSlots = 1 / float64(max(1, o.slots))
		n := max(1, int(math.Round(float64(o.slots)*scale)))
		for range n {
			t.ring = append(t.ring, uint16(i))
		}
	}
	return t
}

// pick returns the k-th owner in an order given by the hash, weighted by slots.
// If there are at most maxOwnersExamined owners, the order contains each once.
func (t *tier) pick(hash uint64, k int) *owner {
	if len(t.owners) > maxOwnersExamined {
		hash = mix(hash + uint64(k)*weightSeed)
		return &t.owners[t.ring[hash%uint64(len(t.ring))]]
	}
	i := int(t.ring[hash%uint64(len(t.ring))]) + k
	return &t.owners[i%len(t.owners)]
}

// regionOwners holds the owners of a service in one region.
type regionOwners struct {
	region string
	delay  time.Duration
	// tiers are sorted by distance. all holds the owners of all tiers and, in
	// this instance's region, this instance; it is the same on all instances.
	tiers []*tier
	all   *tier
}

// plan is the order of regions for the callers of one region.
type plan struct {
	regions []*regionOwners
	// bounds are the inclusive upper bounds of the regions' shares of the hash
	// space; nil assigns all requests to the first region.
	bounds []uint64
}

// homeIndex returns the index of the region that the hash is assigned to.
func (p *plan) homeIndex(hash uint64) int {
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
	b.peerSlots = b.slotsByHolder()
	for key := range b.peerSlots {
		p, s := peers[key.peer], b.services[key.service]
		if p == nil || s == nil {
			continue
		}
		p.Credits[key.service] = reuseOrNew(b.fresh.credits, b.old.credits, key)
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
				Path:    reuseOrNew(b.fresh.paths, b.old.paths, pathKey(m)),
			}
		}
	}
	return peers
}

// slotsByHolder sums up the slots of upstreams that are not drained, by holder
// and service.
func (b *builder) slotsByHolder() map[creditKey]int64 {
	slots := map[creditKey]int64{}
	for _, v := range b.Views {
		for _, h := range v.Holdings {
			u, ok := b.Config.Upstreams[h.Part.Upstream]
			if ok && !b.isDrained(h.Part.Upstream, u) {
				slots[creditKey{h.Holder, u.Service}] += int64(h.Part.Slots)
			}
		}
	}
	return slots
}

// pathKey returns the key of the path to a member: its address or, while that is
// unknown, its name.
func pathKey(m granter.Member) string {
	if m.Data == "" {
		return m.Name
	}
	return m.Data
}

func (b *builder) buildPlans() {
	for _, name := range b.serviceNames {
		s := b.services[name]
		regions := b.ownersByRegion(s)
		s.defaultPlan = b.plan(regions, name, b.Region)
		s.plans = make(map[string]*plan, len(b.Config.Regions))
		for region := range b.Config.Regions {
			s.plans[region] = b.plan(regions, name, region)
		}
	}
}

// ownersByRegion groups the owners of a service by region and distance.
func (b *builder) ownersByRegion(s *Service) map[string]*regionOwners {
	byRegion := map[string]*regionOwners{}
	sameDomain, otherDomains := map[string][]owner{}, map[string][]owner{}
	for _, p := range s.Peers {
		o := owner{peer: p, credit: p.Credits[s.Name], slots: b.peerSlots[creditKey{p.Name, s.Name}]}
		if p.Domain == b.Domain {
			sameDomain[p.Region] = append(sameDomain[p.Region], o)
			continue
		}
		otherDomains[p.Region] = append(otherDomains[p.Region], o)
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
		byRegion[region] = b.newRegionOwners(region, sameDomain[region], otherDomains[region], own)
	}
	return byRegion
}

// newRegionOwners returns the tiers of a region, given its owners in this failure
// domain, those in other domains, and the number of slots this instance holds.
func (b *builder) newRegionOwners(region string, sameDomain, otherDomains []owner, own int64) *regionOwners {
	a := &regionOwners{region: region, delay: b.delay(region)}
	link := b.link(region)
	all := slices.Concat(sameDomain, otherDomains)
	if own > 0 {
		all = append(all, owner{slots: own})
	}
	slices.SortFunc(all, func(x, y owner) int { return strings.Compare(x.name(b.Self), y.name(b.Self)) })
	if len(all) > 0 {
		a.all = newTier(all, a.delay, link)
	}
	if len(sameDomain) > 0 {
		a.tiers = append(a.tiers, newTier(sameDomain, 0, nil))
	}
	if len(otherDomains) > 0 {
		a.tiers = append(a.tiers, newTier(otherDomains, max(a.delay, crossDomainDelay), link))
	}
	return a
}

func (o owner) name(self string) string {
	if o.peer == nil {
		return self
	}
	return o.peer.Name
}

// ownSlots returns the number of slots that this instance holds. It prefers the
// view, which all instances share, to the targets of this table.
func (b *builder) ownSlots(s *Service) int64 {
	if n := b.peerSlots[creditKey{b.Self, s.Name}]; n > 0 && len(s.Targets) > 0 {
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
	return defaultLinkDelay
}

// plan orders the regions for the callers of a region: by share if weights are
// configured, otherwise the callers' own region first and the others by delay. A
// region that the weights do not name comes last; one with share 0 is left out.
func (b *builder) plan(regions map[string]*regionOwners, service, region string) *plan {
	weight, weighted := b.Config.Weights[service+"/"+region]
	if regions[region] == nil {
		region = b.Region
	}
	p := &plan{}
	for name, a := range regions {
		if share, ok := weight.Shares[name]; ok && share <= 0 {
			continue
		}
		p.regions = append(p.regions, a)
	}
	slices.SortFunc(p.regions, func(x, y *regionOwners) int {
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
		p.bounds = bounds(p.regions, weight.Shares)
	}
	return p
}

// bounds returns the upper bounds of the hash ranges of the regions with a share.
func bounds(regions []*regionOwners, shares map[string]float64) []uint64 {
	total := 0.0
	for _, a := range regions {
		total += shares[a.region]
	}
	if total <= 0 {
		return nil
	}
	var ends []uint64
	sum := 0.0
	for _, a := range regions {
		if shares[a.region] <= 0 {
			break
		}
		sum += shares[a.region]
		ends = append(ends, fraction(sum/total))
	}
	return ends
}

// fraction scales f, from 0 to 1, to the range of hashes.
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
