package exporter

import (
	"maps"
	"sync"
	"sync/atomic"
)

// cache is a map for keys of which few exist and which are never removed. Reads
// take no lock and allocate nothing.
type cache[K comparable, V any] struct {
	// create makes the value of a key.
	create func(K) V
	values atomic.Pointer[map[K]V]
	grow   sync.Mutex
}

// get returns the value of a key.
func (c *cache[K, V]) get(key K) V {
	if values := c.values.Load(); values != nil {
		if v, ok := (*values)[key]; ok {
			return v
		}
	}
	return c.add(key)
}

func (c *cache[K, V]) add(key K) V {
	c.grow.Lock()
	defer c.grow.Unlock()
	next := map[K]V{}
	if values := c.values.Load(); values != nil {
		next = maps.Clone(*values)
	}
	v, ok := next[key]
	if !ok {
		v = c.create(key)
		next[key] = v
		c.values.Store(&next)
	}
	return v
}
