package recorder

import (
	"cmp"
	"slices"
	"sync"
)

// DefaultSize is the default capacity of a Ring in events. An event takes about
// 200 bytes, so that a full ring stays below 1 MB.
const DefaultSize = 4096

// Ring is a ring buffer of the newest events. The zero value keeps DefaultSize
// events. It is safe for concurrent use.
type Ring struct {
	// Size is the capacity in events. It must not be changed after the first Add.
	Size int

	mu     sync.Mutex
	events []Event
	next   int
}

// Add appends an event. If the ring is full, it drops the oldest one.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Size <= 0 {
		r.Size = DefaultSize
	}
	if len(r.events) < r.Size {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % r.Size
}

// After returns the events with a stamp greater than the given one, oldest first.
func (r *Ring) After(stamp uint64) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make([]Event, 0, len(r.events))
	for i := range r.events {
		e := r.events[(r.next+i)%len(r.events)]
		if e.Stamp > stamp {
			events = append(events, e)
		}
	}
	return events
}

// Merge merges the events of several rings in causal order: by stamp, then by
// instance. It removes duplicates.
func Merge(rings ...[]Event) []Event {
	merged := slices.Concat(rings...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Instance, b.Instance))
	})
	return slices.CompactFunc(merged, func(a, b Event) bool {
		return a.Stamp == b.Stamp && a.Instance == b.Instance
	})
}

// Filter selects events. A zero field matches every event.
type Filter struct {
	// Version is a ticket number.
	Version  uint64
	Upstream string
	Domain   string
	Kind     Kind
	// After is a stamp; only events with a greater one match.
	After uint64
}

// Match reports whether the filter selects the event.
func (f Filter) Match(e Event) bool {
	switch {
	case f.Version != 0 && f.Version != e.Version:
		return false
	case f.Upstream != "" && f.Upstream != e.Upstream:
		return false
	case f.Domain != "" && f.Domain != e.Domain:
		return false
	case f.Kind != "" && f.Kind != e.Kind:
		return false
	}
	return e.Stamp > f.After
}
