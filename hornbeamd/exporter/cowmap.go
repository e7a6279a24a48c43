package exporter

import (
	"maps"
	"sync"
	"sync/atomic"
)

// cowMap is a copy-on-write map for a small set of keys that are never removed.
// Lookups of existing keys take no lock and don't allocate.
type cowMap[K comparable, V any] struct {
	// newValue returns the value of a new key.
	newValue func(K) V
	values   atomic.Pointer[map[K]V]
	mu       sync.Mutex
}

// get returns the value of a key and adds the key if it is new.
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
