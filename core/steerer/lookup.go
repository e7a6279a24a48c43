package steerer

import "github.com/cespare/xxhash/v2"

// Nearest returns the addresses of at most limit available instances for a caller
// in the given region and domain: those in its region, or those in all regions if
// its region has none. If there are more than limit, the instances in the caller's
// domain come first, and each answering instance starts at an offset of its own, so
// that every instance gets callers.
func (v *View) Nearest(region, domain string, limit int) []string {
	found := v.availableWhere(func(i *Instance) bool { return i.Region == region })
	if len(found) == 0 {
		found = v.availableWhere(func(*Instance) bool { return true })
	}
	if len(found) > limit {
		found = v.subset(found, domain, limit)
	}
	addresses := make([]string, 0, len(found))
	for _, i := range found {
		addresses = append(addresses, i.Front)
	}
	return addresses
}

// availableWhere returns the available instances that satisfy match.
func (v *View) availableWhere(match func(*Instance) bool) (found []*Instance) {
	for i := range v.Available {
		if match(&v.Available[i]) {
			found = append(found, &v.Available[i])
		}
	}
	return found
}

// subset picks limit instances, those in the domain first. It starts at an offset
// derived from the name of this instance.
func (v *View) subset(all []*Instance, domain string, limit int) []*Instance {
	start := int(xxhash.Sum64String(v.Self.Name) % uint64(len(all)))
	picked := make([]*Instance, 0, len(all))
	for _, sameDomain := range []bool{true, false} {
		for k := range all {
			i := all[(start+k)%len(all)]
			if (i.Domain == domain) == sameDomain {
				picked = append(picked, i)
			}
		}
	}
	return picked[:limit]
}
