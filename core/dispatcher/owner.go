package dispatcher

import "math"

// A key is owned by one upstream of all regions, the same for all instances: the
// one that ranks first for it. A run at an upstream that does not know the key
// takes several times as long, which costs more than the way to another region.

// owned tells whether the request's key has an owner among all regions. Large
// answers stay near instead, to spare the links between regions.
func (r *Request) owned() bool { return r.Key != 0 && !r.Route.Bulk }

// owners lists the upstreams that may know an owned key: the first two by rank of
// all regions, and the first one of the own region, which can be reached when
// others are cut off.
func (r *Request) ownerCandidates(found []candidate) []candidate {
	var first, second, near candidate
	for _, u := range r.Pool.Upstreams {
		if !r.usable(u) {
			continue
		}
		c := r.candidate(u)
		switch {
		case first.upstream == nil || c.rank > first.rank:
			first, second = c, first
		case second.upstream == nil || c.rank > second.rank:
			second = c
		}
		if !u.remote() && (near.upstream == nil || c.rank > near.rank) {
			near = c
		}
	}
	if first.upstream == nil {
		return found
	}
	found = append(found, first)
	for _, c := range [...]candidate{second, near} {
		if c.upstream != nil && c.upstream != found[len(found)-1].upstream && c.upstream != first.upstream {
			c.secondary = true
			found = append(found, c)
		}
	}
	return found
}

// field is what a request can choose from.
type candidateSet struct {
	members []candidate
	// home is the region where the request should run. Away tells that it should
	// run in another one.
	homeRegion string
	away       bool
}

// strays tells whether a candidate is in another region than the request's home.
func (f candidateSet) outsideHome(i int) bool { return f.members[i].upstream.Region != f.homeRegion }

// cheapest returns the index of the candidate with the least cost.
func (f candidateSet) cheapest() int {
	return f.leastCost(func(int) float64 { return 0 })
}

// best returns the index of the cheapest candidate where the request should run:
// in its home or, if it should be away, anywhere else. A bound on moves must not keep requests from the only room
// there is.
func (f candidateSet) best() int {
	return f.leastCost(func(i int) float64 {
		if f.outsideHome(i) != f.away {
			return float64(wrongRegionCost)
		}
		return 0
	})
}

// least returns the index of the candidate with the least cost and extra cost.
func (f candidateSet) leastCost(extra func(i int) float64) int {
	best, at := 0, math.Inf(1)
	for i := range f.members {
		if cost := f.members[i].cost + extra(i); cost < at {
			best, at = i, cost
		}
	}
	return best
}
