package steerer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// fewInstances is the size of a system in which every instance reads the
	// store itself. In larger ones readers do, and the others ask them.
	relayThreshold = 16
	// readers is the number of instances that read the store.
	readerCount = 3
	// longWait is how long a call waits for a change if nobody depends on its
	// end; shortWait is the time between two proofs of a reader.
	longPollTimeout  = 25 * time.Second
	shortPollTimeout = 700 * time.Millisecond
	// proofTime is how long an instance relies on a proof: a reader's wait, the
	// time between two beacons, and a lost one.
	readerSyncTTL = 1700 * time.Millisecond
	// fetchTime is how long an answer of another instance is waited for.
	fetchTimeout = 800 * time.Millisecond
	// behindTime is how long an instance lags behind the readers before it reads
	// the store itself.
	maxReaderLag = time.Second
	// newsTime is the least time between two beacons.
	minBeaconInterval = 200 * time.Millisecond
	// lagTime is how long an instance that reads the store itself waits for its
	// own call when another one knows more.
	ownWatchGrace = 400 * time.Millisecond
	// firstTime is how long a starting instance waits for the store before it asks
	// others: some times what an answer usually takes.
	firstAnswerTimeout = 300 * time.Millisecond
	// historySize bounds the changes of a kind that are kept for others.
	maxHistory = 1024
	// sureTime is how long what may be old is not acted on if nobody confirms it.
	confirmTimeout = time.Second
)

// source is where an instance has its knowledge of a kind from.
type syncState struct {
	// known tells that the objects are known as of some revision.
	known bool
	// at is the point up to which all changes are known.
	synced Position
	// turnedAt is when the store was last found to have come back from a copy; 0
	// means never.
	eraChangedAt int64
	// reading tells that this instance reads the kind from the store itself.
	watching bool
	// once tells that reading ends with a list, listed when one came; 0 means
	// never.
	listOnly    bool
	listedAt    int64
	pollTimeout time.Duration
	// proven is when the store last confirmed what is known here; 0 means never.
	confirmedAt int64
	// sure tells that what is known was confirmed since the start and since the
	// last pause of the process; sureBy is when it counts as such anyway.
	fresh         bool
	assumeFreshAt int64
	// asked is when another instance was last asked; 0 means that no answer is
	// awaited.
	fetchSentAt int64
	// wanted is the latest point that another instance has proven, behind since
	// when it is not known here; 0 means that it is.
	target      Position
	behindSince int64
	// history has the changes since base, oldest first.
	history     []historyEntry
	historyBase uint64
}

// change is a change with the revision at which it was known.
type historyEntry struct {
	revision uint64
	object   Object
}

// proof is a Proof on the own clock.
type peerSync struct {
	position    Position
	confirmedAt int64
}

func newSyncStates() map[Kind]*syncState {
	all := map[Kind]*syncState{}
	for _, k := range Kinds {
		all[k] = &syncState{}
	}
	return all
}

// waitOf is how long a call waits for a change of a kind. Instances come and go
// rarely, and nothing depends on knowing them at once.
func (s *State) pollTimeoutOf(k Kind) time.Duration {
	switch {
	case len(s.peers) < relayThreshold:
		return longPollTimeout
	case k == Instances:
		return 8 * shortPollTimeout
	}
	return shortPollTimeout
}

// relyOn is how long a proof of a kind counts.
func syncTTL(k Kind) time.Duration {
	if k == Instances {
		return 8 * readerSyncTTL
	}
	return readerSyncTTL
}

// news is what has become known of a kind.
type syncUpdate struct {
	kind    Kind
	objects []Object
	synced  Position
	// whole tells that objects are all there are, confirmed that the store itself
	// has said so just now.
	whole, confirmed bool
}

// advance notes that all changes up to a revision are known.
func (s *State) advance(now int64, n syncUpdate) []Effect {
	c := s.sync[n.kind]
	if !c.known {
		c.known, c.assumeFreshAt, s.dirty = true, now+int64(confirmTimeout), true
	}
	if n.confirmed {
		c.confirmedAt = now
		s.markFresh(c)
	}
	if n.whole && c.listOnly {
		c.listOnly, c.watching, c.listedAt = false, false, now
	}
	if n.whole {
		// A list does not say which objects are gone.
		c.historyBase, c.history = n.synced.Revision, nil
	} else {
		for _, o := range n.objects {
			c.history = append(c.history, historyEntry{n.synced.Revision, o})
		}
	}
	if over := len(c.history) - maxHistory; over > 0 {
		c.historyBase = c.history[over-1].revision
		c.history = append(c.history[:0], c.history[over:]...)
	}
	moved := c.synced.Before(n.synced) && (n.whole || len(n.objects) > 0)
	if c.synced.Before(n.synced) {
		// While changes go on, an instance that follows them is never quite there.
		c.synced, c.behindSince = n.synced, now
	}
	if !c.synced.Before(c.target) {
		c.behindSince = 0
	}
	if !moved || !c.watching || len(s.peers) < relayThreshold {
		return nil
	}
	// Tells the others soon that there is something to ask for.
	s.nextBeaconAt = min(s.nextBeaconAt, max(now, s.lastBeaconAt+int64(minBeaconInterval)))
	return nil
}

// confirm notes that what is known of a kind is not old.
func (s *State) markFresh(c *syncState) {
	if !c.fresh {
		c.fresh, s.dirty = true, true
	}
}

// settle counts as confirmed what nobody has confirmed in time.
func (s *State) assumeFresh(now int64) {
	for _, c := range s.sync {
		if c.known && !c.fresh && now >= c.assumeFreshAt {
			s.markFresh(c)
		}
	}
}

// wake doubts all that is known, since the process was paused, and asks for what
// has changed meanwhile.
func (s *State) resume(now int64) (out []Effect) {
	s.dirty = true
	for _, k := range Kinds {
		c := s.sync[k]
		if !c.known {
			continue
		}
		c.fresh, c.assumeFreshAt = false, now+int64(confirmTimeout)
		if c.watching {
			out = append(out, Watch{Kind: k, Enabled: true, Era: c.synced.Era, Revision: c.synced.Revision, PollTimeout: c.pollTimeout, SlowRetry: !s.isReader(now), Confirm: true})
		}
	}
	return append(out, LogEvent{Type: "paused", Subject: s.Self.Name, Cause: "the process did not run for a while"})
}

// stale tells whether what requests depend on may be old.
func (s *State) stale() bool {
	return !s.sync[Configs].fresh || !s.sync[Upstreams].fresh || !s.sync[Evacuations].fresh
}

// outdated tells whether an answer of the store is older than what other
// instances have told meanwhile.
func (s *State) outdated(k Kind, at Position) bool {
	c := s.sync[k]
	return c.known && at.Before(c.synced)
}

// turned tells whether the store has come back from a copy since what is known
// of a kind. Changes do not lead from one era to the next.
func (s *State) startsEra(k Kind, at Position) bool {
	c := s.sync[k]
	return c.known && at.Era > c.synced.Era
}

// assign decides which kinds this instance reads from the store itself.
func (s *State) assignWatches(now int64) (out []Effect) {
	duty := s.isReader(now)
	for _, k := range Kinds {
		c := s.sync[k]
		on, wait := duty || !c.known || !s.coveredByPeer(now, k), s.pollTimeoutOf(k)
		if !s.sync[Instances].known {
			// Which instances read is not known yet.
			on = k == Instances && now >= s.firstListAt
		}
		if on == c.watching && (!on || wait == c.pollTimeout) {
			continue
		}
		c.watching, c.pollTimeout, c.listOnly = on, wait, on && !duty && !c.known
		out = append(out, Watch{Kind: k, Enabled: on, Era: c.synced.Era, Revision: c.watchRevision(), PollTimeout: wait, ListOnly: c.listOnly, SlowRetry: !duty})
	}
	return out
}

func (c *syncState) watchRevision() uint64 {
	if !c.known {
		return 0
	}
	return c.synced.Revision
}

// isReader tells whether this instance is one of the readers: the first by rank
// among those that it has heard from lately.
func (s *State) isReader(now int64) bool {
	if len(s.peers) < relayThreshold {
		return true
	}
	own, ahead := readerRank(s.Self.Name), 0
	for _, p := range s.peers {
		if p.heardRecently(now) && readerRank(p.Name) > own {
			ahead++
		}
	}
	return ahead < readerCount
}

func readerRank(name string) uint64 { return xxhash.Sum64String("reader " + name) }

// covered tells whether another instance proves fresh knowledge of a kind, which
// is known here as well.
func (s *State) coveredByPeer(now int64, k Kind) bool {
	if b := s.sync[k].behindSince; b != 0 && now-b >= int64(maxReaderLag) {
		return false
	}
	if at := s.sync[k].listedAt; at != 0 && now-at < int64(syncTTL(k)) {
		// The readers' first proofs may still be on their way.
		return true
	}
	for _, p := range s.peers {
		if q, ok := p.reported[k]; ok && now-q.confirmedAt < int64(syncTTL(k)) {
			return true
		}
	}
	return false
}

// prove takes over the proofs of a beacon.
func (p *peer) updateSync(e BeaconReceived) {
	for k, q := range e.Beacon.Sync {
		if p.reported == nil {
			p.reported = map[Kind]peerSync{}
		}
		p.reported[k] = peerSync{Position{q.Era, q.Revision}, e.Now - q.Age*int64(time.Millisecond)}
	}
}

// proofs lists what this instance proves to others.
func (s *State) syncStatuses(now int64) map[Kind]SyncStatus {
	var all map[Kind]SyncStatus
	for k, c := range s.sync {
		if !c.watching || c.confirmedAt == 0 {
			continue
		}
		if all == nil {
			all = map[Kind]SyncStatus{}
		}
		all[k] = SyncStatus{Era: c.synced.Era, Revision: c.synced.Revision, Age: (now - c.confirmedAt) / int64(time.Millisecond)}
	}
	return all
}
