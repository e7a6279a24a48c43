package steerer

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// relayThreshold is the number of peers from which only a few instances, the
	// readers, watch the store, and the others fetch changes from them. With fewer
	// peers, every instance watches the store itself.
	relayThreshold = 16
	// readerCount is the number of readers.
	readerCount = 3
	// longPollTimeout is how long a watch call waits for a change if no other
	// instance depends on its result. A reader uses shortPollTimeout, which bounds
	// the age of the sync statuses that it sends.
	longPollTimeout  = 25 * time.Second
	shortPollTimeout = 700 * time.Millisecond
	// readerSyncTTL is how long a reader's sync status is valid. It covers a
	// reader's poll timeout, a beacon interval, and one lost beacon.
	readerSyncTTL = 1700 * time.Millisecond
	// fetchTimeout is how long an instance waits for an answer of another one.
	fetchTimeout = 800 * time.Millisecond
	// maxReaderLag is how long an instance may lag behind the readers before it
	// watches the store itself.
	maxReaderLag = time.Second
	// minBeaconInterval is the minimum time between two beacons.
	minBeaconInterval = 200 * time.Millisecond
	// ownWatchGrace is how long an instance that watches the store waits for its own
	// call once it knows that another instance is ahead.
	ownWatchGrace = 400 * time.Millisecond
	// firstAnswerTimeout is how long a starting instance waits for the store before
	// it asks others. It is several times the usual response time.
	firstAnswerTimeout = 300 * time.Millisecond
	// maxHistory bounds the changes kept for other instances, by kind, and maxGaps the gaps
	// in them.
	maxHistory = 1024
	maxGaps    = 16
)

// syncState is the state of synchronizing one kind with the store.
type syncState struct {
	// known reports whether the objects are known as of some revision.
	known bool
	// synced is the position up to which all changes are known.
	synced Position
	// eraChangedAt is when the store was last found to be restored from a backup, or
	// 0 for never.
	eraChangedAt int64
	// watching reports whether this instance watches the kind in the store itself.
	watching bool
	// listOnly reports whether watching ends after one list. listedAt is when that
	// list arrived, or 0 for never.
	listOnly    bool
	listedAt    int64
	pollTimeout time.Duration
	// confirmedAt is when the store last confirmed synced, or 0 for never.
	confirmedAt int64
	// fresh reports whether the state has been confirmed since the start and since
	// the last pause of the process. staleSince is since when it is not.
	fresh      bool
	staleSince int64
	// pausedAt is when the last pause of the process was noticed, or 0 for never. An answer
	// to a call that was made before may be from before the pause, and confirms nothing.
	pausedAt int64
	// confirmFetches is the number of instances that were asked for a confirmation.
	confirmFetches int
	// fetchSentAt is when the pending request to another instance was sent, or 0 if
	// there is none.
	fetchSentAt int64
	// target is the latest position that another instance is known to have.
	target Position
	// targetChange is the position of the latest change that another instance is known to
	// have.
	targetChange Position
	// behindSince is since when this instance has lagged behind the target, or 0 if
	// it does not lag.
	behindSince int64
	// changed is the revision of the last change.
	changed uint64
	// history has the changes after revision historyBase, oldest first. gaps are the
	// revisions between which only the differences are known.
	history     []historyEntry
	historyBase uint64
	gaps        []gap
}

// peerSync is a SyncStatus with its age converted to a time on the local clock.
type peerSync struct {
	position    Position
	changed     uint64
	confirmedAt int64
}

func newSyncStates() map[Kind]*syncState {
	all := map[Kind]*syncState{}
	for _, k := range Kinds {
		all[k] = &syncState{}
	}
	return all
}

// pollTimeoutOf returns how long a watch call waits for a change of a kind.
// Instances change rarely, and nothing depends on learning of that at once. News of
// crashing requests comes with beacons first.
func (s *State) pollTimeoutOf(k Kind) time.Duration {
	switch {
	case len(s.peers) < relayThreshold:
		return longPollTimeout
	case k == Instances, k == Quarantines:
		return 8 * shortPollTimeout
	}
	return shortPollTimeout
}

// syncTTL returns how long the sync status of a kind is valid.
func syncTTL(k Kind) time.Duration {
	if k == Instances || k == Quarantines {
		return 8 * readerSyncTTL
	}
	return readerSyncTTL
}

// syncUpdate is newly received state of a kind.
type syncUpdate struct {
	kind Kind
	// changes are the changes since what was known before, if that is known.
	changes []Object
	synced  Position
	// whole means that they come from a complete list, first that nothing was known before
	// in the same era, confirmed that the list or the changes are the store's own current
	// answer.
	whole, first, confirmed bool
	// askedAt is when the call was made whose answer it is.
	askedAt int64
}

// advance records that all changes up to n.synced are known.
func (s *State) advance(now int64, n syncUpdate) (out []Effect) {
	ss := s.sync[n.kind]
	if n.confirmed && ss.confirms(n.askedAt) {
		ss.confirmedAt = now
		out = s.markFresh(n.kind, "by the store")
	}
	if !ss.known {
		ss.known, ss.staleSince, s.dirty = true, now, true
	}
	if n.whole && ss.listOnly {
		ss.listOnly, ss.watching, ss.listedAt = false, false, now
	}
	ss.addHistory(n)
	moved := ss.synced.Before(n.synced) && (n.whole || len(n.changes) > 0)
	if ss.synced.Before(n.synced) {
		// Progress restarts the lag timer, because an instance never quite reaches
		// the target while changes keep coming.
		ss.synced, ss.behindSince = n.synced, now
	}
	if !ss.synced.Before(ss.target) {
		ss.behindSince = 0
	}
	out = append(out, s.updateConfigLag(now)...)
	if moved && ss.watching && len(s.peers) >= relayThreshold {
		// Tell the other instances soon that there are changes to fetch.
		s.nextBeaconAt = min(s.nextBeaconAt, max(now, s.lastBeaconAt+int64(minBeaconInterval)))
	}
	return out
}

// outdated reports whether an answer is older than the state known here, which may
// have come from other instances in the meantime.
func (s *State) outdated(k Kind, at Position) bool {
	ss := s.sync[k]
	return ss.known && at.Before(ss.synced)
}

// logOutdated reports an answer that changes nothing because of its position.
func (s *State) logOutdated(k Kind, at Position) LogEvent {
	known := s.sync[k].synced
	return LogEvent{Type: "outdated", Subject: string(k), Cause: fmt.Sprintf("revision %d of era %d, known is revision %d of era %d", at.Revision, at.Era, known.Revision, known.Era)}
}

// startsEra reports whether a position is in a later era than the one known here,
// because the store was restored from a backup. Changes cannot be applied across
// eras; a complete list is needed.
func (s *State) startsEra(k Kind, at Position) bool {
	ss := s.sync[k]
	return ss.known && at.Era > ss.synced.Era
}

// assignWatches decides which kinds this instance watches in the store itself.
func (s *State) assignWatches(now int64) (out []Effect) {
	reader := s.isReader(now)
	for _, k := range Kinds {
		ss := s.sync[k]
		enabled, timeout := reader || !ss.known || !s.coveredByPeer(now, k), s.pollTimeoutOf(k)
		if ss.watching && ss.known && !ss.fresh {
			// The answer of the store confirms what is known.
			enabled = true
		}
		if !s.sync[Instances].known {
			// The readers are not known yet.
			enabled = k == Instances && now >= s.firstListAt
		}
		if enabled == ss.watching && (!enabled || timeout == ss.pollTimeout) {
			continue
		}
		ss.watching, ss.pollTimeout, ss.listOnly = enabled, timeout, enabled && !reader && !ss.known
		out = append(out, Watch{Kind: k, Enabled: enabled, Era: ss.synced.Era, Revision: ss.watchRevision(), PollTimeout: timeout, ListOnly: ss.listOnly, SlowRetry: !reader})
	}
	return out
}

func (ss *syncState) watchRevision() uint64 {
	if !ss.known {
		return 0
	}
	return ss.synced.Revision
}

// isReader reports whether this instance is one of the readers: those with the
// highest rank among the instances heard from recently.
func (s *State) isReader(now int64) bool {
	if len(s.peers) < relayThreshold {
		return true
	}
	own, higher := readerRank(s.Self.Name), 0
	for _, p := range s.peers {
		if p.heardRecently(now) && readerRank(p.Name) > own {
			higher++
		}
	}
	return higher < readerCount
}

// readerRank orders the instances in the same way everywhere.
func readerRank(name string) uint64 { return xxhash.Sum64String("reader " + name) }

// coveredByPeer reports whether another instance has a valid sync status of a kind
// and this instance keeps up with it.
func (s *State) coveredByPeer(now int64, k Kind) bool {
	if b := s.sync[k].behindSince; b != 0 && now-b >= int64(maxReaderLag) {
		return false
	}
	if at := s.sync[k].listedAt; at != 0 && now-at < int64(syncTTL(k)) {
		// The readers' first sync statuses may still be in transit.
		return true
	}
	for _, p := range s.peers {
		if q, ok := p.reported[k]; ok && now-q.confirmedAt < int64(syncTTL(k)) {
			return true
		}
	}
	return false
}

// updateSync stores the sync statuses of a beacon.
func (p *peer) updateSync(e BeaconReceived) {
	for k, q := range e.Beacon.Sync {
		if p.reported == nil {
			p.reported = map[Kind]peerSync{}
		}
		p.reported[k] = peerSync{Position{q.Era, q.Revision}, q.Changed, e.Now - q.Age*int64(time.Millisecond)}
	}
}

// syncStatuses returns the sync statuses that this instance sends to others.
func (s *State) syncStatuses(now int64) map[Kind]SyncStatus {
	var all map[Kind]SyncStatus
	for k, ss := range s.sync {
		if !ss.watching || ss.confirmedAt == 0 {
			continue
		}
		if all == nil {
			all = map[Kind]SyncStatus{}
		}
		all[k] = SyncStatus{Era: ss.synced.Era, Revision: ss.synced.Revision, Changed: ss.changed, Age: (now - ss.confirmedAt) / int64(time.Millisecond)}
	}
	return all
}
