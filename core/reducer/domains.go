package reducer

import (
	"slices"
	"time"

	"hornbeamstream.example/core/recorder"
)

// domainLostTimeout is the time without messages from a failure domain after
// which lookups leave out its instances. Leaders ask each of 10 other domains
// once in 2.5 s, so three messages may be lost.
const domainLostTimeout = 10 * time.Second

// updateLastHeard records a message from a failure domain and the ages that it
// reports for the others. Ages are relative, so clocks need not agree.
func (s *State) updateLastHeard(domain string, heard []ViewVersion) {
	s.LastHeard[domain] = s.now
	for _, v := range heard {
		at := s.now.Add(-v.Age)
		if at.After(s.LastHeard[v.Domain]) {
			s.LastHeard[v.Domain] = at
		}
	}
}

// updateLostDomains updates the list of lost failure domains. The instance's own
// domain is never lost.
func (s *State) updateLostDomains() {
	s.LastHeard[s.Self.Domain] = s.now
	var lost []string
	for _, d := range sortedKeys(s.Views) {
		if s.now.Sub(s.LastHeard[d]) > domainLostTimeout {
			lost = append(lost, d)
		}
	}
	if slices.Equal(lost, s.LostDomains) {
		return
	}
	s.recordDomains(recorder.KindLost, lost, s.LostDomains, "failure domain not heard from")
	s.recordDomains(recorder.KindRecovered, s.LostDomains, lost, "failure domain heard from again")
	s.LostDomains = lost
	s.changed = true
}

// recordDomains records an event for each of domains that is not in others.
func (s *State) recordDomains(kind recorder.Kind, domains, others []string, cause string) {
	for _, d := range domains {
		if !slices.Contains(others, d) {
			s.record(recorder.Event{Kind: kind, Peer: d, Cause: cause})
		}
	}
}
