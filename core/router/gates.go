package router

import (
	"slices"
	"sort"

	"hornbeamstream.example/core/granter"
)

// Renew extends the deadlines of the table's gates and budgets to that of the
// holdings. It returns false and changes nothing if the holdings differ in more
// than the deadline or limits are reduced; then a new table has to be built.
// Holdings are renewed by every heartbeat, and Renew costs far less than Build.
func (t *Table) Renew(h granter.Holdings) bool {
	old := &t.holdings
	if t.limitsReduced || !slices.Equal(old.Parts, h.Parts) || !slices.Equal(old.Reserve, h.Reserve) ||
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

// gateSpec describes a gate to open: the size of its part and its limit.
type gateSpec struct {
	key          gateKey
	slots, limit int
}

// closeLostGates closes the gates of parts that are no longer held.
func (b *builder) closeLostGates() {
	stillHeld := map[gateKey]bool{}
	for _, p := range b.Holdings.Parts {
		stillHeld[gateKey{p.Upstream, p.Index}] = true
	}
	for _, r := range b.Holdings.Reserve {
		stillHeld[gateKey{r.Upstream, ReservePart}] = true
	}
	b.oldGates = map[string][]gateKey{}
	for key, g := range b.old.gates {
		if !stillHeld[key] {
			g.Set(0, 0)
		}
		b.oldGates[key.upstream] = append(b.oldGates[key.upstream], key)
	}
}

// keepBusyGates keeps the gates of parts that are no longer held until their
// requests have ended.
func (b *builder) keepBusyGates() {
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

// deductExcess lowers the limits of an upstream's gates by the number of requests
// in flight above the new limits of its other gates, so that the gates together
// never admit more than the sum of their limits. Such a table must be rebuilt
// rather than renewed.
func (b *builder) deductExcess(upstream string, specs []gateSpec) {
	limits := map[gateKey]int{}
	for _, p := range specs {
		limits[p.key] = p.limit
	}
	excess := 0
	for _, key := range b.oldGates[upstream] {
		g, limit := b.old.gates[key], limits[key]
		g.Set(min(limit, g.Limit()), g.Deadline())
		excess += max(0, g.InFlight()-limit)
	}
	if excess == 0 {
		return
	}
	b.table.limitsReduced = true
	for i := range specs {
		p := &specs[i]
		busy := 0
		if g := b.old.gates[p.key]; g != nil {
			busy = g.InFlight()
		}
		if busy > p.limit {
			continue
		}
		n := min(excess, p.limit)
		p.limit -= n
		excess -= n
	}
}

// InFlight returns the granted parts with requests in flight, whether still held
// or not, sorted by upstream and index. Slots is the number of requests.
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
