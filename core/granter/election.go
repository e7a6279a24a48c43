package granter

import (
	"maps"
	"slices"
	"time"
)

const (
	// voteRetryInterval is the time between a candidate's requests to an elector.
	voteRetryInterval = 300 * time.Millisecond
	// instanceListInterval is the time between reads of the platform's instance list.
	instanceListInterval = 2 * time.Second
)

// Support is an elector's promise to vote for no other leader until Until. It
// remains in force if the elector terminates.
type Support struct {
	Incarnation uint64
	Until       time.Time
}

// Candidacy is an attempt to take over the lease at its last known version.
type Candidacy struct {
	Epoch       uint64
	Since       time.Time
	NextRequest time.Time
	Votes       map[string]bool
}

// tryAcquireLease takes or takes over the lease if this process may do so.
func (s *State) tryAcquireLease() {
	if !s.canWrite() || s.LastReadSent.IsZero() {
		return
	}
	own := s.Lease.Leader == s.Self.Name
	incarnation, _ := incarnationIn(&s.Lease, s.Self.Name)
	switch {
	case s.Version == 0:
		if !s.Self.Leaving {
			s.writeLease(s.initialLease(), time.Time{}, true)
		}
	case own && incarnation == s.Self.Incarnation:
		s.reacquireLease()
	case own && incarnation < s.Self.Incarnation:
		// The former incarnation of this instance held the lease. It made all its
		// grants before this process started.
		s.writeLease(s.takeoverLease(nil), s.Started.Add(GrantTerm), true)
	case !own && !s.Self.Leaving:
		s.campaign()
	}
}

// nextEpoch returns an epoch higher than any that this process knows to be led
// or voted for.
func (s *State) nextEpoch() uint64 {
	return max(s.Lease.Epoch, s.VotedEpoch, s.KnownEpoch, s.MaxReportedEpoch) + 1
}

func (s *State) initialLease() Lease {
	return Lease{
		Epoch:    s.nextEpoch(),
		Leader:   s.Self.Name,
		Electors: []string{s.Self.Name},
		Members:  []Member{s.Self},
		Reserve:  s.initialReserve(),
	}
}

// reacquireLease starts a new epoch for the process that the lease names as
// leader, after its term has ended or after leadership was transferred to it.
// No other process can act under this lease, so no votes are needed.
func (s *State) reacquireLease() {
	if s.Self.Leaving {
		if to := s.transferTarget(s.Lease.Members); to != "" {
			s.writeLease(s.transferLease(to), time.Time{}, true)
			return
		}
	}
	s.writeLease(s.takeoverLease(s.Lease.Electors), s.Now.Add(GrantTerm), s.Lease.Epoch != s.AllocationsEpoch)
}

// campaign asks for votes once the lease has expired.
func (s *State) campaign() {
	if s.followsLeader() {
		// Electors confirm the lease by reading it. Other members trust the
		// leader's responses and need not read it at every end of its term.
		return
	}
	start := s.LeaseFirstSeen.Add(LeaseTerm + LeaseMargin)
	if s.isElector() && s.Now.Sub(s.LastLeaderResponse) >= leaderTimeout {
		s.maybeListInstances()
	}
	if s.Now.Before(start.Add(time.Duration(s.rank()) * HeartbeatInterval)) {
		return
	}
	if s.LastReadSent.Before(start) {
		// The lease may have been renewed since; only a read sent after its
		// expiry shows that it was not.
		if s.UnansweredReads == 0 {
			s.NextRead = s.Now
		}
		return
	}
	s.maybeListInstances()
	terminated := s.countTerminatedElectors()
	if !s.isElector() && terminated < len(s.Lease.Electors) {
		return
	}
	if s.isElector() && s.VotedFor != s.Self.Name && s.Now.Before(s.PromisedUntil) {
		return
	}
	if s.Candidacy == nil {
		s.Candidacy = &Candidacy{Epoch: s.nextEpoch(), Since: s.Now, Votes: map[string]bool{}}
	}
	s.requestVotes()
	s.countVotes()
}

// rank returns this candidate's position in a fixed order. Candidates start
// their campaigns one after the other, so that they don't split the votes.
func (s *State) rank() int {
	rank := 0
	for _, name := range s.Lease.Electors {
		if name == s.Self.Name {
			return rank
		}
		if name != s.Lease.Leader {
			rank++
		}
	}
	return MaxElectors
}

func (s *State) requestVotes() {
	if s.Now.Before(s.Candidacy.NextRequest) {
		return
	}
	s.Candidacy.NextRequest = s.Now.Add(voteRetryInterval)
	for _, name := range s.Lease.Electors {
		if name != s.Self.Name && !s.Candidacy.Votes[name] && !s.terminated(name) {
			s.emit(SendVoteRequest{To: s.Peers[name].Peer, Epoch: s.Candidacy.Epoch})
		}
	}
}

// countVotes writes the lease when enough electors can no longer support the
// former leader: those that voted for this candidate and those that have
// terminated. This process votes for itself last, because that ends its support
// for the leader.
func (s *State) countVotes() {
	c := s.Candidacy
	terminated := s.countTerminatedElectors()
	count := terminated + len(c.Votes)
	if s.isElector() {
		count++
	}
	if count < takeoverQuorum(len(s.Lease.Electors)) || !s.canWrite() {
		return
	}
	s.VotedEpoch, s.VotedFor, s.PromisedUntil = c.Epoch, s.Self.Name, s.Now.Add(VoteTerm)
	// The former lease ended at least LeaseMargin ago, and grants end LeaseMargin
	// before their lease.
	priorGrantsEnd := s.Now.Add(-2 * LeaseMargin)
	voters := slices.Sorted(maps.Keys(c.Votes))
	s.writeLease(s.takeoverLease(voters), priorGrantsEnd, true)
}

// takeoverLease returns the lease object for a new epoch led by this process.
func (s *State) takeoverLease(electors []string) Lease {
	l := Lease{Epoch: s.nextEpoch(), Leader: s.Self.Name, Electors: []string{s.Self.Name}}
	if s.Candidacy != nil {
		l.Epoch = s.Candidacy.Epoch
	}
	for _, name := range electors {
		if name != s.Self.Name && len(l.Electors) < MaxElectors {
			l.Electors = append(l.Electors, name)
		}
	}
	incarnation, _ := incarnationIn(&s.Lease, s.Self.Name)
	l.Reserve = slices.Clone(s.Lease.Reserve)
	if incarnation != s.Self.Incarnation {
		l.Reserve = quarantineReserve(l.Reserve, s.Self.Name)
	}
	l.Members = slices.DeleteFunc(slices.Clone(s.Lease.Members), func(m Member) bool {
		return m.Name == s.Self.Name || m.Name == s.Lease.Leader && !hasReserve(l.Reserve, m.Name)
	})
	l.Members = append(l.Members, s.Self)
	sortMembers(l.Members)
	return l
}

// voteRequestReceived answers a candidate, or the leader that asks for support.
// An elector that voted for an epoch never supports a lower one again, so a vote
// can be counted however late it arrives.
func (s *State) voteRequestReceived(e VoteRequestReceived) {
	if !s.isElector() && s.UnansweredReads == 0 {
		// Only electors are sent vote requests, so the lease object has changed.
		s.NextRead = s.Now
	}
	same := e.Epoch == s.VotedEpoch && e.Candidate == s.VotedFor
	if !s.isElector() || s.Leading || e.Epoch < s.VotedEpoch || !same && !s.canVote(e.Epoch) {
		s.emit(SendVoteResponse{Call: e.Call, Epoch: s.VotedEpoch})
		return
	}
	term := VoteTerm
	if e.Epoch == s.Lease.Epoch && e.Candidate == s.Lease.Leader {
		term = SupportTerm
	}
	if !same {
		s.PromisedUntil = time.Time{}
	}
	s.VotedEpoch, s.VotedFor = e.Epoch, e.Candidate
	s.PromisedUntil = later(s.PromisedUntil, s.Now.Add(term))
	s.emit(SendVoteResponse{Call: e.Call, Epoch: e.Epoch, Granted: true, Valid: term - LeaseMargin})
}

// canVote reports whether this elector may vote for epoch: neither a promise nor
// a lease that it saw renewed binds it any more.
func (s *State) canVote(epoch uint64) bool {
	return epoch > s.Lease.Epoch &&
		!s.Now.Before(s.PromisedUntil) &&
		!s.Now.Before(s.LeaseFirstSeen.Add(LeaseTerm))
}

func (s *State) voteResponseReceived(e VoteResponseReceived) {
	s.MaxReportedEpoch = max(s.MaxReportedEpoch, e.Epoch)
	if e.Sent.Before(s.ResumedAt) {
		return
	}
	if s.Leading {
		s.supportReceived(e)
		return
	}
	c := s.Candidacy
	if c == nil || e.Sent.Before(c.Since) {
		return
	}
	if e.Granted && e.Epoch == c.Epoch {
		c.Votes[e.From] = true
		s.countVotes()
		return
	}
	if e.Epoch >= c.Epoch {
		s.Candidacy = nil
	}
}

// supportReceived records an elector's promise to the leader. The leader counts
// its duration from when the request was sent, the elector from its response,
// so that the leader's end comes first.
func (s *State) supportReceived(e VoteResponseReceived) {
	ms := s.Members[e.From]
	if !e.Granted || e.Epoch != s.Epoch || ms == nil || e.Sent.Before(ms.FirstHeard) || e.Sent.Before(s.LeaderSince) {
		return
	}
	until := e.Sent.Add(e.Valid)
	if old := s.SupportByElector[e.From]; old.Incarnation == ms.Member.Incarnation {
		until = later(until, old.Until)
	}
	s.SupportByElector[e.From] = Support{Incarnation: ms.Member.Incarnation, Until: until}
}

// requestSupport asks the electors of every possible lease object for support.
func (s *State) requestSupport() {
	if s.Now.Before(s.NextSupportRequest) {
		return
	}
	s.NextSupportRequest = s.Now.Add(HeartbeatInterval)
	asked := map[string]bool{s.Self.Name: true}
	for _, l := range s.possibleLeases() {
		for _, name := range l.Electors {
			if !asked[name] {
				asked[name] = true
				s.emit(SendVoteRequest{To: s.Peers[name].Peer, Epoch: s.Epoch})
			}
		}
	}
}

// terminated reports whether a process named in the lease can no longer act: a
// newer incarnation of it was heard of, or the platform's list has not named it
// for AbsenceGrace. Its promises must have ended, too.
func (s *State) terminated(name string) bool {
	incarnation, ok := incarnationIn(&s.Lease, name)
	if name == s.Self.Name {
		return ok && incarnation < s.Self.Incarnation && s.Now.Sub(s.Started) >= SupportTerm
	}
	if ok && s.Peers[name].Incarnation > incarnation && s.Now.Sub(s.IncarnationFirstHeard[name]) >= SupportTerm {
		return true
	}
	since, absent := s.AbsentSince[name]
	return absent && s.LastList.Sub(since) >= AbsenceGrace
}

func (s *State) countTerminatedElectors() int {
	count := 0
	for _, name := range s.Lease.Electors {
		if s.terminated(name) {
			count++
		}
	}
	return count
}

func (s *State) instancesListed(e InstancesListed) {
	s.LastList = s.Now
	for _, m := range s.Lease.Members {
		if slices.Contains(e.Names, m.Name) {
			delete(s.AbsentSince, m.Name)
		} else if _, ok := s.AbsentSince[m.Name]; !ok {
			s.AbsentSince[m.Name] = s.Now
		}
	}
	maps.DeleteFunc(s.AbsentSince, func(name string, _ time.Time) bool {
		_, ok := incarnationIn(&s.Lease, name)
		return !ok
	})
}

// maybeListInstances reads the platform's instance list if a read is due. The
// leader reads it only while a process named in the lease is silent.
func (s *State) maybeListInstances() {
	if s.Now.Before(s.NextList) || s.Leading && !s.silentMember() {
		return
	}
	s.NextList = s.Now.Add(instanceListInterval)
	s.emit(ListInstances{})
}
