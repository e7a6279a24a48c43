package steerer

import (
	"maps"
	"slices"
)

// CarriesObjects reports whether an event carries objects written by others.
func CarriesObjects(e Event) bool {
	switch e.(type) {
	case Listed, Changed, Fetched:
		return true
	}
	return false
}

// Clone returns a copy of the state that is unaffected by later steps. Values that
// are never modified in place, such as the configuration, are shared.
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
	for _, ss := range c.sync {
		ss.history, ss.gaps = slices.Clone(ss.history), slices.Clone(ss.gaps)
	}
	c.unavailable = maps.Clone(s.unavailable)
	c.recoveredAt = maps.Clone(s.recoveredAt)
	c.tombstones = maps.Clone(s.tombstones)
	c.rateLimits = maps.Clone(s.rateLimits)
	c.usage.ledger = s.usage.ledger.Clone()
	c.usage.totals = slices.Clone(s.usage.totals)
	c.usage.senders = maps.Clone(s.usage.senders)
	c.coldObservations = maps.Clone(s.coldObservations)
	c.quarantine.list = s.quarantine.list.Clone()
	c.quarantine.stored = maps.Clone(s.quarantine.stored)
	c.quarantine.writeAt = maps.Clone(s.quarantine.writeAt)
	return &c
}

// clonePointers copies a map together with the values that it points to.
func clonePointers[K comparable, V any](m map[K]*V) map[K]*V {
	c := make(map[K]*V, len(m))
	for k, v := range m {
		x := *v
		c[k] = &x
	}
	return c
}
