package steerer

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamstream.example/core/quarantiner"
)

const (
	// maxReportsPerBeacon bounds the reports of crashing requests in one beacon, which
	// has nothing else, so that it fits into a datagram. maxReportBeacons bounds such
	// beacons in one round. In large systems there is one.
	maxReportsPerBeacon, maxReportBeacons = 5, 4
	// quarantineWriteTurn is the time between the attempts of different instances to
	// write a quarantine to the store, until one has succeeded.
	quarantineWriteTurn = 300 * time.Millisecond
	// quarantineWriteRetry is the time between two attempts of one instance.
	quarantineWriteRetry = 2 * time.Second
)

// Quarantine is the stored form of a quarantine.
type Quarantine struct {
	// Upstreams has an upstream for each separate crash under the request, as
	// quarantiner.Crash identifies them.
	Upstreams []uint32
}

// UpstreamCrashed reports that an upstream has ended that had a request in progress.
type UpstreamCrashed struct {
	Now         int64
	Incarnation Incarnation
	Digest      quarantiner.Digest
}

// RequestAnswered reports that an upstream has answered a request that is suspected of
// crashing upstreams.
type RequestAnswered struct {
	Now    int64
	Digest quarantiner.Digest
}

func (UpstreamCrashed) isEvent() {}
func (RequestAnswered) isEvent() {}

// PublishQuarantine passes the requests that must not be sent to the data plane.
type PublishQuarantine struct{ Set *quarantiner.Set }

// WriteQuarantine creates the object of a quarantine in the store, or deletes it if
// Object.Deleted is set.
type WriteQuarantine struct{ Object Object }

func (PublishQuarantine) isEffect() {}
func (WriteQuarantine) isEffect()   {}

// quarantineState is the state kept for the requests that crash upstreams.
type quarantineState struct {
	list quarantiner.List
	// set is the set that was published last. It is outdated if dirty is set.
	set   *quarantiner.Set
	dirty bool
	// stored has the quarantines that the store has. writeAt has those that the store
	// has not and those that have ended but are still stored, with the time at which to
	// create or delete their objects.
	stored  map[quarantiner.Digest]bool
	writeAt map[quarantiner.Digest]int64
}

// CrashID identifies an incarnation in a quarantine.
func (i Incarnation) CrashID() uint32 {
	return uint32(xxhash.Sum64String(i.ID + " " + strconv.FormatInt(i.Born, 10)))
}

func (s *State) observeCrash(e UpstreamCrashed) []Effect {
	changes, changed := s.quarantine.list.ObserveCrash(e.Now, e.Digest, e.Incarnation.CrashID())
	if !changed {
		return nil
	}
	out := []Effect{LogEvent{Type: "crashed", Subject: e.Incarnation.ID, Cause: "while it ran request " + e.Digest.String()}}
	s.reportQuarantine(e.Now)
	return append(out, s.applyQuarantineChanges(e.Now, changes, "it has crashed upstreams")...)
}

func (s *State) observeAnswer(e RequestAnswered) []Effect {
	changes, changed := s.quarantine.list.ObserveAnswer(e.Now, e.Digest)
	if !changed {
		return nil
	}
	s.reportQuarantine(e.Now)
	return s.applyQuarantineChanges(e.Now, changes, "an upstream has answered it")
}

// reportQuarantine sends the next beacons as early as allowed.
func (s *State) reportQuarantine(now int64) {
	s.nextBeaconAt = min(s.nextBeaconAt, max(now, s.lastBeaconAt+int64(minBeaconInterval)))
}

// mergeQuarantine applies the reports in a beacon.
func (s *State) mergeQuarantine(now int64, reports []quarantiner.Report) []Effect {
	changes, changed := s.quarantine.list.Merge(now, reports)
	if !changed {
		return nil
	}
	return s.applyQuarantineChanges(now, changes, "other instances have reported it")
}

// applyQuarantineChanges schedules the next set and the writes of changed quarantines.
func (s *State) applyQuarantineChanges(now int64, changes []quarantiner.Change, cause string) (out []Effect) {
	s.quarantine.dirty = true
	for _, c := range changes {
		s.scheduleQuarantineWrite(now, c.Digest)
		event := LogEvent{Type: "released", Subject: c.Digest.String(), Cause: cause}
		if c.Quarantined {
			event.Type = "quarantined"
		}
		out = append(out, event)
	}
	return out
}

// scheduleQuarantineWrite schedules a write of a quarantine to the store. The instances
// take turns, so that usually one of them writes.
func (s *State) scheduleQuarantineWrite(now int64, d quarantiner.Digest) {
	position, _ := s.turn()
	s.quarantine.writeAt[d] = now + int64(position)*int64(quarantineWriteTurn)
}

// turn returns the position of this instance among all instances by name, and their number.
func (s *State) turn() (position, instances int) {
	for name := range s.peers {
		if name < s.Self.Name {
			position++
		}
	}
	return position, len(s.peers) + 1
}

// reassignTrials makes the next set take account of a change of the instances, which take
// turns in trials.
func (s *State) reassignTrials() {
	s.quarantine.dirty = s.quarantine.dirty || !s.quarantine.set.Empty()
}

// tickQuarantine forgets old records and writes quarantines that the store does not have.
func (s *State) tickQuarantine(now int64) (out []Effect) {
	q := &s.quarantine
	if changes := q.list.Expire(now); len(changes) > 0 {
		out = s.applyQuarantineChanges(now, changes, "it was not sent for long")
	}
	if len(q.writeAt) == 0 {
		return out
	}
	quarantined := q.list.Quarantined()
	for _, d := range slices.Sorted(maps.Keys(q.writeAt)) {
		wanted := slices.Contains(quarantined, d)
		switch {
		case q.stored[d] == wanted:
			delete(q.writeAt, d)
		case now >= q.writeAt[d]:
			q.writeAt[d] = now + int64(quarantineWriteRetry)
			o := Object{Name: d.String(), Deleted: !wanted}
			if wanted {
				o.Quarantine = &Quarantine{q.list.Upstreams(d)}
			}
			out = append(out, WriteQuarantine{o})
		}
	}
	return out
}

// publishQuarantine returns the effect that publishes the set if it has changed.
func (s *State) publishQuarantine() []Effect {
	q := &s.quarantine
	if !q.dirty {
		return nil
	}
	position, instances := s.turn()
	q.dirty, q.set = false, q.list.Set(q.set, position, instances)
	return []Effect{PublishQuarantine{q.set}}
}

// applyQuarantine applies the object of a quarantine. A quarantine whose object is deleted
// ends.
func (s *State) applyQuarantine(now int64, o Object) []Effect {
	q := &s.quarantine
	var d quarantiner.Digest
	if err := d.UnmarshalText([]byte(o.Name)); err != nil {
		return []Effect{LogEvent{Type: "rejected", Subject: o.Name, Cause: err.Error()}}
	}
	var changes []quarantiner.Change
	var changed bool
	_, pending := q.writeAt[d]
	cause := "the store has its object"
	switch {
	case o.Deleted && q.stored[d]:
		delete(q.stored, d)
		cause = "its object was deleted"
		changes, changed = q.list.Release(now, d)
	case o.Deleted || o.Quarantine == nil || len(o.Quarantine.Upstreams) < quarantiner.Threshold:
		return nil
	case pending && !q.stored[d]:
		// It is in quarantine, and the store has the object now.
		q.stored[d] = true
		return nil
	case pending:
		// The quarantine has ended, and the object is about to be deleted.
		return nil
	default:
		q.stored[d] = true
		changes, changed = q.list.Quarantine(now, d, o.Quarantine.Upstreams)
	}
	if !changed {
		return nil
	}
	return s.applyQuarantineChanges(now, changes, cause)
}

// storedQuarantines returns the names of the quarantines that the store has, sorted.
func (s *State) storedQuarantines() (names []string) {
	for d := range s.quarantine.stored {
		names = append(names, d.String())
	}
	slices.Sort(names)
	return names
}

// rewriteQuarantine schedules the write of a quarantine that the store has lost.
func (s *State) rewriteQuarantine(now int64, name string) {
	var d quarantiner.Digest
	if d.UnmarshalText([]byte(name)) == nil {
		delete(s.quarantine.stored, d)
		s.scheduleQuarantineWrite(now, d)
	}
}

// quarantines returns the objects of all quarantines, ordered by name.
func (s *State) quarantines() (all []Object) {
	for _, d := range s.quarantine.list.Quarantined() {
		all = append(all, Object{Name: d.String(), Quarantine: &Quarantine{s.quarantine.list.Upstreams(d)}})
	}
	return all
}

// quarantineBeacons returns beacons with the recent reports of this instance.
func (s *State) quarantineBeacons(now int64, to []string) (out []Effect) {
	most := maxReportsPerBeacon * maxReportBeacons
	if len(s.peers) >= relayThreshold {
		most = maxReportsPerBeacon
	}
	for reports := range slices.Chunk(s.quarantine.list.Reports(now, most), maxReportsPerBeacon) {
		out = append(out, SendBeacon{To: to, Beacon: s.newBeacon(Beacon{Crashes: reports})})
	}
	return out
}
