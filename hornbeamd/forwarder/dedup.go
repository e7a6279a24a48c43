package forwarder

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamstream.example/core/hornpb"
)

const (
	// window is how long a request id is kept after the request has ended. The
	// limit of a once-service must not be longer.
	idRetention = 60 * time.Second
	// skew is how far the clocks of callers and instances may be apart.
	maxClockSkew = 500 * time.Millisecond
	// shards and shardSize bound the ids that are kept. Further once-requests
	// are refused, because a dropped id could run twice.
	shardCount      = 64
	maxShardEntries = 8 << 10
	// sweepTime is the least time between two searches for expired ids.
	minSweepInterval = time.Second
	// shardKept bounds the bytes of kept answers in a shard.
	maxShardBodyBytes = 1 << 20
)

// Account is what an instance knows of a request id. Its fates are:
// FATE_NEVER: it never saw the id, and refuses it from now on if asked to fence;
// FATE_NOTRUN: the id is fenced everywhere and its last repeat did not run; who
// is told so may run it;
// FATE_UNSPECIFIED: the id is fenced for an earlier asker.
type RequestRecord struct {
	Fate hornpb.Fate
	// Status, Type and Body are the first answer if Kept is set.
	StatusCode  int
	ContentType string
	Body        []byte
	HasResponse bool
}

type entryState uint8

const (
	// noted: the request came in here and is or was placed elsewhere.
	stateReceived entryState = iota + 1
	stateRunning
	stateRan
	stateUnknown
	// fenced: only the repeat that fenced the id may run it.
	stateFenced
	// spare: the repeat that fenced the id everywhere did not run.
	stateReleased
)

type dedupEntry struct {
	state entryState
	// before is the state to go back to when a running request did not run.
	previous entryState
	// until is the time after which the entry may be removed.
	expires  int64
	response RequestRecord
	// done is closed when a running request has ended, if someone waits.
	done chan struct{}
}

type requestKey struct{ service, id string }

type shard struct {
	mu        sync.Mutex
	entries   map[requestKey]*dedupEntry
	bodyBytes int
	// swept is the time at which expired entries were last removed.
	lastSweep int64
}

// record keeps the ids of once-requests with their outcomes.
type dedupTable struct {
	startedAt int64
	shards    [shardCount]shard
}

func newDedupTable(now int64) *dedupTable {
	r := &dedupTable{startedAt: now}
	for i := range r.shards {
		r.shards[i].entries = make(map[requestKey]*dedupEntry)
		r.shards[i].lastSweep = now
	}
	return r
}

func (r *dedupTable) shard(id string) *shard { return &r.shards[xxhash.Sum64String(id)%shardCount] }

// add inserts an entry unless the shard is full. The shard is locked.
func (s *shard) add(k requestKey, st entryState, now, until int64) *dedupEntry {
	if len(s.entries) >= maxShardEntries && now-s.lastSweep > int64(minSweepInterval) {
		s.sweep(now)
	}
	if len(s.entries) >= maxShardEntries {
		return nil
	}
	e := &dedupEntry{state: st, expires: until + int64(idRetention)}
	s.entries[k] = e
	return e
}

// find returns the entry of an id if it has not expired. The shard is locked.
func (s *shard) find(k requestKey, now int64) *dedupEntry {
	if now-s.lastSweep > int64(idRetention)/4 {
		s.sweep(now)
	}
	e := s.entries[k]
	if e != nil && e.state != stateRunning && now > e.expires {
		s.remove(k, e)
		return nil
	}
	return e
}

func (s *shard) sweep(now int64) {
	s.lastSweep = now
	for k, e := range s.entries {
		if e.state != stateRunning && now > e.expires {
			s.remove(k, e)
		}
	}
}

func (s *shard) remove(k requestKey, e *dedupEntry) {
	s.bodyBytes -= len(e.response.Body)
	delete(s.entries, k)
}

// note records that a caller's request has come in here. It tells whether the
// id was seen before, and false for ok when there is no room.
func (r *dedupTable) addReceived(k requestKey, now, deadline int64) (seen, ok bool) {
	s := r.shard(k.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.find(k, now) != nil {
		return true, true
	}
	return false, s.add(k, stateReceived, now, deadline) != nil
}

// unnote forgets a noted request that did not run. It returns false when a
// repeat has taken over meanwhile, which may run.
func (r *dedupTable) removeReceived(k requestKey) bool {
	s := r.shard(k.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[k]
	if e == nil {
		return true
	}
	if e.state != stateReceived {
		return false
	}
	s.remove(k, e)
	return true
}

// start marks an id as running. A repeat may run in spite of a fence. Otherwise
// the entry of an id that has run, may have run or is fenced is returned with
// ok false; without entry there is no room.
func (r *dedupTable) start(k requestKey, repeat bool, now, deadline int64) (e *dedupEntry, ok bool) {
	s := r.shard(k.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e = s.find(k, now)
	switch {
	case e == nil:
		e = s.add(k, stateRunning, now, deadline)
		return e, e != nil
	case e.state == stateReceived || repeat && (e.state == stateFenced || e.state == stateReleased):
		e.previous = e.state
		e.state = stateRunning
		return e, true
	}
	return e, false
}

// end records how a started request ended.
func (r *dedupTable) finish(k requestKey, e *dedupEntry, o Outcome, answer RequestRecord, now int64) {
	s := r.shard(k.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.expires = max(e.expires, now+int64(idRetention))
	switch {
	case o == OutcomeRan:
		e.state = stateRan
		if s.bodyBytes+len(answer.Body) > maxShardBodyBytes {
			answer = RequestRecord{}
		}
		s.bodyBytes += len(answer.Body)
		e.response = answer
	case o == OutcomeUnknown:
		e.state = stateUnknown
	case e.previous != 0:
		e.state = e.previous
	default:
		s.remove(k, e)
	}
	if e.done != nil {
		close(e.done)
		e.done = nil
	}
}

// giveBack marks a fenced id, whose repeat did not run, for the next repeat.
func (r *dedupTable) releaseFence(k requestKey, now int64) {
	s := r.shard(k.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.find(k, now); e != nil && e.state == stateFenced {
		e.state = stateReleased
		e.expires = now + int64(idRetention)
	}
}

// account tells what is known of an id, and fences it if asked to. The channel
// is closed when a running request ends.
func (r *dedupTable) lookup(k requestKey, fence bool, sent, now int64) (a RequestRecord, done <-chan struct{}) {
	s := r.shard(k.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(k, now)
	if e == nil {
		return r.lookupMissing(s, k, fence, sent, now), nil
	}
	switch e.state {
	case stateRunning:
		if e.done == nil {
			e.done = make(chan struct{})
		}
		return RequestRecord{Fate: hornpb.Fate_FATE_RUNNING}, e.done
	case stateRan:
		a = e.response
		a.Fate = hornpb.Fate_FATE_RAN
		return a, nil
	case stateUnknown:
		return RequestRecord{Fate: hornpb.Fate_FATE_UNKNOWN}, nil
	case stateFenced:
		return RequestRecord{Fate: hornpb.Fate_FATE_UNSPECIFIED}, nil
	case stateReleased:
		if fence {
			e.state = stateFenced
		}
		return RequestRecord{Fate: hornpb.Fate_FATE_NOTRUN}, nil
	}
	a = r.missingRecord(sent, now)
	if fence {
		e.state = stateFenced
		e.expires = max(e.expires, now+int64(idRetention))
	}
	return a, nil
}

// never answers for an id without entry.
func (r *dedupTable) lookupMissing(s *shard, k requestKey, fence bool, sent, now int64) RequestRecord {
	a := r.missingRecord(sent, now)
	if fence && s.add(k, stateFenced, now, now) == nil {
		return RequestRecord{Fate: hornpb.Fate_FATE_UNKNOWN}
	}
	return a
}

// judge tells whether the record reaches back to the time at which a request
// was first sent, so that its silence means that the request did not run here.
func (r *dedupTable) missingRecord(sent, now int64) RequestRecord {
	if sent-int64(maxClockSkew) < r.startedAt || now-sent > int64(idRetention-maxClockSkew) {
		return RequestRecord{Fate: hornpb.Fate_FATE_UNKNOWN}
	}
	return RequestRecord{Fate: hornpb.Fate_FATE_NEVER}
}
