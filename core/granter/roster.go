package granter

import (
	"slices"
)

// calm tells whether the leader may change electors, members and reserve: only
// then is a write likely to be confirmed, and holdover counts the electors of
// every write that is not.
func (s *State) calm() bool { return s.platformUp() && len(s.Unresolved) == 0 }

// nextLease returns the object for the leader's next write.
func (s *State) nextLease() Lease {
	l := Lease{
		Epoch:    s.Epoch,
		Leader:   s.Self.Name,
		Electors: s.Lease.Electors,
		Members:  s.Lease.Members,
		Reserve:  s.Lease.Reserve,
	}
	if s.Floor > s.Epoch {
		// Electors that voted for a higher epoch support no lower one.
		l.Epoch = s.Floor + 1
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
		if name != s.Self.Name && slices.Contains(s.Live, name) && a.Member.Incarnation == n {
			electors = append(electors, name)
		}
	}
	for _, name := range s.Live {
		if len(electors) < MaxElectors && !slices.Contains(electors, name) {
			electors = append(electors, name)
		}
	}
	return electors
}

// nextMembers lists the members that are heard of and those that have a reserve.
func (s *State) nextMembers(l *Lease) []Member {
	var members []Member
	for name, a := range s.Members {
		if name == s.Self.Name || s.Now.Sub(a.Heard) < MemberTerm {
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
		return m.Name != s.Self.Name && (a == nil || s.Now.Sub(a.Heard) >= MemberTerm)
	})
}

// publishView reports the leader's account of the domain, if it changed.
func (s *State) publishView() {
	v := View{Domain: s.Self.Domain, Epoch: s.Epoch, Sequence: s.View.Sequence, Leader: s.Self.Name}
	for name, a := range s.Members {
		if name == s.Self.Name || s.Now.Sub(a.Heard) < MemberTerm {
			v.Members = append(v.Members, a.Member)
		}
	}
	sortMembers(v.Members)
	for k, r := range s.Records {
		if r.Holder != "" && r.Dropped == 0 && s.Now.Before(r.Until) {
			p := Part{Upstream: k.Upstream, Index: k.Index, Slots: s.Sizes[k]}
			v.Holdings = append(v.Holdings, Holding{Part: p, Holder: r.Holder})
		}
	}
	slices.SortFunc(v.Holdings, func(a, b Holding) int {
		return compareKeys(Key{a.Part.Upstream, a.Part.Index}, Key{b.Part.Upstream, b.Part.Index})
	})
	if v.Epoch == s.View.Epoch && slices.Equal(v.Members, s.View.Members) && slices.Equal(v.Holdings, s.View.Holdings) {
		return
	}
	v.Sequence++
	s.View = v
	s.emit(ViewChanged{View: v})
}
