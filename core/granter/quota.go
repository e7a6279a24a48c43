package granter

import (
	"maps"
	"slices"
)

// quotas returns a member's shares of the domain's quotas. A share grows only
// as far as the grants that others may still use leave room.
func (s *State) quotas(a *Account) []Quota {
	s.trimOutstanding()
	used := s.outstanding(a)
	var quotas []Quota
	for i, q := range s.Plan.Quotas {
		rate := 0.0
		if slices.Contains(s.Live, a.Member.Name) && !s.Now.Before(s.Ends.Add(LeaseMargin)) {
			rate = min(q.Rate/float64(len(s.Live)), max(0, q.Rate-used[i]))
		}
		quotas = append(quotas, Quota{Name: q.Name, Rate: rate})
	}
	return quotas
}

// trimOutstanding drops grants that expired or were replaced.
func (s *State) trimOutstanding() {
	for _, a := range s.Members {
		a.Outstanding = slices.DeleteFunc(a.Outstanding, func(g Grant) bool {
			return g.Sequence < a.Seen || g.Deadline.Add(LeaseMargin).Before(s.Now)
		})
	}
}

// outstanding returns the rates of the plan's quotas that members other than a
// may use now. The order of the sums is fixed, because sums of floating-point
// numbers depend on it.
func (s *State) outstanding(a *Account) []float64 {
	total := make([]float64, len(s.Plan.Quotas))
	for _, member := range slices.Sorted(maps.Keys(s.Members)) {
		other := s.Members[member]
		if other == a {
			continue
		}
		for i, q := range s.Plan.Quotas {
			total[i] += largest(i, q.Name, other.Outstanding)
		}
	}
	return total
}

// largest returns the largest rate of a quota in the grants. The quota is at
// index i unless the plan changed.
func largest(i int, name string, grants []Grant) float64 {
	rate := 0.0
	for _, g := range grants {
		at := i
		if at >= len(g.Quotas) || g.Quotas[at].Name != name {
			at = slices.IndexFunc(g.Quotas, func(q Quota) bool { return q.Name == name })
		}
		if at >= 0 {
			rate = max(rate, g.Quotas[at].Rate)
		}
	}
	return rate
}
