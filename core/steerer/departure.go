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
	maxDepartures = 4096
	// hintTime is how long beacons tell of an upstream that has said that it
	// leaves, maxHints how many of them fit into one.
	hintTime = 3 * time.Second
	maxHints = 16
)

// departure is the end of an upstream's incarnation as far as this instance has
// seen it.
type departure struct {
	born int64
	// sequence is that of the last registration that counts for nothing any more.
	sequence uint64
	// era is that of the store in which the registration ended. Said tells that
	// the upstream itself has said that it leaves, which holds in all eras.
	era  uint64
	said bool
	at   int64
}

// Incarnation names one life of an upstream. Short names keep beacons small.
type Incarnation struct {
	ID   string `json:"i"`
	Born int64  `json:"b"`
}

// depart notes that an upstream has said that it leaves. No registration of the
// same incarnation undoes that.
func (s *State) depart(now int64, i Incarnation, cause string) []Effect {
	if d, ok := s.departures[i.ID]; ok && d.said && d.born >= i.Born {
		return nil
	}
	s.remember(i.ID, departure{born: i.Born, sequence: math.MaxUint64, said: true, at: now})
	s.dirty = true
	// Others learn it soon.
	s.next = min(s.next, max(now, s.sent+int64(newsTime)))
	return []Effect{LogEvent{Type: "departed", Subject: i.ID, Cause: cause}}
}

// remember keeps a departure. The oldest one gives way.
func (s *State) remember(id string, d departure) {
	if _, ok := s.departures[id]; !ok && len(s.departures) >= maxDepartures {
		oldest := slices.MinFunc(slices.Sorted(maps.Keys(s.departures)), func(a, b string) int {
			return cmp.Compare(s.departures[a].at, s.departures[b].at)
		})
		delete(s.departures, oldest)
	}
	s.departures[id] = d
}

// forget notes that a registration has ended.
func (s *State) forget(now int64, u *upstream) {
	if d, ok := s.departures[u.ID]; ok && d.said && d.born >= u.Born {
		return
	}
	s.remember(u.ID, departure{born: u.Born, sequence: u.Sequence, era: s.sources[Upstreams].at.Era, at: now})
}

// departed tells whether a registration is that of an incarnation that has left.
// Within an era of the store a new registration follows the end of the old one;
// the copy of a new era may still have the old one.
func (s *State) departed(u *Upstream) bool {
	d, ok := s.departures[u.ID]
	switch {
	case !ok:
		return false
	case !d.said && d.era == s.sources[Upstreams].at.Era:
		return false
	case u.Born != d.born:
		return u.Born < d.born
	}
	return u.Sequence <= d.sequence
}

// hints lists the upstreams that have said lately that they leave.
func (s *State) hints(now int64) (all []Incarnation) {
	for id, d := range s.departures {
		if d.said && now-d.at < int64(hintTime) {
			all = append(all, Incarnation{id, d.born})
		}
	}
	slices.SortFunc(all, func(a, b Incarnation) int { return cmp.Compare(a.ID, b.ID) })
	return all[:min(len(all), maxHints)]
}
