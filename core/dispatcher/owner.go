package dispatcher

import "math"

// The owner of a key is the upstream that ranks first for it among the upstreams of
// all regions, the same for all instances. A run on an upstream that has not cached
// the key takes several times as long, which costs more than the round trip to
// another region.

// owned reports whether the request's key has an owner among the upstreams of all
// regions. Large answers stay in the own region instead, to save bandwidth between
// regions.
func (r *Request) owned() bool { return r.Key != 0 && !r.Route.Bulk }

// ownerCandidates appends the upstreams that may cache an owned key to dst: the two
// of highest rank in all regions, and the one of highest rank in the own region,
// which stays reachable when other regions are partitioned off.
func (r *Request) ownerCandidates(dst []candidate) []candidate {
	var first, second, local candidate
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
		if !u.remote() && (local.upstream == nil || c.rank > local.rank) {
			local = c
		}
	}
	if first.upstream == nil {
		return dst
	}
	dst = append(dst, first)
	for _, c := range [...]candidate{second, local} {
		if c.upstream != nil && c.upstream != dst[len(dst)-1].upstream && c.upstream != first.upstream {
			c.secondary = true
			dst = append(dst, c)
		}
	}
	return dst
}

// candidateSet holds the scored candidates of a request and says whether it should
// run inside or outside of its home region.
type candidateSet struct {
	members []candidate
	// homeRegion is the region where the request should run unless away is set.
	homeRegion string
	// away means that the request should run in any other region.
	away bool
}

// outsideHome reports whether a candidate is outside of the home region.
func (s candidateSet) outsideHome(i int) bool { return s.members[i].upstream.Region != s.homeRegion }

// cheapest returns the index of the candidate with the lowest cost.
func (s candidateSet) cheapest() int {
	return s.leastCost(func(int) float64 { return 0 })
}

// best returns the index of the cheapest candidate. Candidates on the wrong side
// of the home region's border cost extra but are not excluded: the limit on moves
// between regions must not keep requests from the only free capacity.
func (s candidateSet) best() int {
	return s.leastCost(func(i int) float64 {
		if s.outsideHome(i) != s.away {
			return float64(wrongRegionCost)
		}
		return 0
	})
}

// leastCost returns the index of the candidate with the lowest sum of its cost and
// the extra cost.
func (s candidateSet) leastCost(extra func(i int) float64) int {
	best, lowest := 0, math.Inf(1)
	for i := range s.members {
		if cost := s.members[i].cost + extra(i); cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}
