package granter

import (
	"slices"
	"time"
)

const (
	// readInterval is the time between reads of the lease object by electors
	// and by instances without a leader.
	readInterval = 500 * time.Millisecond
	// firstIdleInterval is the time between the first reads of other members
	// after a start or a new epoch. They need the object only to learn their
	// reserve, which the leader writes within seconds, so that later reads take
	// twice the time of the one before, up to idleInterval, with idleSpread by
	// name.
	firstIdleInterval = 15 * time.Second
	idleInterval      = 4 * time.Minute
	idleSpread        = 2 * time.Minute
	maxBackoff        = 4 * time.Second
	// unresolvedMax bounds the writes that are remembered after lost answers. A
	// forgotten one is still recognized by leader and incarnation.
	unresolvedMax = 8
)

// incarnationIn returns the incarnation of a member named in a lease.
func incarnationIn(l *Lease, name string) (uint64, bool) {
	i := slices.IndexFunc(l.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return 0, false
	}
	return l.Members[i].Incarnation, true
}

// names tells whether a lease counts this process among its members.
func (s *State) names(l *Lease) bool {
	n, ok := incarnationIn(l, s.Self.Name)
	return ok && n == s.Self.Incarnation
}

// elector tells whether this process is an elector. A new incarnation of an
// elector is none, because it doesn't know what the old one promised.
func (s *State) elector() bool {
	return s.names(&s.Lease) && slices.Contains(s.Lease.Electors, s.Self.Name)
}

// possible returns the lease objects that the platform may hold now.
func (s *State) possible() []*Lease {
	all := []*Lease{&s.Lease}
	if s.PendingWrite != nil {
		all = append(all, &s.PendingWrite.Lease)
	}
	for i := range s.UnresolvedWrites {
		all = append(all, &s.UnresolvedWrites[i].Lease)
	}
	return all
}

// leaseEnd returns the time until which this leader may act: the term of its
// last write or the support of a quorum of electors.
func (s *State) leaseEnd() time.Time {
	return later(s.PlatformLeaseUntil, s.holdover())
}

// holdover returns the time until which a quorum of electors stands by the
// leader, whichever of the possible lease objects the platform holds.
func (s *State) holdover() time.Time {
	end := s.Now.Add(LeaseTerm)
	for _, l := range s.possible() {
		end = earlier(end, s.quorum(l))
	}
	return end
}

func (s *State) quorum(l *Lease) time.Time {
	var ends []time.Time
	for _, name := range l.Electors {
		n, _ := incarnationIn(l, name)
		if name == s.Self.Name {
			ends = append(ends, s.Now.Add(LeaseTerm))
		} else if s.SupportByElector[name].Incarnation == n {
			ends = append(ends, s.SupportByElector[name].Until)
		}
	}
	need := holders(len(l.Electors))
	if len(l.Electors) == 0 || len(ends) < need {
		return time.Time{}
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	return ends[need-1]
}

// holders is the number of electors that keep a leader in office, takers the
// number that lets a candidate take over. Together they exceed n, so that no
// candidate can take over from a leader that is still supported.
func holders(n int) int { return n/2 + 1 }

func takers(n int) int { return n + 1 - holders(n) }

// write starts a conditional update.
func (s *State) write(l Lease, ends time.Time, fresh bool) {
	l.Domain = s.Self.Domain
	l.Nonce = s.nonce()
	s.PendingWrite = &LeaseUpdate{Version: s.Version, Lease: l, Started: s.Now, PriorGrantsEnd: ends, ResetAllocations: fresh}
	s.NextWrite = s.Now.Add(RenewInterval)
	s.emit(WriteLease{Version: s.Version, Lease: l, Deadline: s.Now.Add(RenewInterval)})
}

func (s *State) canWrite() bool {
	return s.PendingWrite == nil && !s.Now.Before(s.NextWrite) && !s.LastReadSent.Before(s.ReadRequiredAfter)
}

func (s *State) writeEnded(e WriteCompleted) {
	w, ok := s.take(e.Nonce)
	if !ok {
		return
	}
	switch e.Result {
	case WriteDone:
		s.WriteFailures = 0
		s.written(w, e.Version, later(w.Started, e.Sent))
	case WriteUnknown:
		s.UnresolvedWrites = append(s.UnresolvedWrites, w)
		if len(s.UnresolvedWrites) > unresolvedMax {
			s.UnresolvedWrites = s.UnresolvedWrites[1:]
		}
		s.ReadRequiredAfter = s.Now
		s.NextRead = s.Now
		s.backOff()
	case WriteConflict:
		s.Candidacy = nil
		s.ReadRequiredAfter = s.Now
		s.NextRead = s.Now
	case WriteFailed:
		s.Candidacy = nil
		s.backOff()
	}
	s.readDue()
}

// abandon treats a write that never ended as one whose answer was lost.
func (s *State) abandon() {
	if s.PendingWrite != nil && s.Now.Sub(s.PendingWrite.Started) > LeaseTerm {
		s.writeEnded(WriteCompleted{Nonce: s.PendingWrite.Lease.Nonce, Result: WriteUnknown})
	}
}

// take removes a write from those whose outcome is open.
func (s *State) take(nonce uint64) (LeaseUpdate, bool) {
	if s.PendingWrite != nil && s.PendingWrite.Lease.Nonce == nonce {
		w := *s.PendingWrite
		s.PendingWrite = nil
		return w, true
	}
	i := slices.IndexFunc(s.UnresolvedWrites, func(w LeaseUpdate) bool { return w.Lease.Nonce == nonce })
	if i < 0 {
		return LeaseUpdate{}, false
	}
	w := s.UnresolvedWrites[i]
	s.UnresolvedWrites = slices.Delete(s.UnresolvedWrites, i, i+1)
	return w, true
}

// backOff delays the next write. The jitter keeps the leaders of several
// domains apart when the platform returns.
func (s *State) backOff() {
	s.WriteFailures = min(s.WriteFailures+1, 3)
	wait := min(RenewInterval<<(s.WriteFailures-1), maxBackoff)
	jitter := time.Duration(hash(s.Self.Name, s.NonceCounter)%200) * time.Millisecond
	s.NextWrite = s.Now.Add(wait + jitter)
}

// written records that a write of this process took effect.
func (s *State) written(w LeaseUpdate, version uint64, asked time.Time) {
	if version < s.Version {
		return
	}
	s.adopt(version, w.Lease)
	if w.Lease.Leader != s.Self.Name || asked.Before(s.ResumedAt) {
		return
	}
	until := asked.Add(LeaseTerm)
	if !s.Leading && !s.Now.Before(until) {
		return
	}
	s.PlatformLeaseUntil = later(s.PlatformLeaseUntil, until)
	if !s.Leading {
		s.begin(w)
		return
	}
	if s.Epoch != w.Lease.Epoch {
		s.Epoch, s.AllocationsEpoch = w.Lease.Epoch, w.Lease.Epoch
		clear(s.SupportByElector)
	}
}

// adopt takes over a lease object that is newer than the one known.
func (s *State) adopt(version uint64, l Lease) {
	if version <= s.Version {
		return
	}
	s.Version, s.Lease, s.LeaseFirstSeen = version, l, s.Now
	s.Candidacy = nil
	// A write conditional on an older version can no longer take effect.
	s.UnresolvedWrites = slices.DeleteFunc(s.UnresolvedWrites, func(w LeaseUpdate) bool { return w.Version < version })
	if l.Epoch >= s.VotedEpoch {
		if l.Epoch > s.VotedEpoch || l.Leader != s.VotedFor {
			s.PromisedUntil = time.Time{}
		}
		s.VotedEpoch, s.VotedFor = l.Epoch, l.Leader
	}
	if l.Epoch > s.KnownEpoch {
		s.learn(l.Epoch, l.Leader)
	} else if l.Epoch == s.KnownEpoch {
		s.Leader = l.Leader
	}
	for _, m := range l.Members {
		s.meet(m)
	}
	s.takeReserve()
}

func (s *State) leaseSeen(e LeaseRead) {
	s.UnansweredReads = 0
	if e.Version < s.Version {
		return
	}
	s.LastReadSent = later(s.LastReadSent, e.Sent)
	if e.Version == s.Version {
		return
	}
	if w, ok := s.take(e.Lease.Nonce); ok {
		s.written(w, e.Version, w.Started)
		return
	}
	s.adopt(e.Version, e.Lease)
	if s.Leading && (e.Lease.Leader != s.Self.Name || !s.names(&e.Lease)) {
		s.stepDown("lease taken")
	}
	if !s.Leading {
		s.stand()
	}
}

// readDue reads the lease object when the time has come.
func (s *State) readDue() {
	if s.Now.Before(s.NextRead) {
		return
	}
	wait := s.readWait()
	if s.Leading && !s.LastReadSent.Before(s.ReadRequiredAfter) {
		s.NextRead = s.Now.Add(wait)
		return
	}
	if s.idle() {
		s.IdleReads++
	}
	s.UnansweredReads++
	wait = min(wait<<min(s.UnansweredReads-1, 5), max(wait, maxBackoff))
	s.NextRead = s.Now.Add(wait)
	s.emit(ReadLease{Domain: s.Self.Domain})
}

func (s *State) readWait() time.Duration {
	switch {
	case s.elector() || s.Version == 0:
		return readInterval
	case !s.idle():
		return 2 * readInterval
	case s.UnansweredReads > 0:
		// The last read failed, so the reserve may be out of date.
		return firstIdleInterval
	}
	return min(firstIdleInterval<<min(max(0, s.IdleReads-1), 10), idleInterval+s.spread(idleSpread))
}

// idle tells whether this process hears from the leader and needs the lease
// object only for its reserve.
func (s *State) idle() bool {
	return s.Version > 0 && !s.elector() && s.Now.Sub(s.LastLeaderResponse) < silence
}

// spread returns a time below most that differs by the process's name.
func (s *State) spread(most time.Duration) time.Duration {
	return time.Duration(hash(s.Self.Name) % uint64(most))
}

// begin makes this process the leader after a write that took effect.
func (s *State) begin(w LeaseUpdate) {
	s.Leading = true
	s.Epoch = w.Lease.Epoch
	s.LeaderSince = s.Now
	s.NextWrite = w.Started.Add(RenewInterval)
	s.NextSelfGrant, s.NextSupportRequest = s.Now, s.Now
	s.LiveMembers = nil
	clear(s.SupportByElector)
	if w.ResetAllocations {
		s.forget(w.PriorGrantsEnd)
	}
	s.AllocationsEpoch = s.Epoch
	s.seat(w.Lease.Members)
	s.emit(RoleChanged{Leader: true, Epoch: s.Epoch, Cause: "lease written"})
	s.announce()
	s.lead()
}

// stepDown ends this process's leadership. Records stay, for the case that it
// leads again before anybody else did.
func (s *State) stepDown(cause string) {
	s.Leading = false
	s.PlatformLeaseUntil = time.Time{}
	// No vote until all grants have ended, by the margins that a candidate
	// counts on.
	s.PromisedUntil = later(s.PromisedUntil, s.LastGrantDeadline.Add(2*LeaseMargin))
	s.PendingReserves = nil
	s.Leader = ""
	s.NextHeartbeat, s.NextRead = s.Now, s.Now
	s.emit(RoleChanged{Epoch: s.Epoch, Cause: cause})
}

// lead does the leader's periodic work.
func (s *State) lead() {
	if s.handOver() {
		return
	}
	s.refresh()
	s.askSupport()
	if s.canWrite() {
		s.planReserve()
		s.write(s.nextLease(), time.Time{}, false)
	}
	if !s.Now.Before(s.NextSelfGrant) {
		s.NextSelfGrant = s.Now.Add(HeartbeatInterval)
		s.grantSelf()
	}
	s.listDue()
	s.publishView()
}
