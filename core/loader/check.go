package loader

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Limits on configuration values.
const (
	// MaxTicketBytes is the largest value that the platform accepts, less room
	// for its envelope.
	MaxTicketBytes  = 1_000_000
	maxReserveShare = 0.1
	// MaxServiceTimeout bounds the timeout of a service. The slots of a dead
	// holder stay unused for the service's timeout and some seconds.
	MaxServiceTimeout = time.Minute
	maxPriority       = 9
	// shareTolerance allows for rounded shares such as 0.333.
	shareTolerance = 0.001
)

func (Region) check(reportFunc) {}

func (d Domain) check(report reportFunc) {
	if d.Instances <= 0 {
		report("instances", "must be above 0")
	}
}

func (l Link) check(report reportFunc) {
	if l.Capacity <= 0 {
		report("capacity", "must be above 0")
	}
	if l.DelayMillis < 0 {
		report("delay", "must not be negative")
	}
}

func (s Service) check(report reportFunc) {
	if s.Priority < 0 || s.Priority > maxPriority {
		report("priority", "must be from 0 to %d", maxPriority)
	}
	if s.TimeoutMillis <= 0 || s.TimeoutMillis > MaxServiceTimeout.Milliseconds() {
		report("limit", "must be from 1 to %d ms", MaxServiceTimeout.Milliseconds())
	}
	if s.MaxBodyBytes < 0 {
		report("body", "must not be negative")
	}
}

func (u Upstream) check(report reportFunc) {
	checkAddress(report, "address", u.Address)
	if u.Slots <= 0 {
		report("slots", "must be above 0")
	}
	if u.MaxConns <= 0 {
		report("conns", "must be above 0")
	}
}

func (w Weight) check(report reportFunc) {
	var sum float64
	for _, region := range slices.Sorted(maps.Keys(w.Shares)) {
		if share := w.Shares[region]; share < 0 || share > 1 {
			report("shares."+region, "must be from 0 to 1")
		}
		sum += w.Shares[region]
	}
	if math.Abs(sum-1) > shareTolerance {
		report("shares", "must add up to 1, not %.4g", sum)
	}
}

func (h Shift) check(report reportFunc) {
	if h.Share <= 0 || h.Share > 1 {
		report("share", "must be above 0 and at most 1")
	}
	if h.MaxRate <= 0 {
		report("cap", "must be above 0")
	}
	if h.Start.IsZero() {
		report("start", "is missing")
	}
	switch {
	case h.Finish.IsZero():
		report("finish", "is missing")
	case h.Finish.Before(h.Start):
		report("finish", "must not be before start")
	}
	if h.From == h.To {
		report("to", "must differ from the source")
	}
}

func (Drain) check(reportFunc) {}

func (b Blocks) check(report reportFunc) {
	for _, region := range slices.Sorted(maps.Keys(b.Regions)) {
		for i, text := range b.Regions[region] {
			p, err := netip.ParsePrefix(text)
			if err != nil || p != p.Masked() || p.String() != text {
				report(indexPath("regions."+region, i), "%q is not a prefix such as 127.20.1.0/24", text)
			}
		}
	}
}

func (p Policy) check(report reportFunc) {
	if p.Headroom < 0 || p.Headroom > 1 {
		report("headroom", "must be from 0 to 1")
	}
	if p.Reserve < 0 || p.Reserve > maxReserveShare {
		report("reserve", "must be from 0 to %g", maxReserveShare)
	}
}

func checkAddress(report reportFunc, field, text string) {
	if text == "" {
		report(field, "is missing")
		return
	}
	if a, err := netip.ParseAddrPort(text); err != nil || a.Port() == 0 {
		report(field, "%q is not an ip:port", text)
	}
}

// Check returns all problems of the state: bad values, references to objects
// that don't exist, and conflicts between objects.
func (s State) Check() Problems {
	p := s.checkValues()
	p = append(p, s.checkReferences()...)
	p = append(p, s.checkAddresses()...)
	p = append(p, s.checkPrefixes()...)
	p.sort()
	return p
}

func (s State) checkValues() (p Problems) {
	for kind, t := range objectKinds {
		t.forEach(&s, func(name string, o object) {
			key := kind + "/" + name
			if _, _, ok := SplitKey(key); !ok {
				p.add(key, "is not a valid object key")
			}
			o.check(p.reporterFor(key))
		})
	}
	return p
}

func (s State) checkReferences() (p Problems) {
	for name, d := range s.Domains {
		s.requireObject(p.reporterFor("domain/"+name), "region", KindRegion, d.Region)
	}
	for name, u := range s.Upstreams {
		report := p.reporterFor("upstream/" + name)
		s.requireObject(report, "service", KindService, u.Service)
		s.requireObject(report, "domain", KindDomain, u.Domain)
	}
	for name, h := range s.Shifts {
		report := p.reporterFor("shift/" + name)
		s.requireObject(report, "", KindService, name)
		s.requireObject(report, "from", KindRegion, h.From)
		s.requireObject(report, "to", KindRegion, h.To)
	}
	for name := range s.Policies {
		if name != PolicyMain {
			p.add("policy/"+name, "the only policy is policy/main")
		}
	}
	s.checkTwoPartNames(&p)
	return p
}

// checkTwoPartNames checks the objects whose key has two names.
func (s State) checkTwoPartNames(p *Problems) {
	for name := range s.Links {
		from, to, _ := strings.Cut(name, "/")
		report := p.reporterFor("link/" + name)
		s.requireObject(report, "", KindRegion, from)
		s.requireObject(report, "", KindRegion, to)
		if from == to {
			report("", "links a region to itself")
		}
	}
	for name, w := range s.Weights {
		service, region, _ := strings.Cut(name, "/")
		report := p.reporterFor("weight/" + name)
		s.requireObject(report, "", KindService, service)
		s.requireObject(report, "", KindRegion, region)
		for other := range w.Shares {
			s.requireObject(report, "shares."+other, KindRegion, other)
		}
	}
	for name := range s.Drains {
		kind, target, _ := strings.Cut(name, "/")
		report := p.reporterFor("drain/" + name)
		if kind != KindUpstream && kind != KindDomain && kind != KindRegion {
			report("", "only an upstream, a domain or a region can be drained")
			continue
		}
		s.requireObject(report, "", kind, target)
	}
	for name, b := range s.Blocks {
		report := p.reporterFor("blocks/" + name)
		for region := range b.Regions {
			s.requireObject(report, "regions."+region, KindRegion, region)
		}
	}
}

func (s State) requireObject(report reportFunc, field, kind, name string) {
	if name == "" {
		report(field, "is missing")
		return
	}
	if _, ok := objectKinds[kind].get(&s, name); !ok {
		report(field, "%s/%s does not exist", kind, name)
	}
}

func (s State) checkAddresses() (p Problems) {
	owners := make(map[string]string, len(s.Upstreams))
	for _, name := range slices.Sorted(maps.Keys(s.Upstreams)) {
		address := s.Upstreams[name].Address
		if owner, ok := owners[address]; ok && address != "" {
			p.add("upstream/"+name+".address", "%s is already used by upstream/%s", address, owner)
			continue
		}
		owners[address] = name
	}
	return p
}

func (s State) checkPrefixes() (p Problems) {
	type place struct {
		name, region string
		index        int
	}
	path := func(l place) string { return indexPath("blocks/"+l.name+".regions."+l.region, l.index) }
	count := 0
	for _, b := range s.Blocks {
		for _, prefixes := range b.Regions {
			count += len(prefixes)
		}
	}
	owners := make(map[string]place, count)
	for _, name := range slices.Sorted(maps.Keys(s.Blocks)) {
		regions := s.Blocks[name].Regions
		for _, region := range slices.Sorted(maps.Keys(regions)) {
			for i, prefix := range regions[region] {
				here := place{name, region, i}
				if owner, ok := owners[prefix]; ok {
					p.add(path(here), "%s is already listed at %s", prefix, path(owner))
					continue
				}
				owners[prefix] = here
			}
		}
	}
	return p
}
