package steerer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// limitReportTime is how long beacons carry the observation of a limit or of its
	// end. An instance without a share of the limit learns of the end from others only,
	// and one that has just started has to learn of limits even if no upstream answers.
	limitReportTime = 30 * time.Second
	// limitUrgentTime is how long the start or end of a limit is also sent to other
	// regions with each beacon.
	limitUrgentTime = time.Second
	// maxLimitsPerBeacon bounds the limits in one beacon, less one for two leaving
	// upstreams, so that a beacon fits into a datagram. If there are more, the beacons
	// take turns.
	maxLimitsPerBeacon = 8
)

// RateLimitState is the limit of an upstream as an instance has observed it. Short JSON
// names keep beacons small.
type RateLimitState struct {
	// InForce reports whether the upstream limits the rate of its requests. PerSecond
	// is the rate that it accepts from all instances together.
	InForce   bool    `json:"f,omitempty"`
	PerSecond float64 `json:"v,omitempty"`
}

// RateLimitReport is an observation of an upstream's limit by the sender of a beacon.
type RateLimitReport struct {
	Incarnation
	RateLimitState
	// Age is the time in milliseconds from the observation to the sending of the
	// beacon.
	Age int64 `json:"a"`
}

// rateLimitObservation is this instance's own latest observation of a limit.
type rateLimitObservation struct {
	born  int64
	state RateLimitState
	at    int64
}

// observeRateLimit keeps an observation for the beacons. The start or end of a limit is sent
// as early as allowed.
func (s *State) observeRateLimit(e UpstreamLimited) {
	old, ok := s.rateLimits[e.Incarnation.ID]
	if ok && (old.born > e.Incarnation.Born || old.born == e.Incarnation.Born && old.at > e.At) {
		return
	}
	s.rateLimits[e.Incarnation.ID] = rateLimitObservation{e.Incarnation.Born, e.State, e.At}
	if !ok || old.born != e.Incarnation.Born || old.state.InForce != e.State.InForce {
		s.rateLimitChangedAt = e.Now
		s.nextBeaconAt = min(s.nextBeaconAt, max(e.Now, s.lastBeaconAt+int64(minBeaconInterval)))
	}
}

// rateLimitReports returns at most the given number of observations for the next beacon. It
// forgets old ones.
func (s *State) rateLimitReports(now int64, most int) (all []RateLimitReport) {
	for id, o := range s.rateLimits {
		if now-o.at >= int64(limitReportTime) {
			delete(s.rateLimits, id)
			continue
		}
		all = append(all, RateLimitReport{Incarnation{id, o.born}, o.state, (now - o.at) / int64(time.Millisecond)})
	}
	if len(all) > most {
		turn := func(r RateLimitReport) uint64 {
			return (xxhash.Sum64String(r.ID) ^ uint64(s.beaconRounds)) * limitTurnMultiplier
		}
		slices.SortFunc(all, func(a, b RateLimitReport) int { return cmp.Compare(turn(a), turn(b)) })
		all = all[:most]
	}
	slices.SortFunc(all, func(a, b RateLimitReport) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// limitTurnMultiplier mixes the number of the beacon into the order of the limits.
const limitTurnMultiplier = 0x9e3779b97f4a7c15

// applyReports passes on what another instance has observed of limits. Malformed reports
// are ignored.
func applyReports(now int64, reports []RateLimitReport) (out []Effect) {
	for _, r := range reports {
		if r.Age < 0 || r.Age > int64(limitReportTime/time.Millisecond) || r.PerSecond < 0 {
			continue
		}
		out = append(out, ApplyRateLimit{Incarnation: r.Incarnation, State: r.RateLimitState, At: now - r.Age*int64(time.Millisecond)})
	}
	return out
}
