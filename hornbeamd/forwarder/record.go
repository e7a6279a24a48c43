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
	window = 60 * time.Second
	// skew is how far the clocks of callers and instances may be apart.
	skew = 500 * time.Millisecond
	// shards and shardSize bound the ids that are kept. Further once-requests
	// are refused, because a dropped id could run twice.
	shards    = 64
	shardSize = 8 << 10
	// sweepTime is the least time between two searches for expired ids.
	sweepTime = time.Second
	// shardKept bounds the bytes of kept answers in a shard.
	shardKept = 1 << 20
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

type state uint8

const (
	// noted: the request came in here and is or was placed elsewhere.
	noted state = iota + 1
	running
	ran
	unknown
	// fenced: only the repeat that fenced the id may run it.
	fenced
	// spare: the repeat that fenced the id everywhere did not run.
	spare
)

type entry struct {
	state state
	// before is the state to go back to when a running request did not run.
	before state
	// until is the time after which the entry may be removed.
	until  int64
	answer RequestRecord
	// done is closed when a running request has ended, if someone waits.
	done chan struct{}
}

type entryKey struct{ service, id string }

type shard struct {
	mu      sync.Mutex
	entries map[entryKey]*entry
	kept    int
	// swept is the time at which expired entries were last removed.
	swept int64
}

// record keeps the ids of once-requests with their outcomes.
type record struct {
	since  int64
	shards [shards]shard
}

func newRecord(now int64) *record {
	r := &record{since: now}
	for i := range r.shards {
		r.shards[i].entries = make(map[entryKey]*entry)
		r.shards[i].swept = now
	}
	return r
}

func (r *record) shard(id string) *shard { return &r.shards[xxhash.Sum64String(id)%shards] }

// add inserts an entry unless the shard is full. The shard is locked.
func (s *shard) add(k entryKey, st state, now, until int64) *entry {
	if len(s.entries) >= shardSize && now-s.swept > int64(sweepTime) {
		s.sweep(now)
	}
	if len(s.entries) >= shardSize {
		return nil
	}
	e := &entry{state: st, until: until + int64(window)}
	s.entries[k] = e
	return e
}

// find returns the entry of an id if it has not expired. The shard is locked.
func (s *shard) find(k entryKey, now int64) *entry {
	if now-s.swept > int64(window)/4 {
		s.sweep(now)
	}
	e := s.entries[k]
	if e != nil && e.state != running && now > e.until {
		s.remove(k, e)
		return nil
	}
	return e
}

func (s *shard) sweep(now int64) {
	s.swept = now
	for k, e := range s.entries {
		if e.state != running && now > e.until {
			s.remove(k, e)
		}
	}
}

func (s *shard) remove(k entryKey, e *entry) {
	s.kept -= len(e.answer.Body)
	delete(s.entries, k)
}

// note records that a caller's request has come in here. It tells whether the
// id was seen before, and false for ok when there is no room.
func (r *record) note(k entryKey, now, deadline int64) (seen, ok bool) {
	s := r.shard(k.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.find(k, now) != nil {
		return true, true
	}
	return false, s.add(k, noted, now, deadline) != nil
}

// unnote forgets a noted request that did not run. It returns false when a
// repeat has taken over meanwhile, which may run.
func (r *record) unnote(k entryKey) bool {
	s := r.shard(k.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[k]
	if e == nil {
		return true
	}
	if e.state != noted {
		return false
	}
	s.remove(k, e)
	return true
}

// start marks an id as running. A repeat may run in spite of a fence. Otherwise
// the entry of an id that has run, may have run or is fenced is returned with
// ok false; without entry there is no room.
func (r *record) start(k entryKey, repeat bool, now, deadline int64) (e *entry, ok bool) {
	s := r.shard(k.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e = s.find(k, now)
	switch {
	case e == nil:
		e = s.add(k, running, now, deadline)
		return e, e != nil
	case e.state == noted || repeat && (e.state == fenced || e.state == spare):
		e.before = e.state
		e.state = running
		return e, true
	}
	return e, false
}

// end records how a started request ended.
func (r *record) end(k entryKey, e *entry, o Outcome, answer RequestRecord, now int64) {
	s := r.shard(k.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.until = max(e.until, now+int64(window))
	switch {
	case o == OutcomeRan:
		e.state = ran
		if s.kept+len(answer.Body) > shardKept {
			answer = RequestRecord{}
		}
		s.kept += len(answer.Body)
		e.answer = answer
	case o == OutcomeUnknown:
		e.state = unknown
	case e.before != 0:
		e.state = e.before
	default:
		s.remove(k, e)
	}
	if e.done != nil {
		close(e.done)
		e.done = nil
	}
}

// giveBack marks a fenced id, whose repeat did not run, for the next repeat.
func (r *record) giveBack(k entryKey, now int64) {
	s := r.shard(k.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.find(k, now); e != nil && e.state == fenced {
		e.state = spare
		e.until = now + int64(window)
	}
}

// account tells what is known of an id, and fences it if asked to. The channel
// is closed when a running request ends.
func (r *record) account(k entryKey, fence bool, sent, now int64) (a RequestRecord, done <-chan struct{}) {
	s := r.shard(k.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(k, now)
	if e == nil {
		return r.never(s, k, fence, sent, now), nil
	}
	switch e.state {
	case running:
		if e.done == nil {
			e.done = make(chan struct{})
		}
		return RequestRecord{Fate: hornpb.Fate_FATE_RUNNING}, e.done
	case ran:
		a = e.answer
		a.Fate = hornpb.Fate_FATE_RAN
		return a, nil
	case unknown:
		return RequestRecord{Fate: hornpb.Fate_FATE_UNKNOWN}, nil
	case fenced:
		return RequestRecord{Fate: hornpb.Fate_FATE_UNSPECIFIED}, nil
	case spare:
		if fence {
			e.state = fenced
		}
		return RequestRecord{Fate: hornpb.Fate_FATE_NOTRUN}, nil
	}
	a = r.judge(sent, now)
	if fence {
		e.state = fenced
		e.until = max(e.until, now+int64(window))
	}
	return a, nil
}

// never answers for an id without entry.
func (r *record) never(s *shard, k entryKey, fence bool, sent, now int64) RequestRecord {
	a := r.judge(sent, now)
	if fence && s.add(k, fenced, now, now) == nil {
		return RequestRecord{Fate: hornpb.Fate_FATE_UNKNOWN}
	}
	return a
}

// judge tells whether the record reaches back to the time at which a request
// was first sent, so that its silence means that the request did not run here.
func (r *record) judge(sent, now int64) RequestRecord {
	if sent-int64(skew) < r.since || now-sent > int64(window-skew) {
		return RequestRecord{Fate: hornpb.Fate_FATE_UNKNOWN}
	}
	return RequestRecord{Fate: hornpb.Fate_FATE_NEVER}
}
