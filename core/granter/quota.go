package granter

import "slices"

// quotaShares returns a member's shares of the domain's quotas. A share is limited
// to what the grants that other members may still use leave.
func (s *State) quotaShares(ms *MemberState) []Quota {
	used := s.outstandingRates(ms)
	live := slices.Contains(s.LiveMembers, ms.Member.Name) && !s.Now.Before(s.PriorGrantsEnd.Add(LeaseMargin))
	var quotaShares []Quota
	for i, q := range s.Config.Quotas {
		rate := 0.0
		if live {
			rate = min(q.Rate/float64(len(s.LiveMembers)), max(0, q.Rate-used[i]))
		}
		quotaShares = append(quotaShares, Quota{Name: q.Name, Rate: rate})
	}
	return quotaShares
}

// outstandingRates returns, for each of the domain's quotas, the rate that
// members other than ms may use now. The rates are added in a fixed order,
// because floating-point sums depend on it. For the same reason there is no
// running total from which rates are subtracted.
func (s *State) outstandingRates(ms *MemberState) []float64 {
	total := make([]float64, len(s.Config.Quotas))
	for _, other := range s.membersByName() {
		s.updateMaxRates(other)
		if other == ms {
			continue
		}
		for i, rate := range other.maxRates {
			total[i] += rate
		}
	}
	return total
}

// updateMaxRates removes a member's outstanding grants that have expired or were
// replaced and recomputes the largest rates of the others, unless the cached
// rates are still valid.
func (s *State) updateMaxRates(ms *MemberState) {
	if ms.ratesValid && !ms.ratesExpire.Before(s.Now) {
		return
	}
	ms.OutstandingGrants = slices.DeleteFunc(ms.OutstandingGrants, func(g Grant) bool {
		return g.Sequence < ms.AckedSequence || g.Deadline.Add(LeaseMargin).Before(s.Now)
	})
	ms.ratesValid, ms.ratesExpire = true, s.Now.Add(GrantTerm+LeaseMargin)
	for _, g := range ms.OutstandingGrants {
		ms.ratesExpire = earlier(ms.ratesExpire, g.Deadline.Add(LeaseMargin))
	}
	ms.maxRates = ms.maxRates[:0]
	for i, q := range s.Config.Quotas {
		ms.maxRates = append(ms.maxRates, largestRate(i, q.Name, ms.OutstandingGrants))
	}
}

// largestRate returns the largest rate of a quota in the grants. The quota is at
// index i unless the configuration has changed since the grant.
func largestRate(i int, name string, grants []Grant) float64 {
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
