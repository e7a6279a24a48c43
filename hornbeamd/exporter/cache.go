package exporter

import (
	"maps"
	"sync"
	"sync/atomic"
)

// cache is a map for keys of which few exist and which are never removed. Reads
// take no lock and allocate nothing.
type cowMap[K comparable, V any] struct {
	// create makes the value of a key.
	newValue func(K) V
	values   atomic.Pointer[map[K]V]
	mu       sync.Mutex
}

// get returns the value of a key.
func (c *cowMap[K, V]) get(key K) V {
	if values := c.values.Load(); values != nil {
		if v, ok := (*values)[key]; ok {
			return v
		}
	}
	return c.add(key)
}

func (c *cowMap[K, V]) add(key K) V {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := map[K]V{}
	if values := c.values.Load(); values != nil {
		next = maps.Clone(*values)
	}
	v, ok := next[key]
	if !ok {
		v = c.newValue(key)
		next[key] = v
		c.values.Store(&next)
	}
	return v
}
