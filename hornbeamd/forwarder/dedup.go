package forwarder

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamstream.example/core/hornpb"
)

const (
	// idRetention is how long a request id is kept after the request has ended.
	// The time limit of a once-service must not be longer.
	idRetention = 60 * time.Second
	// maxClockSkew is how far the clocks of callers and instances may differ.
	maxClockSkew = 500 * time.Millisecond
	// shardCount and maxShardEntries bound the ids that are kept. Further
	// once-requests are refused, because a request whose id was evicted could
	// run twice.
	shardCount      = 64
	maxShardEntries = 8 << 10
	// minSweepInterval is the minimum time between two sweeps of a full shard.
	minSweepInterval = time.Second
	// maxShardBodyBytes bounds the response bodies kept in a shard.
	maxShardBodyBytes = 1 << 20
)

// RequestRecord is what an instance knows about a request id. Its fates are:
// FATE_NEVER: the instance has not seen the id, or has received but not started
// the request; if it was asked to fence the id, it refuses it from now on;
// FATE_NOTRUN: the id is fenced everywhere and its last repeat did not run; the
// instance that gets this reply may run it;
// FATE_UNSPECIFIED: the id is fenced for an earlier query.
type RequestRecord struct {
	Fate hornpb.Fate
	// StatusCode, ContentType and Body are the first response if HasResponse is
	// set.
	StatusCode  int
	ContentType string
	Body        []byte
	HasResponse bool
}

type entryState uint8

const (
	// stateReceived: the request arrived here but has not been started here.
	stateReceived entryState = iota + 1
	stateRunning
	stateRan
	stateUnknown
	// stateFenced: only the repeat that fenced the id may run it.
	stateFenced
	// stateReleased: the repeat that fenced the id everywhere did not run.
	stateReleased
)

type dedupEntry struct {
	state entryState
	// previous is the state to return to if a started request did not run.
	previous entryState
	// expires is the time after which the entry may be removed.
	expires  int64
	response RequestRecord
	// done is closed when a running request has ended. It is nil until someone
	// waits.
	done chan struct{}
}

type requestKey struct{ service, id string }

type shard struct {
	mu        sync.Mutex
	entries   map[requestKey]*dedupEntry
	bodyBytes int
	// lastSweep is when expired entries were last removed.
	lastSweep int64
}

// dedupTable keeps the ids and outcomes of once-requests to detect repeats.
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

// add inserts an entry unless the shard is full. The caller holds s.mu.
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

// find returns the entry of an id if it has not expired. The caller holds s.mu.
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

// addReceived adds a request that a caller sent to this instance. It reports
// whether the id was seen before, and ok is false if the table is full.
func (r *dedupTable) addReceived(k requestKey, now, deadline int64) (seen, ok bool) {
	s := r.shard(k.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.find(k, now) != nil {
		return true, true
	}
	return false, s.add(k, stateReceived, now, deadline) != nil
}

// removeReceived removes a received request that did not run. It returns false if
// a repeat, which may run, has fenced the id meanwhile.
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

// start marks an id as running. A fence doesn't stop a repeat. If the request
// has run, may have run or is fenced, start returns its entry and false; if the
// table is full, nil and false.
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

// finish records the outcome of a started request.
func (r *dedupTable) finish(k requestKey, e *dedupEntry, o Outcome, record RequestRecord, now int64) {
	s := r.shard(k.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.expires = max(e.expires, now+int64(idRetention))
	switch {
	case o == OutcomeRan:
		e.state = stateRan
		if s.bodyBytes+len(record.Body) > maxShardBodyBytes {
			record = RequestRecord{}
		}
		s.bodyBytes += len(record.Body)
		e.response = record
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

// releaseFence lets the next repeat run an id whose fencing repeat did not run.
func (r *dedupTable) releaseFence(k requestKey, now int64) {
	s := r.shard(k.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.find(k, now); e != nil && e.state == stateFenced {
		e.state = stateReleased
		e.expires = now + int64(idRetention)
	}
}

// lookup returns what is known about an id, and fences it if fence is set. For a
// running request it also returns a channel that is closed when the request
// ends.
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

// lookupMissing is lookup for an id without an entry.
func (r *dedupTable) lookupMissing(s *shard, k requestKey, fence bool, sent, now int64) RequestRecord {
	a := r.missingRecord(sent, now)
	if fence && s.add(k, stateFenced, now, now) == nil {
		return RequestRecord{Fate: hornpb.Fate_FATE_UNKNOWN}
	}
	return a
}

// missingRecord returns FATE_NEVER if the table covers the time at which a request
// was first sent, so that a missing entry proves that it did not run here.
func (r *dedupTable) missingRecord(sent, now int64) RequestRecord {
	if sent-int64(maxClockSkew) < r.startedAt || now-sent > int64(idRetention-maxClockSkew) {
		return RequestRecord{Fate: hornpb.Fate_FATE_UNKNOWN}
	}
	return RequestRecord{Fate: hornpb.Fate_FATE_NEVER}
}
