package steerer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// A store restored from a backup lacks the latest writes, which the operator and
// the upstreams then repeat. Until they have had the time to do so, objects that
// are missing in the first list of the new era are held.

const (
	// evacuationHold is how long a missing evacuation stays in force.
	evacuationHold = 5 * time.Second
	// instanceHold is how long a missing instance is kept at least. It is kept
	// longer as long as its beacons arrive.
	instanceHold = 10 * time.Second
	// reregisterJitter is the period over which the instances spread the repeats
	// of their registrations.
	reregisterJitter = 2 * time.Second
)

// startEra records that a list is the first one of a new era.
func (s *State) startEra(now int64, k Kind, at Position) []Effect {
	ss := s.sync[k]
	ss.eraChangedAt = now
	s.dirty = true
	return []Effect{LogEvent{Type: "returned", Subject: string(k), Version: at.Era, Cause: "the store came back from a copy"}}
}

// holdMissing holds the known objects that are missing in the first list of a new
// era. The keys of present are the names in the list.
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
		case Quarantines:
			s.rewriteQuarantine(now, name)
			continue
		}
		s.anyHeld = true
		out = append(out, LogEvent{Type: "held", Subject: name, Cause: "missing in the copy of the store"})
	}
	if k == Instances && !present[s.Self.Name] {
		s.scheduleReregister(now)
	}
	return out
}

// isHeld reports whether an object is kept for now although the store does not
// have it.
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

// releaseExpiredHolds removes the held objects whose hold time is over.
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

// scheduleReregister makes this instance register again after a delay derived from
// its name, because all instances may have to register at once.
func (s *State) scheduleReregister(now int64) {
	if s.reregisterAt == 0 {
		s.reregisterAt = now + int64(xxhash.Sum64String("announce "+s.Self.Name)%uint64(reregisterJitter))
	}
}

// reregister returns a Register effect once the scheduled time has come.
func (s *State) reregister(now int64) []Effect {
	if s.reregisterAt == 0 || now < s.reregisterAt {
		return nil
	}
	s.reregisterAt = 0
	return []Effect{Register{}, LogEvent{Type: "registering", Subject: s.Self.Name, Cause: "the store does not have this instance"}}
}
