package router

import (
	"slices"
	"sort"

	"hornbeamstream.example/core/granter"
)

// Renew moves the deadlines of the table's gates and budgets to that of the
// holdings. It reports false and changes nothing if the holdings differ in more
// than the deadline, so that a new table has to be built. A renewal comes with
// every heartbeat and costs far less than Build.
func (t *Table) Renew(h granter.Holdings) bool {
	old := &t.holdings
	if t.short || !slices.Equal(old.Parts, h.Parts) || !slices.Equal(old.Reserve, h.Reserve) ||
		!slices.Equal(old.Quotas, h.Quotas) || old.Deadline.IsZero() || h.Deadline.IsZero() {
		return false
	}
	end := h.Deadline.UnixNano()
	for _, s := range t.Services {
		for i := range s.Targets {
			if g := &s.Targets[i]; g.Part != ReservePart {
				g.Gate.Set(g.Gate.Limit(), end)
			}
		}
		if s.shift != nil {
			s.shift.bucket.Renew(end)
		}
	}
	for _, l := range t.counters.links {
		l.Renew(end)
	}
	return true
}

// place is a gate to be opened: the size of its part and its limit.
type place struct {
	key          gateKey
	slots, limit int
}

// closeGates closes the gates that are no longer held.
func (b *builder) closeGates() {
	held := map[gateKey]bool{}
	for _, p := range b.Holdings.Parts {
		held[gateKey{p.Upstream, p.Index}] = true
	}
	for _, r := range b.Holdings.Reserve {
		held[gateKey{r.Upstream, ReservePart}] = true
	}
	b.oldGates = map[string][]gateKey{}
	for key, g := range b.old.gates {
		if !held[key] {
			g.Set(0, 0)
		}
		b.oldGates[key.upstream] = append(b.oldGates[key.upstream], key)
	}
}

// keepGates keeps gates that are no longer held until they are empty.
func (b *builder) keepGates() {
	for key, g := range b.old.gates {
		if b.fresh.gates[key] != nil {
			continue
		}
		g.Set(0, 0)
		if g.InFlight() > 0 {
			b.fresh.gates[key] = g
		}
	}
}

// withhold takes the requests that run above the new limit of one gate of an
// upstream from the limits of its other gates, so that all gates together never
// admit more than their limits. The table is then not renewed but built again.
func (b *builder) withhold(upstream string, places []place) {
	limits := map[gateKey]int{}
	for _, p := range places {
		limits[p.key] = p.limit
	}
	over := 0
	for _, key := range b.oldGates[upstream] {
		g, limit := b.old.gates[key], limits[key]
		g.Set(min(limit, g.Limit()), g.Deadline())
		over += max(0, g.InFlight()-limit)
	}
	if over == 0 {
		return
	}
	b.table.short = true
	for i := range places {
		p := &places[i]
		busy := 0
		if g := b.old.gates[p.key]; g != nil {
			busy = g.InFlight()
		}
		if busy > p.limit {
			continue
		}
		n := min(over, p.limit)
		p.limit -= n
		over -= n
	}
}

// Busy lists the granted parts with requests in flight, held or not, ordered by
// upstream and index. Slots is the number of requests.
func (t *Table) InFlight() []granter.Part {
	var parts []granter.Part
	for key, g := range t.counters.gates {
		if n := g.InFlight(); n > 0 && key.part != ReservePart {
			parts = append(parts, granter.Part{Upstream: key.upstream, Index: key.part, Slots: n})
		}
	}
	sort.Slice(parts, func(i, j int) bool {
		a, b := parts[i], parts[j]
		return a.Upstream < b.Upstream || a.Upstream == b.Upstream && a.Index < b.Index
	})
	return parts
}
