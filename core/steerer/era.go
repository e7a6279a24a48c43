package steerer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// A store that comes back from a copy has forgotten what was written last, and
// the operator and the upstreams write it again. Until they had the time for that,
// what is missing in the new era's first list is held.

const (
	// heldTime is how long an evacuation is held, rejoinTime the same for an
	// instance, which is held for as long as its beacons are heard.
	heldTime   = 5 * time.Second
	rejoinTime = 10 * time.Second
	// spreadTime is the time over which instances spread the repeat of their
	// registrations.
	spreadTime = 2 * time.Second
)

// turn notes that a list is the first one of a new era.
func (s *State) turn(now int64, k Kind, at Position) []Effect {
	c := s.sources[k]
	c.turnedAt = now
	s.dirty = true
	return []Effect{LogEvent{Type: "returned", Subject: string(k), Version: at.Era, Cause: "the store came back from a copy"}}
}

// carry holds what is missing in the first list of a new era. Present has the
// names in the list.
func (s *State) carry(now int64, k Kind, present map[string]bool) (out []Effect) {
	for _, name := range s.names(k) {
		if present[name] || s.held(name, k) {
			continue
		}
		switch k {
		case Upstreams:
			if s.upstreams[name].Draining {
				continue
			}
			s.upstreams[name].goneAt = now + int64(returnTime)
		case Evacuations:
			s.evacuated[name] = now + int64(heldTime)
		case Instances:
			s.peers[name].heldUntil = now + int64(rejoinTime)
		}
		s.holds = true
		out = append(out, LogEvent{Type: "held", Subject: name, Cause: "missing in the copy of the store"})
	}
	if k == Instances && !present[s.Self.Name] {
		s.announce(now)
	}
	return out
}

// held tells whether an object that the store does not have is kept for now.
func (s *State) held(name string, k Kind) bool {
	switch k {
	case Upstreams:
		return s.upstreams[name].goneAt != 0
	case Evacuations:
		return s.evacuated[name] != 0
	case Instances:
		return s.peers[name].heldUntil != 0
	}
	return false
}

// release ends what was held for long enough.
func (s *State) release(now int64) (out []Effect) {
	if !s.holds {
		return nil
	}
	s.holds = false
	for _, name := range s.names(Evacuations) {
		if until := s.evacuated[name]; until != 0 && now >= until {
			out = append(out, s.evacuate(now, Object{Name: name, Deleted: true})...)
		}
		s.holds = s.holds || s.evacuated[name] != 0
	}
	for _, name := range s.names(Instances) {
		if p := s.peers[name]; p.heldUntil != 0 && now >= p.heldUntil && !p.near(now) {
			out = append(out, s.meet(now, Object{Name: name, Deleted: true})...)
		} else if p.heldUntil != 0 {
			s.holds = true
		}
	}
	return out
}

// announce makes this instance register again. All instances may have to, so each
// waits for a time of its own.
func (s *State) announce(now int64) {
	if s.announceAt == 0 {
		s.announceAt = now + int64(xxhash.Sum64String("announce "+s.Self.Name)%uint64(spreadTime))
	}
}

// announced returns the registration of this instance when it is due.
func (s *State) announced(now int64) []Effect {
	if s.announceAt == 0 || now < s.announceAt {
		return nil
	}
	s.announceAt = 0
	return []Effect{Register{}, LogEvent{Type: "registering", Subject: s.Self.Name, Cause: "the store does not have this instance"}}
}
