package dispatcher

import "slices"

// usable reports whether the upstream may take the request.
func (r *Request) usable(u *Upstream) bool {
	return (u.unrestricted() || u.Available(r.Now)) && r.allowedRegion(u) && !slices.Contains(r.Tried, u) &&
		(!u.ramp.active.Load() || u.takes(r))
}

// candidate returns an upstream with its rank for the request's key. Ranks follow
// rendezvous hashing: all instances compute the same order of upstreams for a key.
func (r *Request) candidate(u *Upstream) candidate {
	rank := (r.Key ^ u.seed) * hashMultiplier
	rank ^= rank >> 29
	return candidate{upstream: u, rank: rank * hashMultiplier}
}

// locality is the location of an upstream relative to this instance.
type locality uint8

const (
	sameDomain locality = iota
	sameRegion
	otherRegion
	localities
)

// locality returns the locality of an upstream. The failure domain matters only
// for routes with large answers: a key that two domains use runs cold in each of
// them.
func (r *Request) locality(u *Upstream) locality {
	switch {
	case u.remote():
		return otherRegion
	case r.Route.Bulk && u.RTT == sameDomainRTT:
		return sameDomain
	}
	return sameRegion
}

// replicas returns the number of upstreams of a locality that may cache the key.
func (r *Request) replicas(l locality) int {
	if l == sameRegion && !r.Route.Bulk {
		return 2
	}
	return 1
}

// maxCandidates is the largest number of upstreams that may cache a key.
const maxCandidates = int(localities) + 1

// allCandidates appends the candidates to dst, which must be empty. If there are none but
// upstreams that ramp up, these take all keys.
func (r *Request) allCandidates(dst []candidate) []candidate {
	if found := r.candidates(dst); len(found) > 0 {
		return found
	}
	r.ignoreRamps = true
	return r.candidates(dst)
}

// candidates appends the usable upstreams that may cache the key to dst: the ones
// of highest rank in each locality, nearest locality first. Without a key all
// usable upstreams are candidates.
func (r *Request) candidates(dst []candidate) []candidate {
	if r.Key == 0 {
		return r.allUsable(dst)
	}
	if r.owned() {
		return r.ownerCandidates(dst)
	}
	var first, second [localities]candidate
	for _, u := range r.Pool.Upstreams {
		if !r.usable(u) {
			continue
		}
		c, l := r.candidate(u), r.locality(u)
		switch {
		case first[l].upstream == nil || c.rank > first[l].rank:
			first[l], second[l] = c, first[l]
		case second[l].upstream == nil || c.rank > second[l].rank:
			second[l] = c
		}
	}
	for l := range localities {
		if first[l].upstream != nil {
			dst = append(dst, first[l])
		}
		if second[l].upstream != nil && r.replicas(l) > 1 {
			second[l].secondary = true
			dst = append(dst, second[l])
		}
	}
	return dst
}

// allUsable appends all usable upstreams to dst.
func (r *Request) allUsable(dst []candidate) []candidate {
	for _, u := range r.Pool.Upstreams {
		if r.usable(u) {
			dst = append(dst, r.candidate(u))
		}
	}
	return dst
}

// allowedRegion reports whether the request may run in the upstream's region. The homes of
// the route and those of the workspace both bind.
func (r *Request) allowedRegion(u *Upstream) bool {
	return isHome(r.Route.Homes, u) && (r.Workspace == nil || isHome(r.Workspace.Homes, u))
}

func isHome(homes []string, u *Upstream) bool {
	return len(homes) == 0 || slices.Contains(homes, u.Region)
}
