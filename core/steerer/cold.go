package steerer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// While the store is down, registrations do not say that an upstream has turned cold. The
// instances then probe the upstreams: each upstream is probed by one instance, which tells
// the others of a cold one.

const (
	// probeInterval is the time between two probes of an upstream, largeProbeInterval the
	// same in large systems, where instances are small and upstreams get less of each.
	probeInterval, largeProbeInterval = 100 * time.Millisecond, 300 * time.Millisecond
	// coldReportTime is how long beacons carry the observation of a cold upstream.
	coldReportTime = 2 * time.Second
	// maxColdPerBeacon bounds the cold upstreams in one beacon, which has nothing else,
	// so that it fits into a datagram.
	maxColdPerBeacon = 16
	// maxReportedCold bounds the remaining cold time that another instance reports.
	maxReportedCold = time.Hour
)

// ColdReport is the sender's observation of a cold upstream. Short JSON names keep beacons
// small.
type ColdReport struct {
	Incarnation
	// Left is the remaining cold time in milliseconds.
	Left int64 `json:"c"`
}

// UpstreamCold reports that an upstream has said in a health check that it is cold.
type UpstreamCold struct {
	Now         int64
	Incarnation Incarnation
	Until       int64
}

func (UpstreamCold) isEvent() {}

// Probe sends a health check to each of the upstreams.
type Probe struct{ Upstreams []Incarnation }

// MarkCold passes on to the data plane that an upstream is cold.
type MarkCold struct {
	Incarnation Incarnation
	Until       int64
}

func (Probe) isEffect()    {}
func (MarkCold) isEffect() {}

// coldObservation is this instance's own latest observation of a cold upstream.
type coldObservation struct {
	born, until, seenAt int64
}

// probe returns the probes that are due while the registrations of upstreams cannot be
// read.
func (s *State) probe(now int64) []Effect {
	if !s.unavailable[Upstreams] || now < s.nextProbeAt {
		return nil
	}
	s.nextProbeAt = now + int64(probeInterval)
	if len(s.peers) >= relayThreshold {
		s.nextProbeAt = now + int64(largeProbeInterval)
	}
	position, instances := s.availableTurn(now)
	var p Probe
	for _, id := range slices.Sorted(maps.Keys(s.upstreams)) {
		u := s.upstreams[id]
		if !u.Draining && (xxhash.Sum64String(id)+uint64(position))%uint64(instances) == 0 {
			p.Upstreams = append(p.Upstreams, Incarnation{id, u.Born})
		}
	}
	if len(p.Upstreams) == 0 {
		return nil
	}
	return []Effect{p}
}

// availableTurn returns the position of this instance, by name, among the instances that
// it hears from, and their number.
func (s *State) availableTurn(now int64) (position, instances int) {
	instances = 1
	for name, p := range s.peers {
		if !p.available(now) {
			continue
		}
		instances++
		if name < s.Self.Name {
			position++
		}
	}
	return position, instances
}

// observeCold applies an observation and keeps it for the beacons.
func (s *State) observeCold(e UpstreamCold) []Effect {
	old, known := s.coldObservations[e.Incarnation.ID]
	s.coldObservations[e.Incarnation.ID] = coldObservation{e.Incarnation.Born, e.Until, e.Now}
	out := []Effect{MarkCold{e.Incarnation, e.Until}}
	if known && old.born == e.Incarnation.Born && old.until > e.Now {
		return out
	}
	// The others would exceed the upstream's rate before the next round of beacons.
	report := ColdReport{e.Incarnation, (e.Until - e.Now) / int64(time.Millisecond)}
	out = append(out, SendBeacon{To: s.beaconAddresses(true), Beacon: s.newBeacon(Beacon{Cold: []ColdReport{report}})})
	return append(out, LogEvent{Type: "cold", Subject: e.Incarnation.ID, Cause: "its health check says so"})
}

// coldBeacons returns beacons with this instance's recent observations of cold upstreams.
// It forgets old ones.
func (s *State) coldBeacons(now int64, to []string) (out []Effect) {
	var reports []ColdReport
	for id, o := range s.coldObservations {
		if now-o.seenAt >= int64(coldReportTime) || now >= o.until {
			delete(s.coldObservations, id)
			continue
		}
		reports = append(reports, ColdReport{Incarnation{id, o.born}, (o.until - now) / int64(time.Millisecond)})
	}
	slices.SortFunc(reports, func(a, b ColdReport) int { return cmp.Compare(a.ID, b.ID) })
	for chunk := range slices.Chunk(reports, maxColdPerBeacon) {
		out = append(out, SendBeacon{To: to, Beacon: s.newBeacon(Beacon{Cold: chunk})})
	}
	return out
}

// applyColdReports applies the observations of another instance.
func applyColdReports(now int64, reports []ColdReport) (out []Effect) {
	for _, r := range reports {
		if r.Left > 0 && r.Left <= maxReportedCold.Milliseconds() {
			out = append(out, MarkCold{r.Incarnation, now + r.Left*int64(time.Millisecond)})
		}
	}
	return out
}
