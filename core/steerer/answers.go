package steerer

import (
	"cmp"
	"slices"
	"time"
)

// Instances ask each other for what they have not read from the store themselves.

// fetchFrom asks an instance for the changes that it has read and that are not
// known here.
func (s *State) fetchFromPeer(now int64, p *peer) (out []Effect) {
	for _, k := range Kinds {
		c := s.sync[k]
		q, ok := p.reported[k]
		proven := c.position(q.position.Era, q.position.Revision)
		switch {
		case !ok || c.known && !c.synced.Before(proven):
			continue
		case !c.known && !s.unavailable[k]:
			// A whole list is a burden for a reader; the store has more room.
			continue
		}
		if c.target.Before(proven) {
			c.target = proven
		}
		if c.behindSince == 0 {
			c.behindSince = now
		}
		switch {
		case c.watching && now-c.behindSince < int64(ownWatchGrace):
			// The own call is about to bring the same.
			continue
		case c.fetchSentAt != 0 && now-c.fetchSentAt < int64(fetchTimeout):
			continue
		}
		c.fetchSentAt = now
		out = append(out, Fetch{Kind: k, From: p.Instance, Era: c.synced.Era, After: c.watchRevision()})
	}
	return out
}

// catchUp asks an instance whose configuration has been newer than the one in force
// here for a while: the store may have lost it.
func (s *State) fetchNewerConfig(e BeaconReceived, p *peer) []Effect {
	c := s.sync[Configs]
	if s.config == nil || e.Beacon.Version <= s.config.Version {
		return nil
	}
	switch {
	case s.configLagSince <= s.configuredAt:
		s.configLagSince = e.Now
		return nil
	case e.Now-s.configLagSince < int64(ownWatchGrace), c.fetchSentAt != 0 && e.Now-c.fetchSentAt < int64(fetchTimeout):
		return nil
	}
	c.fetchSentAt = e.Now
	return []Effect{Fetch{Kind: Configs, From: p.Instance}}
}

// askStranger asks an instance that is not known for all that it knows, if no
// instance is known at all and the store does not answer.
func (s *State) fetchFromUnknown(e BeaconReceived) (out []Effect) {
	away := s.unavailable[Instances] || e.Now >= s.firstListAt+int64(firstAnswerTimeout)
	if s.sync[Instances].known || !away || !e.Beacon.Ready || e.From == "" {
		return nil
	}
	for _, k := range Kinds {
		c := s.sync[k]
		if c.known || c.fetchSentAt != 0 && e.Now-c.fetchSentAt < int64(fetchTimeout) {
			continue
		}
		c.fetchSentAt = e.Now
		out = append(out, Fetch{Kind: k, From: Instance{Name: e.Beacon.Name, Beacon: e.From}})
	}
	return out
}

func (s *State) applyFetched(e Fetched) (out []Effect) {
	c := s.sync[e.Kind]
	if c == nil {
		return nil
	}
	c.fetchSentAt = 0
	if e.StoreRecoveredAt > s.recoveredAt[e.Kind] {
		s.recoveredAt[e.Kind] = e.StoreRecoveredAt
	}
	at := c.position(e.Era, e.Revision)
	switch {
	case e.Revision == 0, !e.Whole && s.startsEra(e.Kind, at):
		return nil
	case s.outdated(e.Kind, at) && e.Kind == Configs && e.Whole:
		// A configuration is in force by its version, not by what the store has.
		return s.applyObjects(e.Now, e.Kind, e.Objects)
	case s.outdated(e.Kind, at):
		return nil
	}
	known := c.synced
	if e.Whole {
		out = s.applyList(e.Now, e.Kind, e.Objects, at)
	} else {
		out = s.applyObjects(e.Now, e.Kind, e.Objects)
	}
	lagged := c.watching && known.Before(at)
	s.markFresh(c)
	out = append(out, s.advance(e.Now, syncUpdate{kind: e.Kind, objects: e.Objects, synced: at, whole: e.Whole})...)
	if lagged {
		// The answer to the own call was lost, or its connection is silent.
		out = append(out, Watch{Kind: e.Kind, Enabled: true, Era: c.synced.Era, Revision: c.synced.Revision, PollTimeout: c.pollTimeout, SlowRetry: !s.isReader(e.Now)})
	}
	return out
}

// reply tells another instance what is known here.
func (s *State) reply(e ChangesRequested) Reply {
	c := s.sync[e.Kind]
	r := Reply{RequestID: e.RequestID}
	if c == nil || !c.known || !c.fresh {
		// What may be old confirms nothing to others.
		return r
	}
	r.Era, r.Revision = c.synced.Era, c.synced.Revision
	if back, ok := s.recoveredAt[e.Kind]; ok && e.Now-back < int64(reregisterGrace) {
		r.SinceStoreRecovery = time.Duration(e.Now - back)
	}
	if e.After < c.historyBase || e.After == 0 || c.position(e.Era, 0).Era != c.synced.Era {
		r.Whole, r.Objects = true, s.objects(e.Kind)
		return r
	}
	for _, h := range c.history {
		if h.revision > e.After {
			r.Objects = append(r.Objects, h.object)
		}
	}
	return r
}

// objects lists all objects of a kind, ordered by name.
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
