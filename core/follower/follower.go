package follower

import (
	"time"

	"hornbeamstream.example/core/loader"
)

// State is the follower's state. New makes one.
type State struct {
	Config loader.State
	// History holds the newest tickets up to Config.Version without a gap.
	History []loader.Ticket
	// Read tells that the platform has been read, so that a watch from Revision
	// brings everything newer.
	Synced bool
	// Revision is the store revision that the next watch starts from.
	Revision uint64
	// Compacted is the version of the last snapshot that this instance wrote
	// or read.
	SnapshotVersion uint64

	Platform CallState
	Peer     CallState
	Snapshot CallState

	// Heard is the time of the last contact with any peer or the platform.
	LastContact time.Time
	// Reachable tells whether the last platform call succeeded.
	PlatformReachable bool
	// Seed spreads retries of different instances.
	JitterSeed uint64
}

// Call is the state of one kind of outgoing call, of which one runs at a time.
type CallState struct {
	InProgress bool
	// Until is the time at which a running call counts as lost.
	Deadline time.Time
	// NotBefore is the time before which no new call is made.
	NotBefore time.Time
	Failures  uint
}

// New returns the state of an instance that has no configuration yet. The seed
// differs between instances.
func New(now time.Time, seed uint64) *State {
	return &State{LastContact: now, JitterSeed: seed}
}

// Step applies an event and returns the effects in order.
func (s *State) Step(e Event) []Effect {
	switch e := e.(type) {
	case Tick:
		return s.tick(e)
	case PeerSeen:
		return s.peerSeen(e)
	case Fetched:
		return s.fetched(e)
	case Loaded:
		return s.loaded(e)
	case Watched:
		return s.watched(e)
	case SnapshotWritten:
		s.Snapshot.end(e.Now, e.Failed, s.JitterSeed)
	}
	return nil
}

// Since returns the tickets after a version, or false when the history doesn't
// reach back far enough.
func (s *State) TicketsAfter(version uint64) ([]loader.Ticket, bool) {
	if version >= s.Config.Version {
		return nil, true
	}
	missing := s.Config.Version - version
	if missing > uint64(len(s.History)) {
		return nil, false
	}
	return s.History[uint64(len(s.History))-missing:], true
}

func (s *State) tick(e Tick) []Effect {
	if !e.Relay && e.Now.Before(s.LastContact.Add(IsolationTimeout)) {
		return nil
	}
	effects := s.compact(e)
	if !s.Platform.ready(e.Now) {
		return effects
	}
	if !s.Synced {
		s.Platform.begin(e.Now.Add(CallTimeout))
		return append(effects, Load{After: s.Config.Version})
	}
	s.Platform.begin(e.Now.Add(WatchWait + CallTimeout))
	return append(effects, Watch{Revision: s.Revision})
}

// compact writes a snapshot when enough tickets have come since the last one.
// The relays of all domains try; the conditional update lets one of them win.
func (s *State) compact(e Tick) []Effect {
	if !e.Relay || !s.PlatformReachable || s.Config.Version < s.SnapshotVersion+TicketsPerSnapshot {
		return nil
	}
	if !s.Snapshot.ready(e.Now) {
		return nil
	}
	s.Snapshot.begin(e.Now.Add(CallTimeout))
	s.SnapshotVersion = s.Config.Version
	return []Effect{WriteSnapshot{State: s.Config}}
}

func (s *State) peerSeen(e PeerSeen) []Effect {
	s.LastContact = e.Now
	if e.Version <= s.Config.Version || !s.Peer.ready(e.Now) {
		return nil
	}
	s.Peer.begin(e.Now.Add(CallTimeout))
	return []Effect{Fetch{Peer: e.Peer, After: s.Config.Version}}
}

func (s *State) fetched(e Fetched) []Effect {
	// A failed fetch is tried again at the next contact, possibly with another
	// peer, so it needs no backoff.
	s.Peer.end(e.Now, false, s.JitterSeed)
	if e.Failed {
		return nil
	}
	s.LastContact = e.Now
	return s.advance(e.Snapshot, e.Tickets)
}

func (s *State) loaded(e Loaded) []Effect {
	s.platformEnded(e.Now, e.Failed)
	if e.Failed {
		return nil
	}
	s.SnapshotVersion = max(s.SnapshotVersion, e.Snapshot.Version)
	effects := s.advance(&e.Snapshot, e.Tickets)
	// A stale read may end before the version that peers already gave us. The
	// watch then starts from the stale revision and brings the rest.
	s.Synced = true
	s.Revision = max(s.Revision, e.Revision)
	return effects
}

func (s *State) watched(e Watched) []Effect {
	s.platformEnded(e.Now, e.Failed)
	if e.Failed {
		return nil
	}
	effects := s.advance(nil, e.Tickets)
	if gap(s.Config.Version, e.Tickets) {
		// The watch skipped tickets, so the store has to be read again.
		s.Synced = false
		return effects
	}
	s.Revision = max(s.Revision, e.Revision)
	return effects
}

func (s *State) platformEnded(now time.Time, failed bool) {
	s.Platform.end(now, failed, s.JitterSeed)
	s.PlatformReachable = !failed
	if !failed {
		s.LastContact = now
	}
}

// gap tells whether tickets beyond the version are missing.
func gap(version uint64, tickets []loader.Ticket) bool {
	return len(tickets) > 0 && tickets[len(tickets)-1].Number > version
}

// advance applies a newer snapshot and the tickets that follow it. Older and
// repeated tickets are ignored, so that the version only rises.
func (s *State) advance(snapshot *loader.State, tickets []loader.Ticket) []Effect {
	before := s.Config.Version
	if snapshot != nil && snapshot.Version > before {
		s.Config = *snapshot
		s.History = nil
	}
	var applied []loader.Ticket
	rejected := map[uint64]error{}
	for _, t := range tickets {
		if t.Number != s.Config.Version+1 {
			continue
		}
		next, err := s.Config.Apply(t)
		if err != nil {
			rejected[t.Number] = err
		}
		s.Config = next
		s.remember(t)
		applied = append(applied, t)
	}
	if s.Config.Version == before {
		return nil
	}
	return []Effect{ConfigChanged{State: s.Config, Tickets: applied, Rejected: rejected}}
}

func (s *State) remember(t loader.Ticket) {
	if len(s.History) >= 2*HistoryTickets {
		s.History = append([]loader.Ticket(nil), s.History[len(s.History)-HistoryTickets:]...)
	}
	s.History = append(s.History, t)
}
