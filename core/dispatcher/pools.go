package dispatcher

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// KeyHash returns the hash of an affinity key, 0 if the route's upstreams cache none.
func (r *Route) KeyHash(key []byte) uint64 {
	if len(key) == 0 || !r.Sticky {
		return 0
	}
	return xxhash.Sum64(key) ^ xxhash.Sum64String(r.Name) | 1
}

// SelectPool returns the pool for a request of the route, nil if it has none. Each pool gets
// its share of any sequence of requests, on this instance and over all instances.
func (r *Route) SelectPool() *Pool {
	if len(r.Pools) > 1 {
		return r.poolAt(r.spread.next())
	}
	return r.onlyPool()
}

// PreviewPool returns the pool that SelectPool would return, and changes nothing.
func (r *Route) PreviewPool() *Pool {
	if len(r.Pools) > 1 {
		return r.poolAt(r.spread.peek())
	}
	return r.onlyPool()
}

// onlyPool returns the pool of a route that has at most one.
func (r *Route) onlyPool() *Pool {
	if len(r.Pools) == 0 {
		return nil
	}
	return r.Pools[0].Pool
}

// poolAt returns the pool at a point in [0, 1), of which each pool takes up its share.
func (r *Route) poolAt(point float64) *Pool {
	last := len(r.Pools) - 1
	for _, p := range r.Pools[:last] {
		if point -= p.share; point < 0 {
			return p.Pool
		}
	}
	return r.Pools[last].Pool
}

// spread is a sequence of points that are evenly spread over [0, 1), in any part of the
// sequence: the multiples of the golden ratio, modulo 1. It depends on neither the weights
// nor the requests, so that a change of the weights takes effect with the next request.
type spread struct{ last atomic.Uint64 }

// newSpread returns the spread of a route on an instance. Where it starts differs from
// instance to instance, because in a large system each may serve only a few requests.
func newSpread(route, instance string) *spread {
	s := &spread{}
	s.last.Store(xxhash.Sum64String(route + " " + instance))
	return s
}

func (s *spread) next() float64 { return unitPoint(s.last.Add(hashMultiplier)) }

func (s *spread) peek() float64 { return unitPoint(s.last.Load() + hashMultiplier) }

// unitPoint maps the integers to [0, 1), in order.
func unitPoint(n uint64) float64 { return float64(n>>11) / (1 << 53) }
