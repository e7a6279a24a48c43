package steerer

import (
	"cmp"
	"slices"
	"time"
)

// What an instance knows may be outdated when the process has just started or was paused. It
// is not used until the store or another instance confirms it.

const (
	// confirmTimeout is how long state that may be stale is not used while waiting
	// for a confirmation, although the store does not answer. unansweredTimeout is the
	// same while calls to it neither fail nor succeed: this instance may be at fault.
	confirmTimeout    = time.Second
	unansweredTimeout = 3 * time.Second
	// maxConfigLag is how long a configuration is used although another instance has a newer
	// one. Usually a fetch takes a tenth of it.
	maxConfigLag = 1500 * time.Millisecond
	// maxConfirmFetches is the number of instances that are asked for a confirmation.
	maxConfirmFetches = 2
)

// markFresh records that the known state of a kind is current. By says who has confirmed it.
func (s *State) markFresh(k Kind, by string) []Effect {
	ss := s.sync[k]
	if ss.fresh {
		return nil
	}
	ss.fresh, s.dirty = true, true
	if !ss.known {
		return nil
	}
	return []Effect{LogEvent{Type: "confirmed", Subject: string(k), Cause: by}}
}

// confirms reports whether the answer to a call that was made at the given time can
// confirm the state.
func (ss *syncState) confirms(askedAt int64) bool { return askedAt >= ss.pausedAt }

// assumeFresh marks state as fresh that nobody has confirmed in time, so that the instance
// serves what it can.
func (s *State) assumeFresh(now int64) (out []Effect) {
	for _, k := range Kinds {
		timeout := unansweredTimeout
		if s.unavailable[k] {
			timeout = confirmTimeout
		}
		if ss := s.sync[k]; ss.known && !ss.fresh && now-ss.staleSince >= int64(timeout) {
			out = append(out, s.markFresh(k, "by nobody in time")...)
		}
	}
	return out
}

// resume marks all known state as unconfirmed after a pause of the process, and
// asks for changes that were missed: the store, or another instance if that is where
// the changes come from or the store does not answer.
func (s *State) resume(now int64) (out []Effect) {
	s.dirty = true
	for _, k := range Kinds {
		ss := s.sync[k]
		if !ss.known {
			continue
		}
		ss.fresh, ss.staleSince, ss.pausedAt = false, now, now
		ss.fetchSentAt, ss.confirmFetches = 0, 0
		if ss.watching {
			out = append(out, s.watchAgain(now, k))
		}
		if !ss.watching || s.unavailable[k] {
			out = append(out, s.fetchConfirmation(now, k)...)
		}
	}
	return append(out, LogEvent{Type: "paused", Subject: s.Self.Name, Cause: "the process did not run for a while"})
}

// watchAgain makes the watch of a kind return at once.
func (s *State) watchAgain(now int64, k Kind) Effect {
	ss := s.sync[k]
	return Watch{Kind: k, Enabled: true, Era: ss.synced.Era, Revision: ss.synced.Revision, PollTimeout: ss.pollTimeout, SlowRetry: !s.isReader(now), Confirm: true}
}

// fetchConfirmation asks another instance for changes after a pause, the one that was the
// latest to have them confirmed. If there is none left to ask, and this instance does not
// watch the kind, it asks the store.
func (s *State) fetchConfirmation(now int64, k Kind) []Effect {
	ss := s.sync[k]
	if p := s.confirmingPeer(k, ss.confirmFetches); p != nil && ss.confirmFetches < maxConfirmFetches {
		ss.confirmFetches++
		ss.fetchSentAt = now
		return []Effect{Fetch{Kind: k, From: p.Instance, Era: ss.synced.Era, After: ss.watchRevision()}}
	}
	if ss.watching {
		return nil
	}
	ss.watching, ss.pollTimeout, ss.listOnly = true, s.pollTimeoutOf(k), false
	return []Effect{s.watchAgain(now, k)}
}

// confirmingPeer returns the peer that was the latest but n to have a kind confirmed, or nil.
func (s *State) confirmingPeer(k Kind, n int) *peer {
	var all []*peer
	for _, p := range s.peers {
		if _, ok := p.reported[k]; ok {
			all = append(all, p)
		}
	}
	if n >= len(all) {
		return nil
	}
	slices.SortFunc(all, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(b.reported[k].confirmedAt, a.reported[k].confirmedAt), cmp.Compare(a.Name, b.Name))
	})
	return all[n]
}

// stale reports whether any state that requests depend on may be outdated, or is known to be.
func (s *State) stale() bool {
	return !s.sync[Configs].fresh || !s.sync[Upstreams].fresh || !s.sync[Evacuations].fresh || s.configLagging
}

// updateConfigLag finds out whether this instance should not use its configuration, because
// another one has had a newer one for a while and this one cannot get it: its link may be
// congested, or cut in one direction.
func (s *State) updateConfigLag(now int64) []Effect {
	ss := s.sync[Configs]
	lagging := ss.known && ss.synced.Before(ss.targetChange) && ss.behindSince != 0 && now-ss.behindSince >= int64(maxConfigLag)
	if lagging == s.configLagging {
		return nil
	}
	s.configLagging, s.dirty = lagging, true
	if !lagging {
		return []Effect{LogEvent{Type: "caught up", Subject: string(Configs)}}
	}
	return []Effect{LogEvent{Type: "lagging", Subject: string(Configs), Cause: "another instance has a newer configuration, which does not arrive"}}
}

// confirmElsewhere asks the next instance, or the store, after one could not confirm the state
// of a kind.
func (s *State) confirmElsewhere(now int64, k Kind) []Effect {
	if ss := s.sync[k]; ss.known && !ss.fresh && ss.pausedAt != 0 {
		return s.fetchConfirmation(now, k)
	}
	return nil
}
