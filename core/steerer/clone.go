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
	c.upstreams = cloneEach(s.upstreams)
	c.evacuated = maps.Clone(s.evacuated)
	c.restored = maps.Clone(s.restored)
	c.peers = cloneEach(s.peers)
	for _, p := range c.peers {
		p.proofs = maps.Clone(p.proofs)
	}
	c.sources = cloneEach(s.sources)
	for _, x := range c.sources {
		x.history = slices.Clone(x.history)
	}
	c.lost = maps.Clone(s.lost)
	c.answered = maps.Clone(s.answered)
	c.departures = maps.Clone(s.departures)
	return &c
}

// cloneEach copies a map and what its values point to.
func cloneEach[K comparable, V any](m map[K]*V) map[K]*V {
	c := make(map[K]*V, len(m))
	for k, v := range m {
		x := *v
		c[k] = &x
	}
	return c
}
