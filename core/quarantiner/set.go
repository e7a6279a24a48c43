package quarantiner

import (
	"slices"
	"sync/atomic"
	"time"
)

// trialInterval is the time between the trials of different instances after a quarantine.
// It is long enough for the others to learn the result of a trial.
const trialInterval = 5 * time.Second

// Set is what the data plane needs to know of a List. It is immutable but for the use of
// trials. A nil Set is empty.
type Set struct {
	entries map[Digest]*entry
}

// entry is a request that has crashed upstreams.
type entry struct {
	// crashes is the number of separate crashes, until the end of the quarantine or 0.
	crashes int
	until   int64
	// nextTrial is when this instance may next send the request to see whether it still
	// crashes upstreams. The instances take turns, one in each trialInterval.
	nextTrial atomic.Int64
	// cycle is the time between two turns of this instance.
	cycle int64
	// answered is set once an answer has been seen.
	answered atomic.Bool
}

// Set returns the current set for the instance with the given position among a number of
// instances. It continues the trials of the set before, which may be nil.
func (l *List) Set(before *Set, position, instances int) *Set {
	if len(l.records) == 0 {
		return nil
	}
	s := &Set{entries: make(map[Digest]*entry, len(l.records))}
	n := max(1, instances)
	for d, r := range l.records {
		if len(r.crashes) == 0 {
			continue
		}
		e := &entry{crashes: r.separateCrashes(), until: r.quarantinedUntil(), cycle: int64(n) * int64(trialInterval)}
		if before != nil {
			if old := before.entries[d]; old != nil && old.crashes == e.crashes && old.until == e.until && old.cycle == e.cycle {
				s.entries[d] = old
				continue
			}
		}
		turn := (uint64(position) + uint64(d)) % uint64(n)
		e.nextTrial.Store(e.until + int64(turn)*int64(trialInterval))
		s.entries[d] = e
	}
	return s
}

// Empty reports whether no request is suspected or quarantined.
func (s *Set) Empty() bool { return s == nil || len(s.entries) == 0 }

// Quarantined lists the requests in quarantine, in ascending order.
func (s *Set) Quarantined() (all []Digest) {
	if s == nil {
		return nil
	}
	for d, e := range s.entries {
		if e.until != 0 {
			all = append(all, d)
		}
	}
	slices.Sort(all)
	return all
}

// Admission is whether a request may be sent.
type Admission struct {
	Admitted bool
	// Last reports that the request must not be sent again if the connection to its
	// upstream is lost, because it may have crashed an upstream before.
	Last bool
	// RetryAfter is when to come back with a request that is not admitted.
	RetryAfter time.Duration
}

// Admit decides whether a request may be sent now. After the end of a quarantine the
// instances admit one request in turn.
func (s *Set) Admit(d Digest, now int64) Admission {
	if s == nil {
		return Admission{Admitted: true}
	}
	e := s.entries[d]
	switch {
	case e == nil:
		return Admission{Admitted: true}
	case e.until == 0:
		return Admission{Admitted: true, Last: true}
	}
	next := e.nextTrial.Load()
	elapsed := now - next
	if elapsed >= 0 && elapsed%e.cycle < int64(trialInterval) && e.nextTrial.CompareAndSwap(next, next+(elapsed/e.cycle+1)*e.cycle) {
		return Admission{Admitted: true, Last: true}
	}
	return Admission{RetryAfter: max(time.Duration(e.until-now), trialInterval)}
}

// Blocked reports whether a request that was admitted before must not be sent any more.
// A trial is not blocked.
func (s *Set) Blocked(d Digest, now int64) bool {
	if s == nil {
		return false
	}
	e := s.entries[d]
	return e != nil && now < e.until
}

// FirstAnswer reports whether an answer to the request is news: the request has crashed
// upstreams and was not answered since the set was made.
func (s *Set) FirstAnswer(d Digest) bool {
	if s == nil {
		return false
	}
	e := s.entries[d]
	return e != nil && e.answered.CompareAndSwap(false, true)
}
