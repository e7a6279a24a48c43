package granter

import (
	"slices"
	"time"
)

// transferLeadership transfers the lease to another elector if this leader is
// leaving, and reports whether it did. The leader steps down before it writes,
// so that there are never two leaders, and does so only while the platform
// answers, because otherwise no other process could take over.
func (s *State) transferLeadership() bool {
	if !s.Self.Leaving || s.PendingWrite != nil || len(s.UnresolvedWrites) > 0 || !s.writeSucceededRecently() {
		return false
	}
	to := s.transferTarget(s.Lease.Members)
	if ms := s.Members[to]; ms == nil || ms.Member.Leaving || s.Now.Sub(ms.LastHeard) >= MemberTimeout {
		return false
	}
	l := s.transferLease(to)
	s.stepDown("handed over")
	s.writeLease(l, time.Time{}, true)
	return true
}

// writeSucceededRecently reports whether the last confirmed write still has at
// least half of its term left.
func (s *State) writeSucceededRecently() bool {
	return s.PlatformLeaseUntil.Sub(s.Now) >= LeaseTerm/2
}

// transferTarget returns the first elector other than this process that is
// neither leaving nor terminated, or an empty string if there is none.
func (s *State) transferTarget(members []Member) string {
	for _, m := range members {
		if m.Name != s.Self.Name && !m.Leaving && !s.terminated(m.Name) && slices.Contains(s.Lease.Electors, m.Name) {
			return m.Name
		}
	}
	return ""
}

// transferLease returns the lease object that makes another elector the leader.
func (s *State) transferLease(to string) Lease {
	l := Lease{Epoch: s.nextEpoch(), Leader: to}
	l.Electors = slices.DeleteFunc(slices.Clone(s.Lease.Electors), func(name string) bool {
		return name == s.Self.Name
	})
	l.Members = slices.Clone(s.Lease.Members)
	l.Reserve = slices.Clone(s.Lease.Reserve)
	return l
}

// announceEpoch sends the new epoch to the members, so that they don't have to
// ask the platform for the leader.
func (s *State) announceEpoch() {
	for _, m := range s.Lease.Members {
		if m.Name != s.Self.Name {
			s.sendHeartbeat(m.Peer)
		}
	}
}
