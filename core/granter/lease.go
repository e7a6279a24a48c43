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
	if s.Pending != nil {
		all = append(all, &s.Pending.Lease)
	}
	for i := range s.Unresolved {
		all = append(all, &s.Unresolved[i].Lease)
	}
	return all
}

// leaseEnd returns the time until which this leader may act: the term of its
// last write or the support of a quorum of electors.
func (s *State) leaseEnd() time.Time {
	return later(s.PlatformUntil, s.holdover())
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
		} else if s.Supports[name].Incarnation == n {
			ends = append(ends, s.Supports[name].Until)
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
	s.Pending = &Write{Version: s.Version, Lease: l, At: s.Now, Ends: ends, Fresh: fresh}
	s.WriteAt = s.Now.Add(RenewInterval)
	s.emit(WriteLease{Version: s.Version, Lease: l, Until: s.Now.Add(RenewInterval)})
}

func (s *State) canWrite() bool {
	return s.Pending == nil && !s.Now.Before(s.WriteAt) && !s.LastRead.Before(s.ReadBefore)
}

func (s *State) writeEnded(e WriteEnded) {
	w, ok := s.take(e.Nonce)
	if !ok {
		return
	}
	switch e.Result {
	case WriteDone:
		s.Failures = 0
		s.written(w, e.Version, later(w.At, e.Asked))
	case WriteUnknown:
		s.Unresolved = append(s.Unresolved, w)
		if len(s.Unresolved) > unresolvedMax {
			s.Unresolved = s.Unresolved[1:]
		}
		s.ReadBefore = s.Now
		s.ReadAt = s.Now
		s.backOff()
	case WriteConflict:
		s.Candidacy = nil
		s.ReadBefore = s.Now
		s.ReadAt = s.Now
	case WriteFailed:
		s.Candidacy = nil
		s.backOff()
	}
	s.readDue()
}

// abandon treats a write that never ended as one whose answer was lost.
func (s *State) abandon() {
	if s.Pending != nil && s.Now.Sub(s.Pending.At) > LeaseTerm {
		s.writeEnded(WriteEnded{Nonce: s.Pending.Lease.Nonce, Result: WriteUnknown})
	}
}

// take removes a write from those whose outcome is open.
func (s *State) take(nonce uint64) (Write, bool) {
	if s.Pending != nil && s.Pending.Lease.Nonce == nonce {
		w := *s.Pending
		s.Pending = nil
		return w, true
	}
	i := slices.IndexFunc(s.Unresolved, func(w Write) bool { return w.Lease.Nonce == nonce })
	if i < 0 {
		return Write{}, false
	}
	w := s.Unresolved[i]
	s.Unresolved = slices.Delete(s.Unresolved, i, i+1)
	return w, true
}

// backOff delays the next write. The jitter keeps the leaders of several
// domains apart when the platform returns.
func (s *State) backOff() {
	s.Failures = min(s.Failures+1, 3)
	wait := min(RenewInterval<<(s.Failures-1), maxBackoff)
	jitter := time.Duration(hash(s.Self.Name, s.Count)%200) * time.Millisecond
	s.WriteAt = s.Now.Add(wait + jitter)
}

// written records that a write of this process took effect.
func (s *State) written(w Write, version uint64, asked time.Time) {
	if version < s.Version {
		return
	}
	s.adopt(version, w.Lease)
	if w.Lease.Leader != s.Self.Name || asked.Before(s.Resumed) {
		return
	}
	until := asked.Add(LeaseTerm)
	if !s.Leading && !s.Now.Before(until) {
		return
	}
	s.PlatformUntil = later(s.PlatformUntil, until)
	if !s.Leading {
		s.begin(w)
		return
	}
	if s.Epoch != w.Lease.Epoch {
		s.Epoch, s.Covers = w.Lease.Epoch, w.Lease.Epoch
		clear(s.Supports)
	}
}

// adopt takes over a lease object that is newer than the one known.
func (s *State) adopt(version uint64, l Lease) {
	if version <= s.Version {
		return
	}
	s.Version, s.Lease, s.FirstSeen = version, l, s.Now
	s.Candidacy = nil
	// A write conditional on an older version can no longer take effect.
	s.Unresolved = slices.DeleteFunc(s.Unresolved, func(w Write) bool { return w.Version < version })
	if l.Epoch >= s.Voted {
		if l.Epoch > s.Voted || l.Leader != s.VotedFor {
			s.Promised = time.Time{}
		}
		s.Voted, s.VotedFor = l.Epoch, l.Leader
	}
	if l.Epoch > s.Known {
		s.learn(l.Epoch, l.Leader)
	} else if l.Epoch == s.Known {
		s.Leader = l.Leader
	}
	for _, m := range l.Members {
		s.meet(m)
	}
	s.takeReserve()
}

func (s *State) leaseSeen(e LeaseSeen) {
	s.Unanswered = 0
	if e.Version < s.Version {
		return
	}
	s.LastRead = later(s.LastRead, e.Asked)
	if e.Version == s.Version {
		return
	}
	if w, ok := s.take(e.Lease.Nonce); ok {
		s.written(w, e.Version, w.At)
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
	if s.Now.Before(s.ReadAt) {
		return
	}
	wait := s.readWait()
	if s.Leading && !s.LastRead.Before(s.ReadBefore) {
		s.ReadAt = s.Now.Add(wait)
		return
	}
	if s.idle() {
		s.IdleReads++
	}
	s.Unanswered++
	wait = min(wait<<min(s.Unanswered-1, 5), max(wait, maxBackoff))
	s.ReadAt = s.Now.Add(wait)
	s.emit(ReadLease{Domain: s.Self.Domain})
}

func (s *State) readWait() time.Duration {
	switch {
	case s.elector() || s.Version == 0:
		return readInterval
	case !s.idle():
		return 2 * readInterval
	case s.Unanswered > 0:
		// The last read failed, so the reserve may be out of date.
		return firstIdleInterval
	}
	return min(firstIdleInterval<<min(max(0, s.IdleReads-1), 10), idleInterval+s.spread(idleSpread))
}

// idle tells whether this process hears from the leader and needs the lease
// object only for its reserve.
func (s *State) idle() bool {
	return s.Version > 0 && !s.elector() && s.Now.Sub(s.Heard) < silence
}

// spread returns a time below most that differs by the process's name.
func (s *State) spread(most time.Duration) time.Duration {
	return time.Duration(hash(s.Self.Name) % uint64(most))
}

// begin makes this process the leader after a write that took effect.
func (s *State) begin(w Write) {
	s.Leading = true
	s.Epoch = w.Lease.Epoch
	s.Since = s.Now
	s.WriteAt = w.At.Add(RenewInterval)
	s.SelfAt, s.SupportAt = s.Now, s.Now
	s.Live = nil
	clear(s.Supports)
	if w.Fresh {
		s.forget(w.Ends)
	}
	s.Covers = s.Epoch
	s.seat(w.Lease.Members)
	s.emit(RoleChanged{Leader: true, Epoch: s.Epoch, Cause: "lease written"})
	s.announce()
	s.lead()
}

// stepDown ends this process's leadership. Records stay, for the case that it
// leads again before anybody else did.
func (s *State) stepDown(cause string) {
	s.Leading = false
	s.PlatformUntil = time.Time{}
	// No vote until all grants have ended, by the margins that a candidate
	// counts on.
	s.Promised = later(s.Promised, s.Granted.Add(2*LeaseMargin))
	s.Wants = nil
	s.Leader = ""
	s.BeatAt, s.ReadAt = s.Now, s.Now
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
	if !s.Now.Before(s.SelfAt) {
		s.SelfAt = s.Now.Add(HeartbeatInterval)
		s.grantSelf()
	}
	s.listDue()
	s.publishView()
}
