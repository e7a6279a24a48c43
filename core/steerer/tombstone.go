package steerer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxTombstones bounds the tombstones that are kept; the oldest is evicted.
	maxTombstones = 4096
	// leavingBeaconTime is how long beacons list an upstream that has announced
	// that it is leaving.
	leavingBeaconTime = 3 * time.Second
	// maxLeavingPerBeacon bounds the leaving upstreams listed in one beacon.
	maxLeavingPerBeacon = 16
)

// tombstone records the end of an upstream's incarnation as seen by this
// instance.
type tombstone struct {
	born int64
	// sequence is the highest registration sequence that is no longer valid.
	sequence uint64
	// era is the era of the store in which the registration ended.
	era uint64
	// announced reports whether the upstream itself announced that it is leaving,
	// which holds in all eras.
	announced bool
	createdAt int64
}

// Incarnation identifies one run of an upstream between start and stop. Short
// JSON names keep beacons small.
type Incarnation struct {
	ID   string `json:"i"`
	Born int64  `json:"b"`
}

// markLeaving records that an upstream has announced that it is leaving. No
// later registration of the same incarnation reverts that.
func (s *State) markLeaving(now int64, i Incarnation, cause string) []Effect {
	if t, ok := s.tombstones[i.ID]; ok && t.announced && t.born >= i.Born {
		return nil
	}
	s.addTombstone(i.ID, tombstone{born: i.Born, sequence: math.MaxUint64, announced: true, createdAt: now})
	s.dirty = true
	// Tell the other instances with the next beacon, sent as early as allowed.
	s.nextBeaconAt = min(s.nextBeaconAt, max(now, s.lastBeaconAt+int64(minBeaconInterval)))
	return []Effect{LogEvent{Type: "departed", Subject: i.ID, Cause: cause}}
}

// addTombstone stores a tombstone and evicts the oldest one if there are too
// many.
func (s *State) addTombstone(id string, t tombstone) {
	if _, ok := s.tombstones[id]; !ok && len(s.tombstones) >= maxTombstones {
		oldest := slices.MinFunc(slices.Sorted(maps.Keys(s.tombstones)), func(a, b string) int {
			return cmp.Compare(s.tombstones[a].createdAt, s.tombstones[b].createdAt)
		})
		delete(s.tombstones, oldest)
	}
	s.tombstones[id] = t
}

// addExpiredTombstone records that a registration was deleted or has expired.
func (s *State) addExpiredTombstone(now int64, u *upstream) {
	if t, ok := s.tombstones[u.ID]; ok && t.announced && t.born >= u.Born {
		return
	}
	s.addTombstone(u.ID, tombstone{born: u.Born, sequence: u.Sequence, era: s.sync[Upstreams].synced.Era, createdAt: now})
}

// isTombstoned reports whether a registration belongs to an incarnation that has
// ended. Within one era of the store, a registration that follows a deletion is
// new. A store restored from a backup, in a new era, may still contain the old
// registration.
func (s *State) isTombstoned(u *Upstream) bool {
	t, ok := s.tombstones[u.ID]
	switch {
	case !ok:
		return false
	case !t.announced && t.era == s.sync[Upstreams].synced.Era:
		return false
	case u.Born != t.born:
		return u.Born < t.born
	}
	return u.Sequence <= t.sequence
}

// recentlyLeaving lists the upstreams that have recently announced that they are
// leaving, for the beacon.
func (s *State) recentlyLeaving(now int64) (all []Incarnation) {
	for id, t := range s.tombstones {
		if t.announced && now-t.createdAt < int64(leavingBeaconTime) {
			all = append(all, Incarnation{id, t.born})
		}
	}
	slices.SortFunc(all, func(a, b Incarnation) int { return cmp.Compare(a.ID, b.ID) })
	return all[:min(len(all), maxLeavingPerBeacon)]
}
