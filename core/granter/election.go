package granter

import (
	"maps"
	"slices"
	"time"
)

const (
	// ballotInterval is the time between a candidate's requests to an elector.
	ballotInterval = 300 * time.Millisecond
	// listInterval is the time between reads of the platform's instance list.
	listInterval = 2 * time.Second
)

// Support is an elector's promise to the leader. It outlives the elector.
type Support struct {
	Incarnation uint64
	Until       time.Time
}

// Candidacy is an attempt to take the lease over at the version that is known.
type Candidacy struct {
	Epoch       uint64
	Since       time.Time
	NextRequest time.Time
	Votes       map[string]bool
}

// stand tries to take the lease when this process may.
func (s *State) stand() {
	if !s.canWrite() || s.LastReadSent.IsZero() {
		return
	}
	own := s.Lease.Leader == s.Self.Name
	was, _ := incarnationIn(&s.Lease, s.Self.Name)
	switch {
	case s.Version == 0:
		if !s.Self.Leaving {
			s.write(s.firstLease(), time.Time{}, true)
		}
	case own && was == s.Self.Incarnation:
		s.retake()
	case own && was < s.Self.Incarnation:
		// The process that held the lease is dead, and its grants were made
		// before this one started.
		s.write(s.succession(nil), s.Started.Add(GrantTerm), true)
	case !own && !s.Self.Leaving:
		s.campaign()
	}
}

// nextEpoch returns an epoch above all that anybody stood by.
func (s *State) nextEpoch() uint64 {
	return max(s.Lease.Epoch, s.VotedEpoch, s.KnownEpoch, s.MaxReportedEpoch) + 1
}

func (s *State) firstLease() Lease {
	return Lease{
		Epoch:    s.nextEpoch(),
		Leader:   s.Self.Name,
		Electors: []string{s.Self.Name},
		Members:  []Member{s.Self},
		Reserve:  s.firstReserve(),
	}
}

// retake opens a new epoch for the process that the lease names, after its term
// ended or after it was handed over. Nobody else can act under this lease, so
// no votes are needed.
func (s *State) retake() {
	if s.Self.Leaving {
		if to := s.successor(s.Lease.Members); to != "" {
			s.write(s.handOverLease(to), time.Time{}, true)
			return
		}
	}
	s.write(s.succession(s.Lease.Electors), s.Now.Add(GrantTerm), s.Lease.Epoch != s.AllocationsEpoch)
}

// campaign asks for votes once the lease has expired.
func (s *State) campaign() {
	if s.idle() {
		// Electors confirm the lease by reading it; others may trust the leader
		// and need not read it at every end of its term.
		return
	}
	start := s.LeaseFirstSeen.Add(LeaseTerm + LeaseMargin)
	if s.elector() && s.Now.Sub(s.LastLeaderResponse) >= silence {
		s.listDue()
	}
	if s.Now.Before(start.Add(time.Duration(s.rank()) * HeartbeatInterval)) {
		return
	}
	if s.LastReadSent.Before(start) {
		// The object may have been renewed since; only a read after the
		// expiry shows that it was not.
		if s.UnansweredReads == 0 {
			s.NextRead = s.Now
		}
		return
	}
	s.listDue()
	gone := s.goneElectors()
	if !s.elector() && gone < len(s.Lease.Electors) {
		return
	}
	if s.elector() && s.VotedFor != s.Self.Name && s.Now.Before(s.PromisedUntil) {
		return
	}
	if s.Candidacy == nil {
		s.Candidacy = &Candidacy{Epoch: s.nextEpoch(), Since: s.Now, Votes: map[string]bool{}}
	}
	s.askVotes()
	s.tally()
}

// rank orders the candidates, so that they don't split the votes.
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

func (s *State) askVotes() {
	if s.Now.Before(s.Candidacy.NextRequest) {
		return
	}
	s.Candidacy.NextRequest = s.Now.Add(ballotInterval)
	for _, name := range s.Lease.Electors {
		if name != s.Self.Name && !s.Candidacy.Votes[name] && !s.gone(name) {
			s.emit(SendVoteRequest{To: s.Peers[name].Peer, Epoch: s.Candidacy.Epoch})
		}
	}
}

// tally writes the lease when enough electors can no longer support the leader:
// those that voted, and those that are gone. This process's own vote comes
// last, because it ends its support for the leader.
func (s *State) tally() {
	c := s.Candidacy
	gone := s.goneElectors()
	count := gone + len(c.Votes)
	if s.elector() {
		count++
	}
	if count < takers(len(s.Lease.Electors)) || !s.canWrite() {
		return
	}
	s.VotedEpoch, s.VotedFor, s.PromisedUntil = c.Epoch, s.Self.Name, s.Now.Add(VoteTerm)
	// The old lease ended a margin ago, and grants end a margin before the lease.
	ends := s.Now.Add(-2 * LeaseMargin)
	voters := slices.Sorted(maps.Keys(c.Votes))
	s.write(s.succession(voters), ends, true)
}

// succession returns the lease object for a new epoch of this process.
func (s *State) succession(electors []string) Lease {
	l := Lease{Epoch: s.nextEpoch(), Leader: s.Self.Name, Electors: []string{s.Self.Name}}
	if s.Candidacy != nil {
		l.Epoch = s.Candidacy.Epoch
	}
	for _, name := range electors {
		if name != s.Self.Name && len(l.Electors) < MaxElectors {
			l.Electors = append(l.Electors, name)
		}
	}
	was, _ := incarnationIn(&s.Lease, s.Self.Name)
	l.Reserve = slices.Clone(s.Lease.Reserve)
	if was != s.Self.Incarnation {
		l.Reserve = rest(l.Reserve, s.Self.Name)
	}
	l.Members = slices.DeleteFunc(slices.Clone(s.Lease.Members), func(m Member) bool {
		return m.Name == s.Self.Name || m.Name == s.Lease.Leader && !reserves(l.Reserve, m.Name)
	})
	l.Members = append(l.Members, s.Self)
	sortMembers(l.Members)
	return l
}

// voteReceived answers a candidate, or the leader that asks for support. An
// elector that voted for an epoch never supports a lower one again, so a vote
// is safe to use however late it arrives.
func (s *State) voteReceived(e VoteRequestReceived) {
	if !s.elector() && s.UnansweredReads == 0 {
		// Only electors are asked, so the lease object has changed.
		s.NextRead = s.Now
	}
	same := e.Epoch == s.VotedEpoch && e.Candidate == s.VotedFor
	if !s.elector() || s.Leading || e.Epoch < s.VotedEpoch || !same && !s.freeToVote(e.Epoch) {
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

// freeToVote tells whether this elector is bound neither by a promise nor by
// a lease that it saw renewed.
func (s *State) freeToVote(epoch uint64) bool {
	return epoch > s.Lease.Epoch &&
		!s.Now.Before(s.PromisedUntil) &&
		!s.Now.Before(s.LeaseFirstSeen.Add(LeaseTerm))
}

func (s *State) voteAnswered(e VoteResponseReceived) {
	s.MaxReportedEpoch = max(s.MaxReportedEpoch, e.Epoch)
	if e.Sent.Before(s.ResumedAt) {
		return
	}
	if s.Leading {
		s.supported(e)
		return
	}
	c := s.Candidacy
	if c == nil || e.Sent.Before(c.Since) {
		return
	}
	if e.Granted && e.Epoch == c.Epoch {
		c.Votes[e.From] = true
		s.tally()
		return
	}
	if e.Epoch >= c.Epoch {
		s.Candidacy = nil
	}
}

// supported records an elector's promise to the leader. It counts from when the
// request was sent, the elector counts from its answer.
func (s *State) supported(e VoteResponseReceived) {
	a := s.Members[e.From]
	if !e.Granted || e.Epoch != s.Epoch || a == nil || e.Sent.Before(a.FirstHeard) || e.Sent.Before(s.LeaderSince) {
		return
	}
	until := e.Sent.Add(e.Valid)
	if old := s.SupportByElector[e.From]; old.Incarnation == a.Member.Incarnation {
		until = later(until, old.Until)
	}
	s.SupportByElector[e.From] = Support{Incarnation: a.Member.Incarnation, Until: until}
}

// askSupport asks the electors of every possible lease object for support.
func (s *State) askSupport() {
	if s.Now.Before(s.NextSupportRequest) {
		return
	}
	s.NextSupportRequest = s.Now.Add(HeartbeatInterval)
	asked := map[string]bool{s.Self.Name: true}
	for _, l := range s.possible() {
		for _, name := range l.Electors {
			if !asked[name] {
				asked[name] = true
				s.emit(SendVoteRequest{To: s.Peers[name].Peer, Epoch: s.Epoch})
			}
		}
	}
}

// gone tells whether a process named in the lease can no longer act: a newer
// incarnation of it was heard of, or the platform's list no longer names it.
// Its promises must have ended, too.
func (s *State) gone(name string) bool {
	n, ok := incarnationIn(&s.Lease, name)
	if name == s.Self.Name {
		return ok && n < s.Self.Incarnation && s.Now.Sub(s.Started) >= SupportTerm
	}
	if ok && s.Peers[name].Incarnation > n && s.Now.Sub(s.IncarnationFirstHeard[name]) >= SupportTerm {
		return true
	}
	since, absent := s.AbsentSince[name]
	return absent && s.LastList.Sub(since) >= AbsenceGrace
}

func (s *State) goneElectors() int {
	count := 0
	for _, name := range s.Lease.Electors {
		if s.gone(name) {
			count++
		}
	}
	return count
}

func (s *State) listSeen(e InstancesListed) {
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

// listDue reads the platform's instance list while a process named in the
// lease is silent.
func (s *State) listDue() {
	if s.Now.Before(s.NextList) || s.Leading && !s.silentMember() {
		return
	}
	s.NextList = s.Now.Add(listInterval)
	s.emit(ListInstances{})
}
