package granter

import "slices"

// quotas returns a member's shares of the domain's quotas. A share grows only
// as far as the grants that others may still use leave room.
func (s *State) quotas(a *MemberState) []Quota {
	used := s.outstanding(a)
	live := slices.Contains(s.LiveMembers, a.Member.Name) && !s.Now.Before(s.PriorGrantsEnd.Add(LeaseMargin))
	var quotas []Quota
	for i, q := range s.Config.Quotas {
		rate := 0.0
		if live {
			rate = min(q.Rate/float64(len(s.LiveMembers)), max(0, q.Rate-used[i]))
		}
		quotas = append(quotas, Quota{Name: q.Name, Rate: rate})
	}
	return quotas
}

// outstanding returns the rates of the plan's quotas that members other than a
// may use now. The order of the sums is fixed, because sums of floating-point
// numbers depend on it; for the same reason there is no running total, from
// which rates are subtracted.
func (s *State) outstanding(a *MemberState) []float64 {
	total := make([]float64, len(s.Config.Quotas))
	for _, other := range s.accounts() {
		s.count(other)
		if other == a {
			continue
		}
		for i, rate := range other.rates {
			total[i] += rate
		}
	}
	return total
}

// count drops grants of an account that expired or were replaced, and finds the
// largest rates of the others, unless nothing has changed.
func (s *State) count(a *MemberState) {
	if a.counted && !a.expires.Before(s.Now) {
		return
	}
	a.OutstandingGrants = slices.DeleteFunc(a.OutstandingGrants, func(g Grant) bool {
		return g.Sequence < a.AckedSequence || g.Deadline.Add(LeaseMargin).Before(s.Now)
	})
	a.counted, a.expires = true, s.Now.Add(GrantTerm+LeaseMargin)
	for _, g := range a.OutstandingGrants {
		a.expires = earlier(a.expires, g.Deadline.Add(LeaseMargin))
	}
	a.rates = a.rates[:0]
	for i, q := range s.Config.Quotas {
		a.rates = append(a.rates, largest(i, q.Name, a.OutstandingGrants))
	}
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
