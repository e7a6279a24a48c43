package granter

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// reserveShares is the number of members for which the first ones leave room
// in the reserve.
const reserveShares = 3

// Want is a reserve slot that the leader takes out of the parts. It is written
// to the lease when all grants that still contain it have ended.
type PendingReserve struct {
	Member   string
	Upstream string
	Since    time.Time
}

func reserves(reserve []Reserve, member string) bool {
	return slices.ContainsFunc(reserve, func(r Reserve) bool { return r.Member == member })
}

// rest takes the reserve from a member that can no longer use it.
func rest(reserve []Reserve, member string) []Reserve {
	for i := range reserve {
		if reserve[i].Member == member {
			reserve[i].Member = ""
		}
	}
	return mergeReserve(reserve)
}

func mergeReserve(reserve []Reserve) []Reserve {
	slices.SortFunc(reserve, func(a, b Reserve) int {
		return cmp.Or(strings.Compare(a.Member, b.Member), strings.Compare(a.Upstream, b.Upstream))
	})
	var merged []Reserve
	for _, r := range reserve {
		if n := len(merged); n > 0 && merged[n-1].Member == r.Member && merged[n-1].Upstream == r.Upstream {
			merged[n-1].Slots += r.Slots
			continue
		}
		merged = append(merged, r)
	}
	return merged
}

// takeReserve keeps what the lease reserves for this process.
func (s *State) takeReserve() {
	s.Reserve = nil
	if !s.names(&s.Lease) {
		return
	}
	for _, r := range s.Lease.Reserve {
		if r.Member == s.Self.Name {
			s.Reserve = append(s.Reserve, r)
		}
	}
}

// reserved returns the slots per upstream that parts must not contain,
// whichever of the possible lease objects the platform holds.
func (s *State) reserved() map[string]int {
	most := map[string]int{}
	for _, l := range s.possible() {
		sum := map[string]int{}
		for _, r := range l.Reserve {
			sum[r.Upstream] += r.Slots
			most[r.Upstream] = max(most[r.Upstream], sum[r.Upstream])
		}
	}
	for _, w := range s.PendingReserves {
		most[w.Upstream]++
	}
	return most
}

// planReserve starts the timers of resting slots and chooses new reserve slots.
func (s *State) planReserve() {
	s.timeRests()
	s.PendingReserves = slices.DeleteFunc(s.PendingReserves, func(w PendingReserve) bool { return !slices.Contains(s.LiveMembers, w.Member) })
	if len(s.PendingReserves) > 0 || s.PendingWrite != nil || !s.calm() {
		return
	}
	s.PendingReserves = s.newWants()
	if len(s.PendingReserves) > 0 {
		s.refresh()
	}
}

func restKey(r Reserve) string { return fmt.Sprint(r.Upstream, "/", r.Slots) }

func (s *State) timeRests() {
	resting := map[string]bool{}
	for _, r := range s.Lease.Reserve {
		if r.Member != "" {
			continue
		}
		k := restKey(r)
		resting[k] = true
		if _, ok := s.QuarantinedSince[k]; !ok {
			s.QuarantinedSince[k] = s.Now
		}
	}
	maps.DeleteFunc(s.QuarantinedSince, func(k string, _ time.Time) bool { return !resting[k] })
}

// reserveBudget returns the number of slots that may be reserved.
func (s *State) reserveBudget() int {
	slots := 0
	for _, d := range s.Config.Upstreams {
		slots += d.Slots
	}
	return int(float64(slots) * s.Config.Reserve)
}

// firstReserve returns the reserve of the process that creates the lease object:
// a slot of each service, as far as the budget leaves room for others. Nobody
// was ever granted these slots, so they need not be waited for; a domain that
// loses the platform soon after its start has some reserve.
func (s *State) firstReserve() []Reserve {
	if s.KnownEpoch > 0 || s.VotedEpoch > 0 {
		return nil
	}
	var reserve []Reserve
	reserved := map[string]int{}
	slots := min(len(s.services()), (s.reserveBudget()+reserveShares-1)/reserveShares)
	for i := range slots {
		if u := s.reserveUpstream(s.Self.Name, i, reserved); u != "" {
			reserved[u]++
			reserve = append(reserve, Reserve{Member: s.Self.Name, Upstream: u, Slots: 1})
		}
	}
	return mergeReserve(reserve)
}

// newWants chooses reserve slots one by one until the share of the domain's
// slots is used up. A member's first slot is of the most important service.
func (s *State) newWants() []PendingReserve {
	budget, used := s.reserveBudget(), 0
	counts, reserved := map[string]int{}, s.reserved()
	for _, r := range s.Lease.Reserve {
		counts[r.Member] += r.Slots
		used += r.Slots
	}
	shares := max(reserveShares, len(s.LiveMembers))
	most := max(1, (budget+shares-1)/shares)
	var wants []PendingReserve
	for round := range most {
		for _, name := range s.settled() {
			if used >= budget || counts[name] > round {
				continue
			}
			if u := s.reserveUpstream(name, counts[name], reserved); u != "" {
				wants = append(wants, PendingReserve{Member: name, Upstream: u, Since: s.Now})
				counts[name]++
				reserved[u]++
				used++
			}
		}
	}
	return wants
}

// settled returns the live members that stayed for some time.
func (s *State) settled() []string {
	var names []string
	for _, name := range s.LiveMembers {
		if a := s.Members[name]; a != nil && s.Now.Sub(a.FirstHeard) >= MemberTimeout {
			names = append(names, name)
		}
	}
	return names
}

// reserveUpstream chooses the upstream for a member's next reserve slot: the
// services take turns by priority, and within one the upstream with the smallest
// reserved share comes first.
func (s *State) reserveUpstream(member string, count int, reserved map[string]int) string {
	services := s.services()
	if len(services) == 0 {
		return ""
	}
	service := services[count%len(services)]
	best, least, top := "", 0.0, uint64(0)
	for _, d := range s.Config.Upstreams {
		if d.Service != service || reserved[d.Upstream] >= d.Slots {
			continue
		}
		n := float64(reserved[d.Upstream]) / float64(d.Slots)
		h := hash(member + "/" + d.Upstream)
		if best == "" || n < least || n == least && h > top {
			best, least, top = d.Upstream, n, h
		}
	}
	return best
}

// services returns the services with slots in the domain, by priority.
func (s *State) services() []string {
	demands := slices.Clone(s.Config.Upstreams)
	slices.SortFunc(demands, func(a, b UpstreamConfig) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), strings.Compare(a.Service, b.Service))
	})
	var names []string
	for _, d := range demands {
		if !slices.Contains(names, d.Service) {
			names = append(names, d.Service)
		}
	}
	return names
}

// nextReserve returns the reserve for the next write: slots of members that can
// no longer use them rest, rested ones are free again, and wanted ones are
// added when no grant contains them any more.
func (s *State) nextReserve() []Reserve {
	var next []Reserve
	for _, r := range s.Lease.Reserve {
		limit := s.demand(r.Upstream).Limit
		if r.Member == "" {
			at, ok := s.QuarantinedSince[restKey(r)]
			if ok && !s.Now.Before(at.Add(LeaseMargin+limit)) {
				continue
			}
		} else if s.replaced(r.Member) {
			r.Member = ""
		}
		next = append(next, r)
	}
	var open []PendingReserve
	for _, w := range s.PendingReserves {
		settled := w.Since.Add(GrantTerm + LeaseMargin + s.demand(w.Upstream).Limit)
		if s.Now.Before(settled) {
			open = append(open, w)
			continue
		}
		next = append(next, Reserve{Member: w.Member, Upstream: w.Upstream, Slots: 1})
	}
	s.PendingReserves = open
	return mergeReserve(next)
}

// replaced tells whether the process that the lease names no longer runs.
func (s *State) replaced(member string) bool {
	n, ok := incarnationIn(&s.Lease, member)
	a := s.Members[member]
	return !ok || a != nil && a.Member.Incarnation > n || s.gone(member)
}
