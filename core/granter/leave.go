package granter

import (
	"slices"
	"time"
)

// handOver passes the lease to another elector when this leader is leaving. It
// stops leading before it writes, so that there is no moment with two leaders,
// and only while the platform answers, because otherwise nobody could follow.
func (s *State) handOver() bool {
	if !s.Self.Leaving || s.PendingWrite != nil || len(s.UnresolvedWrites) > 0 || !s.platformUp() {
		return false
	}
	to := s.successor(s.Lease.Members)
	if a := s.Members[to]; a == nil || a.Member.Leaving || s.Now.Sub(a.LastHeard) >= MemberTimeout {
		return false
	}
	l := s.handOverLease(to)
	s.stepDown("handed over")
	s.write(l, time.Time{}, true)
	return true
}

// platformUp tells whether a write succeeded lately.
func (s *State) platformUp() bool {
	return s.PlatformLeaseUntil.Sub(s.Now) >= LeaseTerm/2
}

// successor returns the first elector other than this process that stays.
func (s *State) successor(members []Member) string {
	for _, m := range members {
		if m.Name != s.Self.Name && !m.Leaving && !s.gone(m.Name) && slices.Contains(s.Lease.Electors, m.Name) {
			return m.Name
		}
	}
	return ""
}

func (s *State) handOverLease(to string) Lease {
	l := Lease{Epoch: s.nextEpoch(), Leader: to}
	l.Electors = slices.DeleteFunc(slices.Clone(s.Lease.Electors), func(name string) bool {
		return name == s.Self.Name
	})
	l.Members = slices.Clone(s.Lease.Members)
	l.Reserve = slices.Clone(s.Lease.Reserve)
	return l
}

// announce tells the members of a new epoch, so that they don't have to ask the
// platform who leads.
func (s *State) announce() {
	for _, m := range s.Lease.Members {
		if m.Name != s.Self.Name {
			s.beat(m.Peer)
		}
	}
}
