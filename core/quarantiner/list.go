// Package quarantiner decides which requests are no longer sent because they crash the
// upstreams that run them. A request is quarantined after Threshold separate crashes
// under it if no upstream has answered it since, unless a request that is in quarantine
// explains the crashes. Instances exchange their observations as reports, which may arrive
// late, repeatedly and in any order.
//
// The package uses neither the network nor a clock: callers pass the time, in nanoseconds on a
// monotonic clock.
package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// Threshold is the number of separate crashes after which a request is quarantined.
	Threshold = 3
	// separation is the time between two separate crashes. Upstreams that end together,
	// as in a power failure, count once: popular requests are in progress at many of them.
	separation = 250 * time.Millisecond
	// answerSlack is how much later than the answer a crash may seem to be that happened
	// before it. Reports take time to arrive.
	answerSlack = 500 * time.Millisecond
	// minHold is the first time for which a request is quarantined. Each further crash
	// multiplies it by holdFactor, up to maxHold.
	minHold, holdFactor, maxHold = 15 * time.Second, 4, time.Hour
	// retention is how long a request is remembered after its last crash or answer, or
	// after the end of its quarantine.
	retention = 10 * time.Minute
	// maxRecords bounds the requests that are remembered, maxCrashes the crashes of each.
	maxRecords, maxCrashes = 512, 6
)

// Crash is the end of an upstream that had a request in progress.
type Crash struct {
	// Upstream identifies the incarnation of the upstream.
	Upstream uint32
	At       int64
}

// record is what is known of a request.
type record struct {
	// crashes has the crashes since the last answer, one for each upstream, in the order
	// of their times.
	crashes []Crash
	// answeredAt is when an upstream last answered the request, or 0 for never.
	answeredAt int64
	// crashSeenAt and answerSeenAt are when this instance itself last observed a crash
	// and an answer, or 0 for never.
	crashSeenAt, answerSeenAt int64
	// changedAt is when the record last changed.
	changedAt int64
	// quarantinedAt is when the request was put into quarantine, or 0 if it is not in
	// quarantine.
	quarantinedAt int64
}

// separate returns the indexes of the crashes that are separate from each other.
func (r *record) separate() (all []int) {
	for i, c := range r.crashes {
		if len(all) == 0 || c.At-r.crashes[all[len(all)-1]].At >= int64(separation) {
			all = append(all, i)
		}
	}
	return all
}

// separateCrashes returns the number of separate crashes.
func (r *record) separateCrashes() int { return len(r.separate()) }

// quarantinedUntil returns the end of the quarantine, or 0 if there is none.
func (r *record) quarantinedUntil() int64 {
	if r.quarantinedAt == 0 {
		return 0
	}
	hold := minHold
	for range r.separateCrashes() - Threshold {
		hold = min(hold*holdFactor, maxHold)
	}
	return r.crashes[len(r.crashes)-1].At + int64(hold)
}

// expired reports whether the record may be forgotten.
func (r *record) expired(now int64) bool {
	return now >= max(r.changedAt, r.quarantinedUntil())+int64(retention)
}

// add adds a crash unless it was before the last answer. It reports whether the record
// has changed. Observers of the same crash see it at different times; the earliest counts.
func (r *record) add(c Crash) bool {
	if r.answeredAt != 0 && c.At <= r.answeredAt+int64(answerSlack) {
		return false
	}
	switch i := slices.IndexFunc(r.crashes, func(o Crash) bool { return o.Upstream == c.Upstream }); {
	case i >= 0 && r.crashes[i].At <= c.At:
		return false
	case i >= 0:
		r.crashes[i].At = c.At
	default:
		r.crashes = append(r.crashes, c)
	}
	slices.SortStableFunc(r.crashes, func(a, b Crash) int { return cmp.Compare(a.At, b.At) })
	if len(r.crashes) > maxCrashes {
		r.drop()
	}
	return true
}

// drop forgets a crash that adds nothing to the number of separate crashes, if there is
// one, or else the last but one.
func (r *record) drop() {
	dropped := len(r.crashes) - 2
	for i, kept := range r.separate() {
		if i != kept {
			dropped = i
			break
		}
	}
	r.crashes = slices.Delete(r.crashes, dropped, dropped+1)
}

// answer records an answer. It reports whether the record has changed.
func (r *record) answer(at int64) bool {
	if at <= r.answeredAt {
		return false
	}
	r.answeredAt = at
	r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool { return c.At <= at+int64(answerSlack) })
	if r.separateCrashes() < Threshold {
		r.quarantinedAt = 0
	}
	return true
}

// List holds what an instance knows of requests that have crashed upstreams. The zero
// value is an empty list.
type List struct {
	records map[Digest]*record
}

// Change is the beginning or end of a quarantine.
type Change struct {
	Digest Digest
	// Quarantined reports whether the quarantine has begun.
	Quarantined bool
}

// update changes the record of a request. It returns the change of its quarantine, if
// there is one, and reports whether the record has changed.
func (l *List) update(now int64, d Digest, change func(r *record) bool) (c []Change, changed bool) {
	r := l.records[d]
	if r == nil {
		r = &record{}
	}
	before := r.quarantinedAt != 0
	if !change(r) {
		return nil, false
	}
	r.changedAt = now
	l.insert(d, r)
	if r.quarantinedAt == 0 && l.unexplainedCrashes(d) >= Threshold {
		r.quarantinedAt = now
	}
	if after := r.quarantinedAt != 0; after != before {
		c = []Change{{d, after}}
	}
	return c, true
}

// unexplainedCrashes returns the number of separate crashes under a request, without those
// of upstreams that another request has crashed which was in quarantine before the latest
// of them. The request may only have been in progress there. Requests that reach the
// threshold together are not told apart.
func (l *List) unexplainedCrashes(d Digest) int {
	r := l.records[d]
	if r.separateCrashes() < Threshold {
		return 0
	}
	latest := r.crashes[len(r.crashes)-1].At
	var others []*record
	for o, q := range l.records {
		if o != d && q.quarantinedAt != 0 && q.quarantinedAt < latest-int64(separation) {
			others = append(others, q)
		}
	}
	rest := record{crashes: slices.DeleteFunc(slices.Clone(r.crashes), func(c Crash) bool {
		return slices.ContainsFunc(others, func(q *record) bool { return q.crashed(c.Upstream) })
	})}
	return rest.separateCrashes()
}

// crashed reports whether the request has crashed an upstream.
func (r *record) crashed(upstream uint32) bool {
	return slices.ContainsFunc(r.crashes, func(c Crash) bool { return c.Upstream == upstream })
}

// insert adds a record. If there are too many, it evicts the one with the fewest crashes
// that has not changed for the longest time.
func (l *List) insert(d Digest, r *record) {
	if l.records == nil {
		l.records = map[Digest]*record{}
	}
	if l.records[d] == nil && len(l.records) >= maxRecords {
		evicted := slices.MinFunc(slices.Sorted(maps.Keys(l.records)), func(a, b Digest) int {
			p, q := l.records[a], l.records[b]
			return cmp.Or(cmp.Compare(p.separateCrashes(), q.separateCrashes()), cmp.Compare(p.changedAt, q.changedAt))
		})
		delete(l.records, evicted)
	}
	l.records[d] = r
}

// ObserveCrash records that an upstream has ended that had the request in progress for
// this instance.
func (l *List) ObserveCrash(now int64, d Digest, upstream uint32) (c []Change, changed bool) {
	return l.update(now, d, func(r *record) bool {
		r.crashSeenAt = now
		return r.add(Crash{upstream, now})
	})
}

// ObserveAnswer records that an upstream has answered the request for this instance.
func (l *List) ObserveAnswer(now int64, d Digest) (c []Change, changed bool) {
	if l.records[d] == nil {
		return nil, false
	}
	return l.update(now, d, func(r *record) bool {
		r.answerSeenAt = now
		return r.answer(now)
	})
}

// Quarantine puts a request into quarantine that crashed the given upstreams at an unknown
// time.
func (l *List) Quarantine(now int64, d Digest, upstreams []uint32) (c []Change, changed bool) {
	return l.update(now, d, func(r *record) bool {
		if r.quarantinedAt != 0 {
			return false
		}
		for i, u := range upstreams {
			r.add(Crash{u, now - int64(len(upstreams)-1-i)*int64(separation)})
		}
		if r.separateCrashes() >= Threshold {
			r.quarantinedAt = now
		}
		return len(upstreams) > 0
	})
}

// Release ends the quarantine of a request and forgets its crashes.
func (l *List) Release(now int64, d Digest) (c []Change, changed bool) {
	if l.records[d] == nil {
		return nil, false
	}
	return l.update(now, d, func(r *record) bool { return r.answer(now) })
}

// Quarantined lists the requests in quarantine, in ascending order.
func (l *List) Quarantined() (all []Digest) {
	for d, r := range l.records {
		if r.quarantinedAt != 0 {
			all = append(all, d)
		}
	}
	slices.Sort(all)
	return all
}

// Upstreams returns an upstream for each separate crash since the request's last answer.
func (l *List) Upstreams(d Digest) (all []uint32) {
	r := l.records[d]
	if r == nil {
		return nil
	}
	for _, i := range r.separate() {
		all = append(all, r.crashes[i].Upstream)
	}
	return all
}

// Expire forgets old records. It returns the quarantines that have ended.
func (l *List) Expire(now int64) (c []Change) {
	for _, d := range slices.Sorted(maps.Keys(l.records)) {
		if r := l.records[d]; r.expired(now) {
			if r.quarantinedAt != 0 {
				c = append(c, Change{d, false})
			}
			delete(l.records, d)
		}
	}
	return c
}

// Clone returns a copy that is unaffected by later changes.
func (l *List) Clone() List {
	c := List{records: make(map[Digest]*record, len(l.records))}
	for d, r := range l.records {
		x := *r
		x.crashes = slices.Clone(r.crashes)
		c.records[d] = &x
	}
	return c
}
