package granter

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// minReserveShares is the least number of shares into which the reserve is
// divided, so that the first members leave some of it to those that join later.
const minReserveShares = 3

// PendingReserve is a reserve slot that the leader has taken out of the parts. It
// is written to the lease once all grants that still contain it have ended.
type PendingReserve struct {
	Member   string
	Upstream string
	Since    time.Time
}

// hasReserve reports whether a member has any reserve slots.
func hasReserve(reserve []Reserve, member string) bool {
	return slices.ContainsFunc(reserve, func(r Reserve) bool { return r.Member == member })
}

// quarantineReserve takes the reserve slots from a member that can no longer use
// them and quarantines them.
func quarantineReserve(reserve []Reserve, member string) []Reserve {
	for i := range reserve {
		if reserve[i].Member == member {
			reserve[i].Member = ""
		}
	}
	return mergeReserve(reserve)
}

// mergeReserve sorts the reserve and merges the entries with the same member and
// upstream.
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

// adoptReserve sets Reserve to what the lease reserves for this process.
func (s *State) adoptReserve() {
	s.Reserve = nil
	if !s.memberOf(&s.Lease) {
		return
	}
	for _, r := range s.Lease.Reserve {
		if r.Member == s.Self.Name {
			s.Reserve = append(s.Reserve, r)
		}
	}
}

// reservedSlots returns the number of slots of each upstream that parts must not
// contain, whichever of the possible lease objects the platform stores.
func (s *State) reservedSlots() map[string]int {
	maxReserved := map[string]int{}
	for _, l := range s.possibleLeases() {
		sum := map[string]int{}
		for _, r := range l.Reserve {
			sum[r.Upstream] += r.Slots
			maxReserved[r.Upstream] = max(maxReserved[r.Upstream], sum[r.Upstream])
		}
	}
	for _, p := range s.PendingReserves {
		maxReserved[p.Upstream]++
	}
	return maxReserved
}

// updateReserve tracks the quarantined slots and chooses new reserve slots.
func (s *State) updateReserve() {
	s.trackQuarantine()
	s.PendingReserves = slices.DeleteFunc(s.PendingReserves, func(p PendingReserve) bool { return !slices.Contains(s.LiveMembers, p.Member) })
	if len(s.PendingReserves) > 0 || s.PendingWrite != nil || !s.canReconfigure() {
		return
	}
	s.PendingReserves = s.chooseReserveSlots()
	if len(s.PendingReserves) > 0 {
		s.updateTargets()
	}
}

// quarantineKey identifies quarantined slots in QuarantinedSince.
func quarantineKey(r Reserve) string { return fmt.Sprint(r.Upstream, "/", r.Slots) }

// trackQuarantine records since when slots are quarantined.
func (s *State) trackQuarantine() {
	quarantined := map[string]bool{}
	for _, r := range s.Lease.Reserve {
		if r.Member != "" {
			continue
		}
		k := quarantineKey(r)
		quarantined[k] = true
		if _, ok := s.QuarantinedSince[k]; !ok {
			s.QuarantinedSince[k] = s.Now
		}
	}
	maps.DeleteFunc(s.QuarantinedSince, func(k string, _ time.Time) bool { return !quarantined[k] })
}

// reserveBudget returns the number of slots that may be reserved.
func (s *State) reserveBudget() int {
	slots := 0
	for _, u := range s.Config.Upstreams {
		slots += u.Slots
	}
	return int(float64(slots) * s.Config.Reserve)
}

// initialReserve returns the reserve of the process that creates the lease
// object: a slot of each service, as far as the budget leaves room for others.
// No process was ever granted these slots, so there is no grant to wait for.
// They give a domain that loses the platform soon after its start some reserve.
func (s *State) initialReserve() []Reserve {
	if s.KnownEpoch > 0 || s.VotedEpoch > 0 {
		return nil
	}
	var reserve []Reserve
	reserved := map[string]int{}
	slots := min(len(s.services()), (s.reserveBudget()+minReserveShares-1)/minReserveShares)
	for i := range slots {
		if u := s.reserveUpstream(s.Self.Name, i, reserved); u != "" {
			reserved[u]++
			reserve = append(reserve, Reserve{Member: s.Self.Name, Upstream: u, Slots: 1})
		}
	}
	return mergeReserve(reserve)
}

// chooseReserveSlots chooses reserve slots one by one until the reserve budget is
// used up. A member's first slot is of the most important service.
func (s *State) chooseReserveSlots() []PendingReserve {
	budget, used := s.reserveBudget(), 0
	counts, reserved := map[string]int{}, s.reservedSlots()
	for _, r := range s.Lease.Reserve {
		counts[r.Member] += r.Slots
		used += r.Slots
	}
	shares := max(minReserveShares, len(s.LiveMembers))
	maxPerMember := max(1, (budget+shares-1)/shares)
	var pending []PendingReserve
	for round := range maxPerMember {
		for _, name := range s.settledMembers() {
			if used >= budget || counts[name] > round {
				continue
			}
			if u := s.reserveUpstream(name, counts[name], reserved); u != "" {
				pending = append(pending, PendingReserve{Member: name, Upstream: u, Since: s.Now})
				counts[name]++
				reserved[u]++
				used++
			}
		}
	}
	return pending
}

// settledMembers returns the live members that were first heard of at least
// MemberTimeout ago.
func (s *State) settledMembers() []string {
	var names []string
	for _, name := range s.LiveMembers {
		if ms := s.Members[name]; ms != nil && s.Now.Sub(ms.FirstHeard) >= MemberTimeout {
			names = append(names, name)
		}
	}
	return names
}

// reserveUpstream chooses the upstream for a member's next reserve slot, given
// the number of those it has: the services take turns by priority, and within a
// service the upstream with the smallest reserved fraction comes first.
func (s *State) reserveUpstream(member string, count int, reserved map[string]int) string {
	services := s.services()
	if len(services) == 0 {
		return ""
	}
	service := services[count%len(services)]
	best, minFraction, maxHash := "", 0.0, uint64(0)
	for _, u := range s.Config.Upstreams {
		if u.Service != service || reserved[u.Upstream] >= u.Slots {
			continue
		}
		n := float64(reserved[u.Upstream]) / float64(u.Slots)
		h := hash(member + "/" + u.Upstream)
		if best == "" || n < minFraction || n == minFraction && h > maxHash {
			best, minFraction, maxHash = u.Upstream, n, h
		}
	}
	return best
}

// services returns the services of the domain's upstreams, by priority.
func (s *State) services() []string {
	upstreams := slices.Clone(s.Config.Upstreams)
	slices.SortFunc(upstreams, func(a, b UpstreamConfig) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), strings.Compare(a.Service, b.Service))
	})
	var names []string
	for _, u := range upstreams {
		if !slices.Contains(names, u.Service) {
			names = append(names, u.Service)
		}
	}
	return names
}

// nextReserve returns the reserve for the next write. Slots of members that can
// no longer use them are quarantined, slots whose quarantine is over are freed,
// and pending ones are added once no grant contains them any more.
func (s *State) nextReserve() []Reserve {
	var next []Reserve
	for _, r := range s.Lease.Reserve {
		limit := s.upstreamConfig(r.Upstream).Limit
		if r.Member == "" {
			since, ok := s.QuarantinedSince[quarantineKey(r)]
			if ok && !s.Now.Before(since.Add(LeaseMargin+limit)) {
				continue
			}
		} else if s.processEnded(r.Member) {
			r.Member = ""
		}
		next = append(next, r)
	}
	var pending []PendingReserve
	for _, p := range s.PendingReserves {
		usableAt := p.Since.Add(GrantTerm + LeaseMargin + s.upstreamConfig(p.Upstream).Limit)
		if s.Now.Before(usableAt) {
			pending = append(pending, p)
			continue
		}
		next = append(next, Reserve{Member: p.Member, Upstream: p.Upstream, Slots: 1})
	}
	s.PendingReserves = pending
	return mergeReserve(next)
}

// processEnded reports whether the process that the lease names no longer runs.
func (s *State) processEnded(member string) bool {
	incarnation, ok := incarnationIn(&s.Lease, member)
	ms := s.Members[member]
	return !ok || ms != nil && ms.Member.Incarnation > incarnation || s.terminated(member)
}
