package reducer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hornbeamstream.example/core/follower"
	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/observer"
	"hornbeamstream.example/core/recorder"
)

// performGranter handles the granter's effects. Heartbeats become requests that
// also carry gossip.
func (s *State) performGranter(effects []granter.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case granter.SendHeartbeat:
			s.emit(Send{To: e.To, Request: s.request(e)})
		case granter.HoldingsChanged:
			s.holdingsChanged(e.Holdings)
		case granter.ViewChanged:
			s.mergeView(e.View)
		case granter.RoleChanged:
			s.roleChanged(e)
		default:
			s.emit(GranterEffect{Effect: e})
		}
	}
}

func (s *State) holdingsChanged(h granter.Holdings) {
	before := len(s.Holdings.Parts)
	moved := !slices.Equal(s.Holdings.Parts, h.Parts)
	s.Holdings = h
	s.changed = true
	if moved {
		s.updateSpecs()
	}
	switch {
	case len(h.Parts) == before:
	case len(h.Parts) == 0:
		s.record(recorder.Event{Kind: recorder.KindGrantExpired, Cause: fmt.Sprintf("%d parts given up", before)})
	default:
		s.record(recorder.Event{Kind: recorder.KindGranted, Cause: fmt.Sprintf("%d parts held, %d before", len(h.Parts), before)})
	}
}

func (s *State) roleChanged(e granter.RoleChanged) {
	kind := recorder.KindLeaseLost
	if e.Leader {
		kind = recorder.KindElected
	}
	s.record(recorder.Event{Kind: kind, Epoch: e.Epoch, Cause: e.Cause})
}

// performFollower handles the follower's effects and applies a new configuration.
func (s *State) performFollower(effects []follower.Effect) {
	for _, e := range effects {
		if a, ok := e.(follower.ConfigChanged); ok {
			s.configAdvanced(a)
			continue
		}
		s.emit(FollowerEffect{Effect: e})
	}
}

func (s *State) configAdvanced(a follower.ConfigChanged) {
	s.changed = true
	for _, t := range a.Tickets {
		s.recordTicket(t, a.Rejected[t.Number])
	}
	if len(a.Tickets) == 0 {
		s.record(recorder.Event{Kind: recorder.KindConfigured, Version: a.State.Version, Cause: "snapshot"})
	}
	s.performGranter(s.Granter.Step(granter.ConfigChanged{Now: s.now, Config: GranterPlan(a.State, s.Self.Domain)}))
	s.updateSpecs()
}

// updateSpecs tells the observer which upstreams are drained now.
func (s *State) updateSpecs() {
	config := s.Follower.Config
	s.NextDrainEnd = nextDrainEnd(config, s.now)
	s.changed = true
	s.observe(observer.SpecsChanged{Now: s.now, Specs: s.specs()})
}

// endDrains puts upstreams whose drain has expired back into use.
func (s *State) endDrains() {
	if !s.NextDrainEnd.IsZero() && !s.now.Before(s.NextDrainEnd) {
		s.updateSpecs()
	}
}

// nextDrainEnd returns the earliest end of a drain after now, or zero.
func nextDrainEnd(config loader.State, now time.Time) (end time.Time) {
	for _, d := range config.Drains {
		if d.Until.After(now) && (end.IsZero() || d.Until.Before(end)) {
			end = d.Until
		}
	}
	return end
}

func (s *State) recordTicket(t loader.Ticket, rejected error) {
	if rejected != nil {
		s.record(recorder.Event{Kind: recorder.KindRejected, Version: t.Number, Cause: rejected.Error()})
		return
	}
	s.record(recorder.Event{Kind: recorder.KindConfigured, Version: t.Number, Cause: t.Reason, Peer: t.Author, Since: t.Time})
}

// observe passes an event to the observer and handles its effects.
func (s *State) observe(e observer.Event) {
	for _, effect := range s.Observer.Step(e) {
		switch effect := effect.(type) {
		case observer.Probe:
			u := s.Follower.Config.Upstreams[effect.Upstream]
			s.emit(Probe{Upstream: effect.Upstream, Address: u.Address})
		case observer.Verdict:
			s.verdictChanged(effect)
		}
	}
}

func (s *State) verdictChanged(v observer.Verdict) {
	before := s.Verdicts[v.Upstream]
	s.Verdicts[v.Upstream] = v
	s.changed = true
	if !s.isHolder(v.Upstream) {
		// The member that holds the upstream's slots records the change.
		return
	}
	if v.Leaving == before.Leaving {
		s.recordLimitChange(before, v)
		return
	}
	if !v.Leaving {
		delete(s.Draining, v.Upstream)
		s.record(recorder.Event{Kind: recorder.KindRecovered, Upstream: v.Upstream, Cause: v.Cause})
		return
	}
	version := drainVersion(s.Follower.Config, v.Upstream, s.now)
	s.Draining[v.Upstream] = DrainProgress{Version: version, Since: v.Since}
	s.record(recorder.Event{Kind: recorder.KindDrainStarted, Version: version, Upstream: v.Upstream, Cause: v.Cause})
}

// recordLimitChange records when the limit of an upstream falls below half of its
// slots and when it rises above again. Smaller changes only show in the metrics.
func (s *State) recordLimitChange(before, v observer.Verdict) {
	half := s.Follower.Config.Upstreams[v.Upstream].Slots / 2
	if before.Upstream == "" || v.Leaving || (before.Limit < half) == (v.Limit < half) {
		return
	}
	s.record(recorder.Event{
		Kind:     recorder.KindLimitChanged,
		Upstream: v.Upstream,
		Cause:    fmt.Sprintf("limit %d, %d before: %s", v.Limit, before.Limit, v.Cause),
	})
}

// isHolder reports whether this instance may use slots of the upstream.
func (s *State) isHolder(upstream string) bool {
	for _, p := range s.Holdings.Parts {
		if p.Upstream == upstream {
			return true
		}
	}
	return false
}

// recordEmptied records the end of a drain once no request is in flight here.
func (s *State) recordEmptied(busy []granter.Part) {
	if len(s.Draining) == 0 {
		return
	}
	inFlight := map[string]bool{}
	for _, p := range busy {
		inFlight[p.Upstream] = true
	}
	for _, u := range sortedKeys(s.Draining) {
		if inFlight[u] {
			continue
		}
		d := s.Draining[u]
		s.record(recorder.Event{Kind: recorder.KindDrainCompleted, Version: d.Version, Upstream: u, Since: d.Since})
		delete(s.Draining, u)
	}
}

// listReadInterval is the time between reads of the platform's list by a leader.
// An upstream that the list marks as leaving gets no new requests after 3 s: a read,
// a heartbeat to share it and the round trips take at most 2 s. At 11 failure
// domains this is 11 reads a second.
const listReadInterval = time.Second

// maxListStaleness bounds how stale the platform's list may be. An upstream that
// it marked as leaving is used again only after it was live there for longer.
const maxListStaleness = 30 * time.Second

// readList requests the platform's list, on the leader only, which shares the
// state of upstreams in it with the members of its failure domain.
func (s *State) readList() {
	if !s.Granter.Leading || s.now.Before(s.NextListRead) {
		return
	}
	s.NextListRead = s.now.Add(listReadInterval)
	s.emit(GranterEffect{Effect: granter.ListInstances{}})
}

// listSeen handles the platform's list: the granter gets the names, the observer
// the upstreams whose leaving mark was set or cleared.
func (s *State) listSeen(e ListSeen) {
	s.now = e.Now
	s.performGranter(s.Granter.Step(granter.InstancesListed{Now: e.Now, Names: e.Names}))
	for _, name := range e.Names {
		u, ok := s.Follower.Config.Upstreams[name]
		if !ok || u.Domain != s.Self.Domain {
			continue
		}
		s.updateListed(name, slices.Contains(e.Leaving, name))
	}
}

// updateListed handles the list entry of one upstream. The list may be stale, so
// a read may return an older state than the previous one.
func (s *State) updateListed(name string, leaving bool) {
	if leaving {
		s.LastListedLeaving[name] = s.now
	}
	known := s.Signals[SignalKey{Upstream: name, Source: observer.FromPlatform}]
	if leaving == known.Leaving || !leaving && s.now.Before(s.LastListedLeaving[name].Add(maxListStaleness)) {
		return
	}
	s.mergeSignal(observer.Signaled{At: s.now, Now: s.now, Upstream: name, Source: observer.FromPlatform, Leaving: leaving})
}

// mergeSignal keeps the newest signal of each source and tells the observer.
func (s *State) mergeSignal(g observer.Signaled) {
	k := SignalKey{Upstream: g.Upstream, Source: g.Source}
	if old, ok := s.Signals[k]; ok && (!g.At.After(old.At) || old.Leaving == g.Leaving) {
		return
	}
	g.Now = s.now
	s.Signals[k] = g
	s.observe(g)
}

// drainVersion returns the number of the newest ticket that drains the
// upstream now, or zero.
func drainVersion(config loader.State, upstream string, now time.Time) uint64 {
	u := config.Upstreams[upstream]
	var version uint64
	for _, name := range []string{"upstream/" + upstream, "domain/" + u.Domain, "region/" + config.RegionOf(u.Domain)} {
		if d, ok := config.Drains[name]; ok && d.ActiveAt(now) {
			version = max(version, config.ModifiedVersions[loader.KindDrain+"/"+name])
		}
	}
	return version
}

// quotaName joins the parts of a quota's name.
func quotaName(parts ...string) string { return strings.Join(parts, "/") }
