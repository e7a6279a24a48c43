package granter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// voter is an elector with a lease of another leader whose term is over.
func voter() *State {
	now := time.Unix(1_800_000_000, 0)
	self := Member{Name: "self", Incarnation: 1}
	return &State{
		Self: self, Now: now, LeaseFirstSeen: now.Add(-LeaseTerm),
		Lease: Lease{Epoch: 5, Leader: "other", Electors: []string{"other", "self"}, Members: []Member{self}},
	}
}

// TestVotes checks when an elector gives its vote.
func TestElectorVotes(t *testing.T) {
	tests := []struct {
		name    string
		edit    func(s *State)
		epoch   uint64
		granted bool
	}{
		{"free", func(*State) {}, 6, true},
		{"epoch of the lease", func(*State) {}, 5, false},
		{"lower epoch than the last vote", func(s *State) { s.VotedEpoch, s.VotedFor = 8, "third" }, 7, false},
		{"lower epoch than the last vote for the same candidate", func(s *State) { s.VotedEpoch, s.VotedFor = 8, "candidate" }, 7, false},
		{"the same vote again", func(s *State) { s.VotedEpoch, s.VotedFor, s.PromisedUntil = 6, "candidate", s.Now.Add(time.Second) }, 6, true},
		{"promised to another", func(s *State) { s.VotedEpoch, s.VotedFor, s.PromisedUntil = 6, "third", s.Now.Add(time.Second) }, 7, false},
		{"lease in its term", func(s *State) { s.LeaseFirstSeen = s.Now }, 6, false},
		{"soon after stepping down", func(s *State) {
			s.Leading, s.LastGrantDeadline = true, s.Now
			s.stepDown("lease expired")
		}, 6, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := voter()
			tt.edit(s)
			s.effects = nil
			s.voteReceived(VoteRequestReceived{Call: 1, Epoch: tt.epoch, Candidate: "candidate"})
			answer, ok := s.effects[len(s.effects)-1].(SendVoteResponse)
			is.True(ok)
			is.Equal(answer.Granted, tt.granted)
		})
	}
}

// TestSupportCountsFromSending ends an elector's promise by the time at which it
// was asked, since the elector may have answered at once.
func TestSupportCountsFromSending(t *testing.T) {
	is := is.New(t)
	s := voter()
	s.Leading, s.Epoch, s.LeaderSince = true, 6, s.Now.Add(-time.Minute)
	s.Members = map[string]*MemberState{"other": {Member: Member{Name: "other", Incarnation: 3}, FirstHeard: s.LeaderSince}}
	s.SupportByElector = map[string]Support{}
	sent := s.Now.Add(-2 * time.Second)
	s.voteAnswered(VoteResponseReceived{From: "other", Epoch: 6, Granted: true, Sent: sent, Valid: 3 * time.Second})
	is.Equal(s.SupportByElector["other"].Until, sent.Add(3*time.Second))
	s.voteAnswered(VoteResponseReceived{From: "other", Epoch: 6, Granted: true, Sent: sent.Add(-time.Second), Valid: 3 * time.Second})
	is.Equal(s.SupportByElector["other"].Until, sent.Add(3*time.Second)) // an older answer takes nothing back
}
