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
	evacuationHold = 5 * time.Second
	instanceHold   = 10 * time.Second
	// spreadTime is the time over which instances spread the repeat of their
	// registrations.
	reregisterJitter = 2 * time.Second
)

// turn notes that a list is the first one of a new era.
func (s *State) startEra(now int64, k Kind, at Position) []Effect {
	c := s.sync[k]
	c.eraChangedAt = now
	s.dirty = true
	return []Effect{LogEvent{Type: "returned", Subject: string(k), Version: at.Era, Cause: "the store came back from a copy"}}
}

// carry holds what is missing in the first list of a new era. Present has the
// names in the list.
func (s *State) holdMissing(now int64, k Kind, present map[string]bool) (out []Effect) {
	for _, name := range s.names(k) {
		if present[name] || s.isHeld(name, k) {
			continue
		}
		switch k {
		case Upstreams:
			if s.upstreams[name].Draining {
				continue
			}
			s.upstreams[name].expiresAt = now + int64(reregisterGrace)
		case Evacuations:
			s.evacuations[name] = now + int64(evacuationHold)
		case Instances:
			s.peers[name].heldUntil = now + int64(instanceHold)
		}
		s.anyHeld = true
		out = append(out, LogEvent{Type: "held", Subject: name, Cause: "missing in the copy of the store"})
	}
	if k == Instances && !present[s.Self.Name] {
		s.scheduleReregister(now)
	}
	return out
}

// held tells whether an object that the store does not have is kept for now.
func (s *State) isHeld(name string, k Kind) bool {
	switch k {
	case Upstreams:
		return s.upstreams[name].expiresAt != 0
	case Evacuations:
		return s.evacuations[name] != 0
	case Instances:
		return s.peers[name].heldUntil != 0
	}
	return false
}

// release ends what was held for long enough.
func (s *State) releaseExpiredHolds(now int64) (out []Effect) {
	if !s.anyHeld {
		return nil
	}
	s.anyHeld = false
	for _, name := range s.names(Evacuations) {
		if until := s.evacuations[name]; until != 0 && now >= until {
			out = append(out, s.applyEvacuation(now, Object{Name: name, Deleted: true})...)
		}
		s.anyHeld = s.anyHeld || s.evacuations[name] != 0
	}
	for _, name := range s.names(Instances) {
		if p := s.peers[name]; p.heldUntil != 0 && now >= p.heldUntil && !p.heardRecently(now) {
			out = append(out, s.applyInstance(now, Object{Name: name, Deleted: true})...)
		} else if p.heldUntil != 0 {
			s.anyHeld = true
		}
	}
	return out
}

// announce makes this instance register again. All instances may have to, so each
// waits for a time of its own.
func (s *State) scheduleReregister(now int64) {
	if s.reregisterAt == 0 {
		s.reregisterAt = now + int64(xxhash.Sum64String("announce "+s.Self.Name)%uint64(reregisterJitter))
	}
}

// announced returns the registration of this instance when it is due.
func (s *State) reregister(now int64) []Effect {
	if s.reregisterAt == 0 || now < s.reregisterAt {
		return nil
	}
	s.reregisterAt = 0
	return []Effect{Register{}, LogEvent{Type: "registering", Subject: s.Self.Name, Cause: "the store does not have this instance"}}
}
