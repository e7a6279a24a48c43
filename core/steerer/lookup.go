package steerer

import "github.com/cespare/xxhash/v2"

// Nearest returns the addresses of at most limit instances that a caller in the
// given region and domain may use: those of its region, and those of all regions
// if there are none. If there are more than limit, those of its domain come first,
// and the instances that are asked name different ones, so that all get callers.
func (v *View) Nearest(region, domain string, limit int) []string {
	found := v.frontsOf(func(i *Instance) bool { return i.Region == region })
	if len(found) == 0 {
		found = v.frontsOf(func(*Instance) bool { return true })
	}
	if len(found) > limit {
		found = v.sample(found, domain, limit)
	}
	addresses := make([]string, 0, len(found))
	for _, i := range found {
		addresses = append(addresses, i.Front)
	}
	return addresses
}

// frontsOf lists some of the instances that callers may use.
func (v *View) frontsOf(which func(*Instance) bool) (found []*Instance) {
	for i := range v.Available {
		if which(&v.Available[i]) {
			found = append(found, &v.Available[i])
		}
	}
	return found
}

// sample picks instances, those of a domain first, from a place on that is this
// instance's own.
func (v *View) sample(all []*Instance, domain string, limit int) []*Instance {
	start := int(xxhash.Sum64String(v.Self.Name) % uint64(len(all)))
	picked := make([]*Instance, 0, len(all))
	for _, near := range []bool{true, false} {
		for k := range all {
			i := all[(start+k)%len(all)]
			if (i.Domain == domain) == near {
				picked = append(picked, i)
			}
		}
	}
	return picked[:limit]
}
