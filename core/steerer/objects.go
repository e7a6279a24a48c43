package steerer

import (
	"maps"
	"reflect"
	"slices"
	"time"
)

// upstream is the state kept for a registration.
type upstream struct {
	Upstream
	// expiresAt is when a registration is removed that expired during an outage of
	// the store or is missing after its restore, or 0 if the store has it.
	expiresAt int64
}

// peer is the state kept for another instance.
type peer struct {
	Instance
	// lastBeaconAt is when its last beacon arrived, or 0 for never.
	lastBeaconAt int64
	ready        bool
	// beaconTimeout is how long the instance is used without a beacon.
	beaconTimeout time.Duration
	// heldUntil is how long the instance is kept at least although the store does
	// not have it, or 0 if the store has it.
	heldUntil int64
	// reported has the sync statuses in its last beacons.
	reported map[Kind]peerSync
}

// applyList replaces the known objects of a kind by those of a complete list, except
// those that are held.
func (s *State) applyList(now int64, k Kind, all []Object, at Position) (out []Effect) {
	present := map[string]bool{}
	for _, o := range all {
		present[o.Name] = true
	}
	if s.startsEra(k, at) {
		out = append(s.startEra(now, k, at), s.holdMissing(now, k, present)...)
		// What is known belongs to the new era from here on.
		s.sync[k].synced = at
	}
	out = append(out, s.applyObjects(now, k, all)...)
	for _, name := range s.names(k) {
		if !present[name] && !s.isHeld(name, k) {
			out = append(out, s.applyObject(now, k, Object{Name: name, Deleted: true})...)
		}
	}
	return out
}

// listUpdate returns the update by a complete list, before it is applied. If the kind is known
// in the same era, the changes are the differences, so that instances that have what was known
// here need not get the whole list.
func (s *State) listUpdate(k Kind, all []Object, at Position) syncUpdate {
	n := syncUpdate{kind: k, synced: at, whole: true}
	if ss := s.sync[k]; !ss.known || s.startsEra(k, at) {
		n.first = true
		return n
	}
	known := map[string]Object{}
	for _, o := range s.objects(k) {
		known[o.Name] = o
	}
	for _, o := range all {
		if old, ok := known[o.Name]; !o.Kept && (!ok || !old.same(o)) {
			n.changes = append(n.changes, o)
		}
		delete(known, o.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(known)) {
		n.changes = append(n.changes, Object{Name: name, Deleted: true})
	}
	return n
}

// same reports whether two objects are the same state in the store. The end of slow start is
// computed from the time at which a registration is read, and differs for the same state.
func (o Object) same(other Object) bool {
	if o.Upstream != nil && other.Upstream != nil {
		u := *other.Upstream
		u.ColdUntil, u.Doubtful = o.Upstream.ColdUntil, o.Upstream.Doubtful
		return *o.Upstream == u
	}
	return reflect.DeepEqual(o, other)
}

func (s *State) applyObjects(now int64, k Kind, objects []Object) (out []Effect) {
	for _, o := range objects {
		if !o.Kept {
			out = append(out, s.applyObject(now, k, o)...)
		}
	}
	return out
}

// names returns the names of the known objects of a kind, sorted.
func (s *State) names(k Kind) []string {
	switch k {
	case Upstreams:
		return slices.Sorted(maps.Keys(s.upstreams))
	case Evacuations:
		return slices.Sorted(maps.Keys(s.evacuations))
	case Instances:
		return slices.Sorted(maps.Keys(s.peers))
	case Quarantines:
		return s.storedQuarantines()
	}
	return nil
}

func (s *State) applyObject(now int64, k Kind, o Object) []Effect {
	switch k {
	case Configs:
		return s.applyConfig(now, o)
	case Upstreams:
		return s.applyRegistration(now, o)
	case Evacuations:
		return s.applyEvacuation(now, o)
	case Instances:
		return s.applyInstance(now, o)
	case Quarantines:
		return s.applyQuarantine(now, o)
	}
	return nil
}

// applyConfig applies a configuration if it is newer than the one in force.
func (s *State) applyConfig(now int64, o Object) []Effect {
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
	s.configureUsage()
	return []Effect{LogEvent{Type: "configured", Subject: o.Name, Version: c.Version}}
}

func (s *State) applyRegistration(now int64, o Object) []Effect {
	old := s.upstreams[o.Name]
	if o.Deleted || o.Upstream == nil {
		return s.removeRegistration(now, o.Name, old)
	}
	u := &upstream{Upstream: *o.Upstream}
	switch {
	case s.isTombstoned(&u.Upstream):
		return []Effect{LogEvent{Type: "rejected", Subject: o.Name, Cause: "the registration of an incarnation that has left"}}
	case old != nil && u.olderThan(old):
		return []Effect{LogEvent{Type: "rejected", Subject: o.Name, Cause: "an older registration than the known one"}}
	case old != nil && u.sameRegistration(old):
		// Its remaining cold time is relative to the time at which it was written,
		// so the end computed when it was first received is the right one.
		u.ColdUntil = old.ColdUntil
	}
	if t, ok := s.tombstones[o.Name]; ok && (!t.announced || u.Born > t.born) {
		delete(s.tombstones, o.Name)
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

// olderThan reports whether the registration was written before the other one.
func (u *upstream) olderThan(other *upstream) bool {
	if u.Born != other.Born {
		return u.Born < other.Born
	}
	return u.Sequence < other.Sequence
}

// sameRegistration reports whether both are the same write of a registration.
func (u *upstream) sameRegistration(other *upstream) bool {
	return u.Born == other.Born && u.Sequence == other.Sequence && u.Sequence != 0
}

// removeRegistration removes a registration. One that expired during an outage of
// the store is kept for a short time, in which its upstream may register again.
func (s *State) removeRegistration(now int64, name string, u *upstream) []Effect {
	if u == nil || u.expiresAt != 0 {
		return nil
	}
	recovered, ok := s.recoveredAt[Upstreams]
	if ok && now-recovered < int64(reregisterGrace) && !u.Draining {
		u.expiresAt, u.Doubtful, s.dirty = recovered+int64(reregisterGrace), true, true
		return []Effect{LogEvent{Type: "expired", Subject: name, Cause: "while the store was away"}}
	}
	s.addExpiredTombstone(now, u)
	delete(s.upstreams, name)
	s.dirty = true
	return []Effect{LogEvent{Type: "removed", Subject: name}}
}

func (s *State) applyEvacuation(now int64, o Object) []Effect {
	_, known := s.evacuations[o.Name]
	if !o.Deleted {
		// The store has the evacuation, so it is no longer held.
		s.evacuations[o.Name] = 0
	}
	if o.Deleted == !known {
		return nil
	}
	s.dirty = true
	if o.Deleted {
		delete(s.evacuations, o.Name)
		s.domainColdUntil[o.Name] = now + int64(restoredColdTime)
		return []Effect{LogEvent{Type: "restored", Subject: o.Name}}
	}
	return []Effect{LogEvent{Type: "evacuated", Subject: o.Name}}
}

// applyInstance applies the registration of another instance. An instance that is
// deleted from the store no longer shares the budgets.
func (s *State) applyInstance(now int64, o Object) []Effect {
	if o.Name == s.Self.Name {
		s.applyOwnInstance(now, o)
		return nil
	}
	old := s.peers[o.Name]
	if o.Deleted || o.Instance == nil {
		if old == nil {
			return nil
		}
		delete(s.peers, o.Name)
		s.dirty = true
		s.reassignTrials()
		return []Effect{LogEvent{Type: "parted", Subject: o.Name}}
	}
	if old != nil && old.Instance == *o.Instance {
		old.heldUntil = 0
		return nil
	}
	if old != nil && old.heardRecently(now) && s.sync[Instances].eraChangedAt == now {
		// The backup may have the address of an earlier process. Registrations
		// written after the restore are newer and are applied.
		return nil
	}
	p := &peer{Instance: *o.Instance, beaconTimeout: localBeaconTimeout}
	if p.Region != s.Self.Region {
		p.beaconTimeout = remoteBeaconTimeout
	}
	s.peers[o.Name], s.dirty = p, true
	s.reassignTrials()
	s.nextBeaconAt = 0
	return []Effect{LogEvent{Type: "met", Subject: o.Name}}
}

// applyOwnInstance notes that this instance is registered. It schedules a new
// registration if the store has lost or replaced the earlier one.
func (s *State) applyOwnInstance(now int64, o Object) {
	if !o.Deleted && !s.selfListed {
		s.selfListed, s.dirty = true, true
	}
	switch {
	case !o.Deleted && o.Instance != nil && *o.Instance == s.Self:
		s.selfRegistered = true
	case s.selfRegistered, s.sync[Instances].eraChangedAt == now:
		s.scheduleReregister(now)
	}
}
