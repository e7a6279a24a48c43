package granter

import (
	"slices"
)

// calm tells whether the leader may change electors, members and reserve: only
// then is a write likely to be confirmed, and holdover counts the electors of
// every write that is not.
func (s *State) calm() bool { return s.platformUp() && len(s.UnresolvedWrites) == 0 }

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
		// Electors that voted for a higher epoch support no lower one.
		l.Epoch = s.MaxReportedEpoch + 1
	}
	if !s.calm() {
		return l
	}
	l.Reserve = s.nextReserve()
	l.Electors = s.nextElectors()
	l.Members = s.nextMembers(&l)
	return l
}

// nextElectors keeps the electors that are well and fills up with others.
func (s *State) nextElectors() []string {
	electors := []string{s.Self.Name}
	for _, name := range s.Lease.Electors {
		n, _ := incarnationIn(&s.Lease, name)
		a := s.Members[name]
		if name != s.Self.Name && slices.Contains(s.LiveMembers, name) && a.Member.Incarnation == n {
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

// nextMembers lists the members that are heard of and those that have a reserve.
func (s *State) nextMembers(l *Lease) []Member {
	var members []Member
	for _, a := range s.accounts() {
		if s.heard(a) {
			members = append(members, a.Member)
		}
	}
	for _, m := range s.Lease.Members {
		known := slices.ContainsFunc(members, func(o Member) bool { return o.Name == m.Name })
		if !known && reserves(l.Reserve, m.Name) {
			members = append(members, m)
		}
	}
	sortMembers(members)
	return members
}

// silentMember tells whether a process that the lease names is not heard of.
func (s *State) silentMember() bool {
	return slices.ContainsFunc(s.Lease.Members, func(m Member) bool {
		a := s.Members[m.Name]
		return m.Name != s.Self.Name && (a == nil || s.Now.Sub(a.LastHeard) >= MemberTimeout)
	})
}

// publishView reports the leader's account of the domain, if it changed. It
// builds a view only then.
func (s *State) publishView() {
	if s.Epoch == s.View.Epoch && s.sameMembers() && s.sameHoldings() {
		return
	}
	v := View{Domain: s.Self.Domain, Epoch: s.Epoch, Sequence: s.View.Sequence + 1, Leader: s.Self.Name}
	for _, a := range s.accounts() {
		if s.heard(a) {
			v.Members = append(v.Members, a.Member)
		}
	}
	for _, e := range s.ordered() {
		if s.granted(e.record) {
			v.Holdings = append(v.Holdings, s.holding(e))
		}
	}
	s.View = v
	s.emit(ViewChanged{View: v})
}

// heard tells whether a member belongs to the view.
func (s *State) heard(a *MemberState) bool {
	return a.Member.Name == s.Self.Name || s.Now.Sub(a.LastHeard) < MemberTimeout
}

// granted tells whether a part belongs to the view.
func (s *State) granted(r *Allocation) bool {
	return r.Holder != "" && r.DroppedSequence == 0 && s.Now.Before(r.Until)
}

func (s *State) holding(e entry) Holding {
	p := Part{Upstream: e.key.Upstream, Index: e.key.Index, Slots: s.PartSizes[e.key]}
	return Holding{Part: p, Holder: e.record.Holder}
}

func (s *State) sameMembers() bool {
	n := 0
	for _, a := range s.accounts() {
		if !s.heard(a) {
			continue
		}
		if n == len(s.View.Members) || s.View.Members[n] != a.Member {
			return false
		}
		n++
	}
	return n == len(s.View.Members)
}

func (s *State) sameHoldings() bool {
	n := 0
	for _, e := range s.ordered() {
		if !s.granted(e.record) {
			continue
		}
		if n == len(s.View.Holdings) || s.View.Holdings[n] != s.holding(e) {
			return false
		}
		n++
	}
	return n == len(s.View.Holdings)
}
