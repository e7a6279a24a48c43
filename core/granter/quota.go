package granter

import "slices"

// quotas returns a member's shares of the domain's quotas. A share grows only
// as far as the grants that others may still use leave room.
func (s *State) quotas(a *Account) []Quota {
	s.trimOutstanding()
	var quotas []Quota
	for _, q := range s.Plan.Quotas {
		rate := 0.0
		if slices.Contains(s.Live, a.Member.Name) && !s.Now.Before(s.Ends.Add(LeaseMargin)) {
			rate = min(q.Rate/float64(len(s.Live)), max(0, q.Rate-s.outstanding(q.Name, a)))
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

// outstanding returns the rate that members other than a may use now.
func (s *State) outstanding(name string, a *Account) float64 {
	total := 0.0
	for _, other := range s.Members {
		if other != a {
			total += largest(name, other.Outstanding)
		}
	}
	return total
}

func largest(name string, grants []Grant) float64 {
	rate := 0.0
	for _, g := range grants {
		for _, q := range g.Quotas {
			if q.Name == name {
				rate = max(rate, q.Rate)
			}
		}
	}
	return rate
}
