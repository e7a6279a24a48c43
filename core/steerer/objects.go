package steerer

import (
	"maps"
	"slices"
	"time"
)

// upstream is a registration.
type upstream struct {
	Upstream
	// goneAt is the time at which a registration that has expired while the
	// store was away counts as gone; 0 while it exists.
	goneAt int64
}

// peer is another instance.
type peer struct {
	Instance
	// heard is when its last beacon arrived; 0 means never.
	heard int64
	ready bool
	// silence is how long it is used without a beacon.
	silence time.Duration
	// heldUntil is how long the instance counts although the store does not have
	// it; 0 if it has it.
	heldUntil int64
	// proofs has what the instance has read from the store itself.
	proofs map[Kind]proof
}

// list takes over all objects of a kind as of some point.
func (s *State) list(now int64, k Kind, all []Object, at Position) (out []Effect) {
	present := map[string]bool{}
	for _, o := range all {
		present[o.Name] = true
	}
	if s.turned(k, at) {
		out = append(s.turn(now, k, at), s.carry(now, k, present)...)
		// From here on what is known belongs to the new era.
		s.sources[k].at = at
	}
	out = append(out, s.apply(now, k, all)...)
	for _, name := range s.names(k) {
		if !present[name] && !s.held(name, k) {
			out = append(out, s.change(now, k, Object{Name: name, Deleted: true})...)
		}
	}
	return out
}

func (s *State) apply(now int64, k Kind, objects []Object) (out []Effect) {
	for _, o := range objects {
		out = append(out, s.change(now, k, o)...)
	}
	return out
}

// names lists the known objects of a kind.
func (s *State) names(k Kind) []string {
	switch k {
	case Upstreams:
		return slices.Sorted(maps.Keys(s.upstreams))
	case Evacuations:
		return slices.Sorted(maps.Keys(s.evacuated))
	case Instances:
		return slices.Sorted(maps.Keys(s.peers))
	}
	return nil
}

func (s *State) change(now int64, k Kind, o Object) []Effect {
	switch k {
	case Configs:
		return s.configure(now, o)
	case Upstreams:
		return s.register(now, o)
	case Evacuations:
		return s.evacuate(now, o)
	case Instances:
		return s.meet(now, o)
	}
	return nil
}

// configure takes a configuration over if it is newer than the one in force.
func (s *State) configure(now int64, o Object) []Effect {
	c := o.Config
	switch {
	case o.Deleted || c == nil:
		return []Effect{LogEvent{Type: "rejected", Subject: o.Name, Cause: "the configuration cannot be removed"}}
	case s.config != nil && c.Version < s.config.Version:
		return []Effect{LogEvent{Type: "rejected", Subject: o.Name, Version: c.Version, Cause: "an older version than the one in force"}}
	case s.config != nil && c.Version == s.config.Version:
		return nil
	}
	s.config, s.configName, s.configuredAt, s.dirty = c, o.Name, now, true
	return []Effect{LogEvent{Type: "configured", Subject: o.Name, Version: c.Version}}
}

func (s *State) register(now int64, o Object) []Effect {
	old := s.upstreams[o.Name]
	if o.Deleted || o.Upstream == nil {
		return s.expire(now, o.Name, old)
	}
	u := &upstream{Upstream: *o.Upstream}
	switch {
	case s.departed(&u.Upstream):
		return []Effect{LogEvent{Type: "rejected", Subject: o.Name, Cause: "the registration of an incarnation that has left"}}
	case old != nil && u.older(old):
		return []Effect{LogEvent{Type: "rejected", Subject: o.Name, Cause: "an older registration than the known one"}}
	case old != nil && u.same(old):
		// What it says of the time that is left was true when it was written.
		u.ColdUntil = old.ColdUntil
	}
	if d, ok := s.departures[o.Name]; ok && (!d.said || u.Born > d.born) {
		delete(s.departures, o.Name)
	}
	s.upstreams[o.Name], s.dirty = u, true
	switch {
	case old == nil:
		return []Effect{LogEvent{Type: "added", Subject: o.Name}}
	case old.Born != u.Born:
		return []Effect{LogEvent{Type: "restarted", Subject: o.Name}}
	case u.Draining && !old.Draining:
		return []Effect{LogEvent{Type: "drained", Subject: o.Name, Cause: "its registration says so"}}
	case u.ColdUntil > now && old.ColdUntil <= now:
		return []Effect{LogEvent{Type: "cold", Subject: o.Name}}
	}
	return nil
}

// older tells whether the registration was written before the other one.
func (u *upstream) older(other *upstream) bool {
	if u.Born != other.Born {
		return u.Born < other.Born
	}
	return u.Sequence < other.Sequence
}

// same tells whether it is the registration that is known already.
func (u *upstream) same(other *upstream) bool {
	return u.Born == other.Born && u.Sequence == other.Sequence && u.Sequence != 0
}

// expire removes a registration. One that has expired while the store was away
// is kept for a short time, in which its upstream may register again.
func (s *State) expire(now int64, name string, u *upstream) []Effect {
	if u == nil || u.goneAt != 0 {
		return nil
	}
	back, ok := s.answered[Upstreams]
	if ok && now-back < int64(returnTime) && !u.Draining {
		u.goneAt, u.Doubtful, s.dirty = back+int64(returnTime), true, true
		return []Effect{LogEvent{Type: "expired", Subject: name, Cause: "while the store was away"}}
	}
	s.forget(now, u)
	delete(s.upstreams, name)
	s.dirty = true
	return []Effect{LogEvent{Type: "removed", Subject: name}}
}

func (s *State) evacuate(now int64, o Object) []Effect {
	_, known := s.evacuated[o.Name]
	if !o.Deleted {
		// It is in the store, even if it was held.
		s.evacuated[o.Name] = 0
	}
	if o.Deleted == !known {
		return nil
	}
	s.dirty = true
	if o.Deleted {
		delete(s.evacuated, o.Name)
		s.restored[o.Name] = now + int64(restoredTime)
		return []Effect{LogEvent{Type: "restored", Subject: o.Name}}
	}
	return []Effect{LogEvent{Type: "evacuated", Subject: o.Name}}
}

// meet takes note of another instance. An instance that is gone from the store
// no longer shares the budgets.
func (s *State) meet(now int64, o Object) []Effect {
	if o.Name == s.Self.Name {
		s.meetSelf(now, o)
		return nil
	}
	old := s.peers[o.Name]
	if o.Deleted || o.Instance == nil {
		if old == nil {
			return nil
		}
		delete(s.peers, o.Name)
		s.dirty = true
		return []Effect{LogEvent{Type: "parted", Subject: o.Name}}
	}
	if old != nil && old.Instance == *o.Instance {
		old.heldUntil = 0
		return nil
	}
	if old != nil && old.near(now) && s.sources[Instances].turnedAt == now {
		// The copy may have the address of an earlier process. What is written after
		// the return is newer.
		return nil
	}
	p := &peer{Instance: *o.Instance, silence: silentTime}
	if p.Region != s.Self.Region {
		p.silence = remoteTime
	}
	s.peers[o.Name], s.dirty = p, true
	s.next = 0
	return []Effect{LogEvent{Type: "met", Subject: o.Name}}
}

// meetSelf registers this instance again if the store has lost what it had of it.
func (s *State) meetSelf(now int64, o Object) {
	switch {
	case !o.Deleted && o.Instance != nil && *o.Instance == s.Self:
		s.seen = true
	case s.seen, s.sources[Instances].turnedAt == now:
		s.announce(now)
	}
}
