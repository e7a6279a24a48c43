package steerer

import (
	"cmp"
	"slices"
	"time"
)

// Instances fetch from each other what they do not watch in the store themselves.

// fetchFromPeer requests the changes that a peer has read from the store and that
// are not known here.
func (s *State) fetchFromPeer(now int64, p *peer) (out []Effect) {
	for _, k := range Kinds {
		ss := s.sync[k]
		q, ok := p.reported[k]
		peerPosition := ss.position(q.position.Era, q.position.Revision)
		switch {
		case !ok || ss.known && !ss.synced.Before(peerPosition):
			continue
		case !ss.known && !s.unavailable[k]:
			// Sending a complete list costs a reader much; the store can afford it.
			continue
		}
		if ss.target.Before(peerPosition) {
			ss.target = peerPosition
		}
		if ss.behindSince == 0 {
			ss.behindSince = now
		}
		switch {
		case ss.watching && now-ss.behindSince < int64(ownWatchGrace):
			// This instance's own watch is about to deliver the same changes.
			continue
		case ss.fetchSentAt != 0 && now-ss.fetchSentAt < int64(fetchTimeout):
			continue
		}
		ss.fetchSentAt = now
		out = append(out, Fetch{Kind: k, From: p.Instance, Era: ss.synced.Era, After: ss.watchRevision()})
	}
	return out
}

// fetchNewerConfig requests the configuration of a peer that has had a newer one
// than this instance for a while. The store may have lost it.
func (s *State) fetchNewerConfig(e BeaconReceived, p *peer) []Effect {
	ss := s.sync[Configs]
	if s.config == nil || e.Beacon.Version <= s.config.Version {
		return nil
	}
	switch {
	case s.configLagSince <= s.configuredAt:
		s.configLagSince = e.Now
		return nil
	case e.Now-s.configLagSince < int64(ownWatchGrace), ss.fetchSentAt != 0 && e.Now-ss.fetchSentAt < int64(fetchTimeout):
		return nil
	}
	ss.fetchSentAt = e.Now
	return []Effect{Fetch{Kind: Configs, From: p.Instance}}
}

// fetchFromUnknown requests all objects from an instance that is not registered
// here, if the instances are not known yet and the store does not answer.
func (s *State) fetchFromUnknown(e BeaconReceived) (out []Effect) {
	storeDown := s.unavailable[Instances] || e.Now >= s.firstListAt+int64(firstAnswerTimeout)
	if s.sync[Instances].known || !storeDown || !e.Beacon.Ready || e.From == "" {
		return nil
	}
	for _, k := range Kinds {
		ss := s.sync[k]
		if ss.known || ss.fetchSentAt != 0 && e.Now-ss.fetchSentAt < int64(fetchTimeout) {
			continue
		}
		ss.fetchSentAt = e.Now
		out = append(out, Fetch{Kind: k, From: Instance{Name: e.Beacon.Name, Beacon: e.From}})
	}
	return out
}

func (s *State) applyFetched(e Fetched) (out []Effect) {
	ss := s.sync[e.Kind]
	if ss == nil {
		return nil
	}
	if !ss.confirms(e.AskedAt) {
		// The answer may have waited since before a pause of the process.
		return nil
	}
	ss.fetchSentAt = 0
	if e.StoreRecoveredAt > s.recoveredAt[e.Kind] {
		s.recoveredAt[e.Kind] = e.StoreRecoveredAt
	}
	at := ss.position(e.Era, e.Revision)
	switch {
	case e.Revision == 0, !e.Whole && s.startsEra(e.Kind, at):
		return s.confirmElsewhere(e.Now, e.Kind)
	case s.outdated(e.Kind, at) && e.Kind == Configs && e.Whole:
		// Configurations are ordered by version rather than by store position.
		return s.applyObjects(e.Now, e.Kind, e.Objects)
	case s.outdated(e.Kind, at):
		return s.confirmElsewhere(e.Now, e.Kind)
	}
	known := ss.synced
	if e.Whole {
		out = s.applyList(e.Now, e.Kind, e.Objects, at)
	} else {
		out = s.applyObjects(e.Now, e.Kind, e.Objects)
	}
	lagged := ss.watching && known.Before(at)
	out = append(out, s.markFresh(e.Kind, "by instance "+e.From)...)
	out = append(out, s.advance(e.Now, syncUpdate{kind: e.Kind, objects: e.Objects, synced: at, whole: e.Whole})...)
	if lagged {
		// The answer to this instance's own watch was lost, or its connection is dead.
		out = append(out, Watch{Kind: e.Kind, Enabled: true, Era: ss.synced.Era, Revision: ss.synced.Revision, PollTimeout: ss.pollTimeout, SlowRetry: !s.isReader(e.Now)})
	}
	return out
}

// reply answers another instance's request for changes. The reply has no revision
// unless the state known here is confirmed.
func (s *State) reply(e ChangesRequested) Reply {
	ss := s.sync[e.Kind]
	r := Reply{RequestID: e.RequestID}
	if ss == nil || !ss.known || !ss.fresh {
		// State that may be stale must not count as confirmed elsewhere.
		return r
	}
	r.Era, r.Revision = ss.synced.Era, ss.synced.Revision
	if recovered, ok := s.recoveredAt[e.Kind]; ok && e.Now-recovered < int64(reregisterGrace) {
		r.SinceStoreRecovery = time.Duration(e.Now - recovered)
	}
	if e.After < ss.historyBase || e.After == 0 || ss.position(e.Era, 0).Era != ss.synced.Era {
		r.Whole, r.Objects = true, s.objects(e.Kind)
		return r
	}
	for _, h := range ss.history {
		if h.revision > e.After {
			r.Objects = append(r.Objects, h.object)
		}
	}
	return r
}

// objects returns all objects of a kind except held ones, ordered by name.
func (s *State) objects(k Kind) (all []Object) {
	switch k {
	case Configs:
		if s.config != nil {
			all = append(all, Object{Name: s.configName, Config: s.config})
		}
	case Upstreams:
		for _, u := range s.upstreams {
			if u.expiresAt == 0 {
				all = append(all, Object{Name: u.ID, Upstream: &u.Upstream})
			}
		}
	case Evacuations:
		for domain, until := range s.evacuations {
			if until == 0 {
				all = append(all, Object{Name: domain})
			}
		}
	case Quarantines:
		return s.quarantines()
	case Instances:
		all = append(all, Object{Name: s.Self.Name, Instance: &s.Self})
		for _, p := range s.peers {
			if p.heldUntil == 0 {
				all = append(all, Object{Name: p.Name, Instance: &p.Instance})
			}
		}
	}
	slices.SortFunc(all, func(a, b Object) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
