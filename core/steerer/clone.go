package steerer

import (
	"maps"
	"slices"
)

// Large tells whether an event brings objects that others have written.
func CarriesObjects(e Event) bool {
	switch e.(type) {
	case Listed, Changed, Fetched:
		return true
	}
	return false
}

// Clone returns a copy of the state, which a step does not change. What is never
// changed in place, such as a configuration, is shared.
func (s *State) Clone() *State {
	c := *s
	c.upstreams = clonePointers(s.upstreams)
	c.evacuations = maps.Clone(s.evacuations)
	c.domainColdUntil = maps.Clone(s.domainColdUntil)
	c.peers = clonePointers(s.peers)
	for _, p := range c.peers {
		p.reported = maps.Clone(p.reported)
	}
	c.sync = clonePointers(s.sync)
	for _, x := range c.sync {
		x.history = slices.Clone(x.history)
	}
	c.unavailable = maps.Clone(s.unavailable)
	c.recoveredAt = maps.Clone(s.recoveredAt)
	c.tombstones = maps.Clone(s.tombstones)
	return &c
}

// cloneEach copies a map and what its values point to.
func clonePointers[K comparable, V any](m map[K]*V) map[K]*V {
	c := make(map[K]*V, len(m))
	for k, v := range m {
		x := *v
		c[k] = &x
	}
	return c
}
