package granter

import (
	"slices"
)

// canReconfigure reports whether the leader may change electors, members and
// reserve. It may not while a write is unlikely to be confirmed, because
// supportedUntil needs a quorum of the electors of each unconfirmed write.
func (s *State) canReconfigure() bool {
	return s.writeSucceededRecently() && len(s.UnresolvedWrites) == 0
}

// nextLease returns the object for the leader's next write.
func (s *State) nextLease() Lease {
	l := Lease{
		Epoch:    s.Epoch,
		Leader:   s.Self.Name,
		Electors: s.Lease.Electors,
		Members:  s.Lease.Members,
		Reserve:  s.Lease.Reserve,
	}
	if s.MaxReportedEpoch > s.Epoch {
		// Electors that voted for a higher epoch no longer support this one.
		l.Epoch = s.MaxReportedEpoch + 1
	}
	if !s.canReconfigure() {
		return l
	}
	l.Reserve = s.nextReserve()
	l.Electors = s.nextElectors()
	l.Members = s.nextMembers(&l)
	return l
}

// nextElectors returns the electors that are live and have not restarted, filled
// up to MaxElectors with other live members.
func (s *State) nextElectors() []string {
	electors := []string{s.Self.Name}
	for _, name := range s.Lease.Electors {
		incarnation, _ := incarnationIn(&s.Lease, name)
		ms := s.Members[name]
		if name != s.Self.Name && slices.Contains(s.LiveMembers, name) && ms.Member.Incarnation == incarnation {
			electors = append(electors, name)
		}
	}
	for _, name := range s.LiveMembers {
		if len(electors) < MaxElectors && !slices.Contains(electors, name) {
			electors = append(electors, name)
		}
	}
	return electors
}

// nextMembers returns the members that were heard from lately and those that have
// a reserve.
func (s *State) nextMembers(l *Lease) []Member {
	var members []Member
	for _, ms := range s.membersByName() {
		if s.inView(ms) {
			members = append(members, ms.Member)
		}
	}
	for _, m := range s.Lease.Members {
		known := slices.ContainsFunc(members, func(o Member) bool { return o.Name == m.Name })
		if !known && hasReserve(l.Reserve, m.Name) {
			members = append(members, m)
		}
	}
	sortMembers(members)
	return members
}

// silentMember reports whether any other process named in the lease has not been
// heard from for MemberTimeout.
func (s *State) silentMember() bool {
	return slices.ContainsFunc(s.Lease.Members, func(m Member) bool {
		ms := s.Members[m.Name]
		return m.Name != s.Self.Name && (ms == nil || s.Now.Sub(ms.LastHeard) >= MemberTimeout)
	})
}

// publishView reports the leader's view of the domain if it has changed. It
// compares in place and builds a new view only on a change.
func (s *State) publishView() {
	if s.Epoch == s.View.Epoch && s.sameMembers() && s.sameHoldings() {
		return
	}
	v := View{Domain: s.Self.Domain, Epoch: s.Epoch, Sequence: s.View.Sequence + 1, Leader: s.Self.Name}
	for _, ms := range s.membersByName() {
		if s.inView(ms) {
			v.Members = append(v.Members, ms.Member)
		}
	}
	for _, e := range s.allocationsByKey() {
		if s.allocationInView(e.allocation) {
			v.Holdings = append(v.Holdings, s.holding(e))
		}
	}
	s.View = v
	s.emit(ViewChanged{View: v})
}

// inView reports whether a member belongs to the view.
func (s *State) inView(ms *MemberState) bool {
	return ms.Member.Name == s.Self.Name || s.Now.Sub(ms.LastHeard) < MemberTimeout
}

// allocationInView reports whether a part belongs to the view.
func (s *State) allocationInView(al *Allocation) bool {
	return al.Holder != "" && al.DroppedSequence == 0 && s.Now.Before(al.Until)
}

func (s *State) holding(e allocationEntry) Holding {
	p := Part{Upstream: e.key.Upstream, Index: e.key.Index, Slots: s.PartSizes[e.key]}
	return Holding{Part: p, Holder: e.allocation.Holder}
}

func (s *State) sameMembers() bool {
	n := 0
	for _, ms := range s.membersByName() {
		if !s.inView(ms) {
			continue
		}
		if n == len(s.View.Members) || s.View.Members[n] != ms.Member {
			return false
		}
		n++
	}
	return n == len(s.View.Members)
}

func (s *State) sameHoldings() bool {
	n := 0
	for _, e := range s.allocationsByKey() {
		if !s.allocationInView(e.allocation) {
			continue
		}
		if n == len(s.View.Holdings) || s.View.Holdings[n] != s.holding(e) {
			return false
		}
		n++
	}
	return n == len(s.View.Holdings)
}
