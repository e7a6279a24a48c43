package granter

import (
	"slices"
	"time"
)

const (
	// leaseReadInterval is the time between reads of the lease object by
	// electors and by instances that know no lease yet. Members that don't hear
	// from the leader wait twice as long.
	leaseReadInterval = 500 * time.Millisecond
	// minIdleReadInterval is the time between the first reads of other members
	// after a start or a new epoch. They need the object only to learn their
	// reserve, which the leader writes within seconds, so the interval doubles
	// with each read up to maxIdleReadInterval, plus a jitter by name of up to
	// idleReadJitter.
	minIdleReadInterval = 15 * time.Second
	maxIdleReadInterval = 4 * time.Minute
	idleReadJitter      = 2 * time.Minute
	// maxBackoff bounds the delay of writes, and of reads that get no answer.
	maxBackoff = 4 * time.Second
	// maxUnresolvedWrites bounds the number of writes that are kept after a lost
	// answer. An older one is still recognized by its leader and incarnation.
	maxUnresolvedWrites = 8
)

// incarnationIn returns the incarnation of the named member in a lease, and
// whether the lease has that member.
func incarnationIn(l *Lease, name string) (uint64, bool) {
	i := slices.IndexFunc(l.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return 0, false
	}
	return l.Members[i].Incarnation, true
}

// memberOf reports whether this process is among a lease's members.
func (s *State) memberOf(l *Lease) bool {
	incarnation, ok := incarnationIn(l, s.Self.Name)
	return ok && incarnation == s.Self.Incarnation
}

// isElector reports whether this process is an elector. A new incarnation of an
// elector is not, because it doesn't know what the former one promised.
func (s *State) isElector() bool {
	return s.memberOf(&s.Lease) && slices.Contains(s.Lease.Electors, s.Self.Name)
}

// possibleLeases returns the lease objects that the platform may store now: the
// last one known and those of the writes with an unknown outcome.
func (s *State) possibleLeases() []*Lease {
	all := []*Lease{&s.Lease}
	if s.PendingWrite != nil {
		all = append(all, &s.PendingWrite.Lease)
	}
	for i := range s.UnresolvedWrites {
		all = append(all, &s.UnresolvedWrites[i].Lease)
	}
	return all
}

// leaseEnd returns the time until which this leader may act: the end of the term
// of its last write or of the support by a quorum of electors, whichever is later.
func (s *State) leaseEnd() time.Time {
	return later(s.PlatformLeaseUntil, s.supportedUntil())
}

// supportedUntil returns the time until which a quorum of electors supports the
// leader, whichever of the possible lease objects the platform stores.
func (s *State) supportedUntil() time.Time {
	end := s.Now.Add(LeaseTerm)
	for _, l := range s.possibleLeases() {
		end = earlier(end, s.quorumSupportUntil(l))
	}
	return end
}

// quorumSupportUntil returns the time until which a quorum of a lease's electors
// supports the leader, or the zero time if there is no quorum.
func (s *State) quorumSupportUntil(l *Lease) time.Time {
	var deadlines []time.Time
	for _, name := range l.Electors {
		incarnation, _ := incarnationIn(l, name)
		if name == s.Self.Name {
			deadlines = append(deadlines, s.Now.Add(LeaseTerm))
		} else if s.SupportByElector[name].Incarnation == incarnation {
			deadlines = append(deadlines, s.SupportByElector[name].Until)
		}
	}
	need := supportQuorum(len(l.Electors))
	if len(l.Electors) == 0 || len(deadlines) < need {
		return time.Time{}
	}
	slices.SortFunc(deadlines, func(a, b time.Time) int { return b.Compare(a) })
	return deadlines[need-1]
}

// supportQuorum is the number of electors out of n whose support lets a leader
// act without a write, takeoverQuorum the number whose votes let a candidate
// take over. Their sum exceeds n, so that no candidate can take over from a
// leader that is still supported.
func supportQuorum(n int) int { return n/2 + 1 }

func takeoverQuorum(n int) int { return n + 1 - supportQuorum(n) }

// writeLease starts a conditional update of the lease object. For a write that
// makes this process the leader, the other parameters are the fields of
// LeaseUpdate with the same names.
func (s *State) writeLease(l Lease, priorGrantsEnd time.Time, resetAllocations bool) {
	l.Domain = s.Self.Domain
	l.Nonce = s.nonce()
	s.PendingWrite = &LeaseUpdate{Version: s.Version, Lease: l, Started: s.Now, PriorGrantsEnd: priorGrantsEnd, ResetAllocations: resetAllocations}
	s.NextWrite = s.Now.Add(RenewInterval)
	s.emit(WriteLease{Version: s.Version, Lease: l, Deadline: s.Now.Add(RenewInterval)})
}

func (s *State) canWrite() bool {
	return s.PendingWrite == nil && !s.Now.Before(s.NextWrite) && !s.LastReadSent.Before(s.ReadRequiredAfter)
}

func (s *State) writeCompleted(e WriteCompleted) {
	w, ok := s.removeWrite(e.Nonce)
	if !ok {
		return
	}
	switch e.Result {
	case WriteDone:
		s.WriteFailures = 0
		s.writeConfirmed(w, e.Version, later(w.Started, e.Sent))
	case WriteUnknown:
		s.UnresolvedWrites = append(s.UnresolvedWrites, w)
		if len(s.UnresolvedWrites) > maxUnresolvedWrites {
			s.UnresolvedWrites = s.UnresolvedWrites[1:]
		}
		s.ReadRequiredAfter = s.Now
		s.NextRead = s.Now
		s.delayNextWrite()
	case WriteConflict:
		s.Candidacy = nil
		s.ReadRequiredAfter = s.Now
		s.NextRead = s.Now
	case WriteFailed:
		s.Candidacy = nil
		s.delayNextWrite()
	}
	s.maybeReadLease()
}

// expirePendingWrite treats a write that got no result as one whose answer was
// lost.
func (s *State) expirePendingWrite() {
	if s.PendingWrite != nil && s.Now.Sub(s.PendingWrite.Started) > LeaseTerm {
		s.writeCompleted(WriteCompleted{Nonce: s.PendingWrite.Lease.Nonce, Result: WriteUnknown})
	}
}

// removeWrite removes and returns the write with the given nonce if its outcome
// is still unknown.
func (s *State) removeWrite(nonce uint64) (LeaseUpdate, bool) {
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

// delayNextWrite delays the next write exponentially. The jitter keeps leaders
// of several domains from writing at once when the platform is available again.
func (s *State) delayNextWrite() {
	s.WriteFailures = min(s.WriteFailures+1, 3)
	wait := min(RenewInterval<<(s.WriteFailures-1), maxBackoff)
	jitter := time.Duration(hash(s.Self.Name, s.NonceCounter)%200) * time.Millisecond
	s.NextWrite = s.Now.Add(wait + jitter)
}

// writeConfirmed records that a write of this process took effect.
func (s *State) writeConfirmed(w LeaseUpdate, version uint64, sent time.Time) {
	if version < s.Version {
		return
	}
	s.adoptLease(version, w.Lease)
	if w.Lease.Leader != s.Self.Name || sent.Before(s.ResumedAt) {
		return
	}
	until := sent.Add(LeaseTerm)
	if !s.Leading && !s.Now.Before(until) {
		return
	}
	s.PlatformLeaseUntil = later(s.PlatformLeaseUntil, until)
	if !s.Leading {
		s.becomeLeader(w)
		return
	}
	if s.Epoch != w.Lease.Epoch {
		s.Epoch, s.AllocationsEpoch = w.Lease.Epoch, w.Lease.Epoch
		clear(s.SupportByElector)
	}
}

// adoptLease stores a lease object that is newer than the known one.
func (s *State) adoptLease(version uint64, l Lease) {
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
		s.enterEpoch(l.Epoch, l.Leader)
	} else if l.Epoch == s.KnownEpoch {
		s.Leader = l.Leader
	}
	for _, m := range l.Members {
		s.recordPeer(m)
	}
	s.adoptReserve()
}

func (s *State) leaseRead(e LeaseRead) {
	s.UnansweredReads = 0
	if e.Version < s.Version {
		return
	}
	s.LastReadSent = later(s.LastReadSent, e.Sent)
	if e.Version == s.Version {
		return
	}
	if w, ok := s.removeWrite(e.Lease.Nonce); ok {
		s.writeConfirmed(w, e.Version, w.Started)
		return
	}
	s.adoptLease(e.Version, e.Lease)
	if s.Leading && (e.Lease.Leader != s.Self.Name || !s.memberOf(&e.Lease)) {
		s.stepDown("lease taken")
	}
	if !s.Leading {
		s.tryAcquireLease()
	}
}

// maybeReadLease reads the lease object if a read is due. A leader reads it only
// while writes are blocked until it does.
func (s *State) maybeReadLease() {
	if s.Now.Before(s.NextRead) {
		return
	}
	wait := s.readWait()
	if s.Leading && !s.LastReadSent.Before(s.ReadRequiredAfter) {
		s.NextRead = s.Now.Add(wait)
		return
	}
	if s.followsLeader() {
		s.IdleReads++
	}
	s.UnansweredReads++
	wait = min(wait<<min(s.UnansweredReads-1, 5), max(wait, maxBackoff))
	s.NextRead = s.Now.Add(wait)
	s.emit(ReadLease{Domain: s.Self.Domain})
}

// readWait returns the time until the next read of the lease object.
func (s *State) readWait() time.Duration {
	switch {
	case s.isElector() || s.Version == 0:
		return leaseReadInterval
	case !s.followsLeader():
		return 2 * leaseReadInterval
	case s.UnansweredReads > 0:
		// The last read failed, so the reserve may be out of date.
		return minIdleReadInterval
	}
	return min(minIdleReadInterval<<min(max(0, s.IdleReads-1), 10), maxIdleReadInterval+s.nameJitter(idleReadJitter))
}

// followsLeader reports whether this process is not an elector and hears from
// the leader. It then needs the lease object only to learn its reserve.
func (s *State) followsLeader() bool {
	return s.Version > 0 && !s.isElector() && s.Now.Sub(s.LastLeaderResponse) < leaderTimeout
}

// nameJitter returns a duration below limit that depends only on the instance's
// name.
func (s *State) nameJitter(limit time.Duration) time.Duration {
	return time.Duration(hash(s.Self.Name) % uint64(limit))
}

// becomeLeader makes this process the leader after a write that took effect.
func (s *State) becomeLeader(w LeaseUpdate) {
	s.Leading = true
	s.Epoch = w.Lease.Epoch
	s.LeaderSince = s.Now
	s.NextWrite = w.Started.Add(RenewInterval)
	s.NextSelfGrant, s.NextSupportRequest = s.Now, s.Now
	s.LiveMembers = nil
	clear(s.SupportByElector)
	if w.ResetAllocations {
		s.resetAllocations(w.PriorGrantsEnd)
	}
	s.AllocationsEpoch = s.Epoch
	s.expectMembers(w.Lease.Members)
	s.emit(RoleChanged{Leader: true, Epoch: s.Epoch, Cause: "lease written"})
	s.announceEpoch()
	s.runLeader()
}

// stepDown ends this process's leadership. Its allocations stay, in case it leads
// again before any other process does.
func (s *State) stepDown(cause string) {
	s.Leading = false
	s.PlatformLeaseUntil = time.Time{}
	// A candidate relies on all grants of the former leader having ended two
	// margins before it takes over, so no vote is given before that.
	s.PromisedUntil = later(s.PromisedUntil, s.LastGrantDeadline.Add(2*LeaseMargin))
	s.PendingReserves = nil
	s.Leader = ""
	s.NextHeartbeat, s.NextRead = s.Now, s.Now
	s.emit(RoleChanged{Epoch: s.Epoch, Cause: cause})
}

// runLeader does the leader's periodic work.
func (s *State) runLeader() {
	if s.transferLeadership() {
		return
	}
	s.updateTargets()
	s.requestSupport()
	if s.canWrite() {
		s.updateReserve()
		s.writeLease(s.nextLease(), time.Time{}, false)
	}
	if !s.Now.Before(s.NextSelfGrant) {
		s.NextSelfGrant = s.Now.Add(HeartbeatInterval)
		s.grantSelf()
	}
	s.maybeListInstances()
	s.publishView()
}
