package steerer

import (
	"cmp"
	"slices"
	"time"
)

// An instance keeps the latest changes of each kind for other instances, which request those
// after the revision that they know.

// historyEntry is a change with the revision at which it became known.
type historyEntry struct {
	revision uint64
	object   Object
}

// gap is the time between two revisions, of which a list has told the differences. Objects
// that existed only in between are not among them.
type gap struct{ after, until uint64 }

// gapAt returns the gap that a revision is within. The history does not have all changes since
// then.
func (ss *syncState) gapAt(revision uint64) (g gap, ok bool) {
	i := slices.IndexFunc(ss.gaps, func(g gap) bool { return g.after < revision && revision < g.until })
	if i < 0 {
		return g, false
	}
	return ss.gaps[i], true
}

// addHistory adds the changes of an update that follows what is known.
func (ss *syncState) addHistory(n syncUpdate) {
	switch {
	case n.first:
		ss.historyBase, ss.history, ss.gaps = n.synced.Revision, nil, nil
	case n.whole && ss.synced.Before(n.synced):
		ss.gaps = append(ss.gaps, gap{ss.synced.Revision, n.synced.Revision})
	}
	for _, o := range n.changes {
		ss.history = append(ss.history, historyEntry{n.synced.Revision, o})
	}
	if n.whole || len(n.changes) > 0 {
		ss.changed = max(n.synced.Revision, 1)
	}
	if over := len(ss.history) - maxHistory; over > 0 {
		ss.historyBase = ss.history[over-1].revision
		ss.history = append(ss.history[:0], ss.history[over:]...)
	}
	ss.gaps = slices.DeleteFunc(ss.gaps, func(g gap) bool { return g.until <= ss.historyBase })
	if over := len(ss.gaps) - maxGaps; over > 0 {
		ss.historyBase = ss.gaps[over-1].until
		ss.gaps = ss.gaps[over:]
	}
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
	if g, ok := ss.gapAt(e.After); ok {
		r.Whole, r.Objects = true, s.listSince(e.Kind, g.after)
		return r
	}
	for _, h := range ss.history {
		if h.revision > e.After {
			r.Objects = append(r.Objects, h.object)
		}
	}
	return r
}

// listSince returns all objects of a kind. Those that have not changed after a revision are
// marked as kept.
func (s *State) listSince(k Kind, revision uint64) []Object {
	changed := map[string]bool{}
	for _, h := range s.sync[k].history {
		if h.revision > revision {
			changed[h.object.Name] = true
		}
	}
	all := s.objects(k)
	for i, o := range all {
		if !changed[o.Name] {
			all[i] = Object{Name: o.Name, Kept: true}
		}
	}
	return all
}

// lacksKept reports whether a list refers to an object that is not known here.
func (s *State) lacksKept(k Kind, all []Object) bool {
	known := map[string]bool{}
	for _, o := range s.objects(k) {
		known[o.Name] = true
	}
	return slices.ContainsFunc(all, func(o Object) bool {
		_, ended := s.tombstones[o.Name]
		return o.Kept && !known[o.Name] && !(k == Upstreams && ended)
	})
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
