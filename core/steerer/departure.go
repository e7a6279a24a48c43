package steerer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxDepartures bounds the incarnations that are remembered as gone.
	maxTombstones = 4096
	// hintTime is how long beacons tell of an upstream that has said that it
	// leaves, maxHints how many of them fit into one.
	leavingBeaconTime   = 3 * time.Second
	maxLeavingPerBeacon = 16
)

// departure is the end of an upstream's incarnation as far as this instance has
// seen it.
type tombstone struct {
	born int64
	// sequence is that of the last registration that counts for nothing any more.
	sequence uint64
	// era is that of the store in which the registration ended. Said tells that
	// the upstream itself has said that it leaves, which holds in all eras.
	era       uint64
	announced bool
	createdAt int64
}

// Incarnation names one life of an upstream. Short names keep beacons small.
type Incarnation struct {
	ID   string `json:"i"`
	Born int64  `json:"b"`
}

// depart notes that an upstream has said that it leaves. No registration of the
// same incarnation undoes that.
func (s *State) markLeaving(now int64, i Incarnation, cause string) []Effect {
	if d, ok := s.tombstones[i.ID]; ok && d.announced && d.born >= i.Born {
		return nil
	}
	s.addTombstone(i.ID, tombstone{born: i.Born, sequence: math.MaxUint64, announced: true, createdAt: now})
	s.dirty = true
	// Others learn it soon.
	s.nextBeaconAt = min(s.nextBeaconAt, max(now, s.lastBeaconAt+int64(minBeaconInterval)))
	return []Effect{LogEvent{Type: "departed", Subject: i.ID, Cause: cause}}
}

// remember keeps a departure. The oldest one gives way.
func (s *State) addTombstone(id string, d tombstone) {
	if _, ok := s.tombstones[id]; !ok && len(s.tombstones) >= maxTombstones {
		oldest := slices.MinFunc(slices.Sorted(maps.Keys(s.tombstones)), func(a, b string) int {
			return cmp.Compare(s.tombstones[a].createdAt, s.tombstones[b].createdAt)
		})
		delete(s.tombstones, oldest)
	}
	s.tombstones[id] = d
}

// forget notes that a registration has ended.
func (s *State) addExpiredTombstone(now int64, u *upstream) {
	if d, ok := s.tombstones[u.ID]; ok && d.announced && d.born >= u.Born {
		return
	}
	s.addTombstone(u.ID, tombstone{born: u.Born, sequence: u.Sequence, era: s.sync[Upstreams].synced.Era, createdAt: now})
}

// departed tells whether a registration is that of an incarnation that has left.
// Within an era of the store a new registration follows the end of the old one;
// the copy of a new era may still have the old one.
func (s *State) isTombstoned(u *Upstream) bool {
	d, ok := s.tombstones[u.ID]
	switch {
	case !ok:
		return false
	case !d.announced && d.era == s.sync[Upstreams].synced.Era:
		return false
	case u.Born != d.born:
		return u.Born < d.born
	}
	return u.Sequence <= d.sequence
}

// hints lists the upstreams that have said lately that they leave.
func (s *State) recentlyLeaving(now int64) (all []Incarnation) {
	for id, d := range s.tombstones {
		if d.announced && now-d.createdAt < int64(leavingBeaconTime) {
			all = append(all, Incarnation{id, d.born})
		}
	}
	slices.SortFunc(all, func(a, b Incarnation) int { return cmp.Compare(a.ID, b.ID) })
	return all[:min(len(all), maxLeavingPerBeacon)]
}
