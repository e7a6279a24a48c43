package reducer

import (
	"slices"
	"time"

	"hornbeamstream.example/core/recorder"
)

// lostAfter is the time without news from a failure domain after which its
// instances are left out of look-ups. Leaders ask each of 10 other domains once
// in 2.5 s, so that three messages may be lost.
const lostAfter = 10 * time.Second

// noteHeard notes that an instance of a failure domain has spoken, and what it knows
// of the others. Ages are relative, so clocks need not agree.
func (s *State) noteHeard(domain string, heard []ViewVersion) {
	s.LastHeard[domain] = s.now
	for _, v := range heard {
		at := s.now.Add(-v.Age)
		if at.After(s.LastHeard[v.Domain]) {
			s.LastHeard[v.Domain] = at
		}
	}
}

// watchDomains updates the lost failure domains. The own one is never lost.
func (s *State) watchDomains() {
	s.LastHeard[s.Self.Domain] = s.now
	var lost []string
	for _, d := range sortedKeys(s.Views) {
		if s.now.Sub(s.LastHeard[d]) > lostAfter {
			lost = append(lost, d)
		}
	}
	if slices.Equal(lost, s.LostDomains) {
		return
	}
	s.recordDomains(recorder.Lost, lost, s.LostDomains, "failure domain not heard from")
	s.recordDomains(recorder.Found, s.LostDomains, lost, "failure domain heard from again")
	s.LostDomains = lost
	s.changed = true
}

// recordDomains records the domains of one list that the other lacks.
func (s *State) recordDomains(kind recorder.Kind, domains, others []string, cause string) {
	for _, d := range domains {
		if !slices.Contains(others, d) {
			s.record(recorder.Event{Kind: kind, Peer: d, Cause: cause})
		}
	}
}
