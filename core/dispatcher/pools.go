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

// SelectPool returns the pool for a request of the route. Requests of one key
// prefer the same pool as long as all pools keep their shares of the requests.
func (r *Route) SelectPool(key uint64, now int64) *Pool {
	if len(r.Pools) == 0 {
		return nil
	}
	if len(r.Pools) == 1 {
		return r.Pools[0].Pool
	}
	if key == 0 {
		key = uint64(now) * hashMultiplier
	}
	i := r.poolIndex(key)
	r.Pools[i].sent.add()
	return r.Pools[i].Pool
}

// poolIndex picks a pool by the key's hash. If that pool is ahead of its share,
// it picks the one furthest behind instead.
func (r *Route) poolIndex(key uint64) int {
	const maxLead = 3 // requests
	total := 1.0
	for i := range r.Pools {
		total += r.Pools[i].sent.value()
	}
	point := unitHash(key * hashMultiplier)
	picked, behind, maxDeficit := len(r.Pools)-1, 0, -1e18
	sum := 0.0
	for i := range r.Pools {
		sum += r.Pools[i].share
		if point < sum {
			picked = min(picked, i)
		}
		if d := r.Pools[i].share*total - r.Pools[i].sent.value(); d > maxDeficit {
			behind, maxDeficit = i, d
		}
	}
	p := &r.Pools[picked]
	if p.sent.value() > p.share*total+maxLead {
		return behind
	}
	return picked
}

// decayingCounter counts requests. It is halved at counterLimit, so that old
// requests lose weight.
type decayingCounter struct{ n atomic.Int64 }

// counterLimit is the count at which a counter is halved. The counters of a
// route's pools are halved at different times and so equally often only on
// average, which is accurate enough for their shares.
const counterLimit = 4096

func (c *decayingCounter) add() {
	if n := c.n.Add(1); n >= counterLimit {
		c.n.Store(n / 2)
	}
}

func (c *decayingCounter) value() float64 { return float64(c.n.Load()) }

// PreviewPool returns the pool that SelectPool would return, and changes nothing. It returns
// nil if the route has none.
func (r *Route) PreviewPool(key uint64, now int64) *Pool {
	switch len(r.Pools) {
	case 0:
		return nil
	case 1:
		return r.Pools[0].Pool
	}
	if key == 0 {
		key = uint64(now) * hashMultiplier
	}
	return r.Pools[r.poolIndex(key)].Pool
}
