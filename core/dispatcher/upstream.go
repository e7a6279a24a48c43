package dispatcher

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"hornbeamstream.example/core/steerer"
)

const (
	// Round trips that are expected within a failure domain, a region, and
	// between regions. They order upstreams only; real delays are not assumed.
	domainTrip = time.Millisecond
	regionTrip = 8 * time.Millisecond
	remoteTrip = 42 * time.Millisecond
	// reportTime is how long an upstream's report of its load counts in full.
	reportTime = 300 * time.Millisecond
	// forgetTime halves what was learned about speed and failures, so that an
	// upstream that got no requests is tried again.
	forgetTime = 3 * time.Second
	// silenceTime is how long an upstream with requests in flight may stay
	// silent beyond their expected time before others are preferred.
	silenceTime = 400 * time.Millisecond
	// Bounds of the time for which an unreachable upstream is avoided.
	minDown = 400 * time.Millisecond
	maxDown = 3 * time.Second
	// slowest bounds the learned slowness of an upstream.
	slowest = 12
)

// Upstream is one incarnation with what was learned about it.
type Upstream struct {
	steerer.Upstream
	Region string
	// Trip is the expected round trip from this instance.
	RTT  time.Duration
	seed uint64

	closed atomic.Bool
	// leaving tells that the upstream has said that it leaves.
	leaving  atomic.Bool
	standing *standing
	doubtful atomic.Bool
	inflight atomic.Int64
	// conns is this instance's share of the upstream's connections.
	conns atomic.Int64
	// coldUntil and coldEvery pace requests to a cold upstream: next is the time
	// of the next one. A coldEvery of 0 gives none.
	coldUntil, coldEvery, next atomic.Int64

	// usage is the mean load of one slot of the service's upstreams in the region,
	// as they report it.
	usage *average
	// path is the way to the upstream's failure domain.
	path *path

	mu sync.Mutex
	// others is the load by other instances at reported.
	others   float64
	reported int64
	// slow is the time that the upstream takes relative to the route's usual
	// one, failing the share of failed requests, both as of learned.
	slow, failing float64
	learned       int64
	// answered is when the last answer came, or the first request was sent after
	// all earlier ones had ended.
	answered int64
	// downUntil is when an unreachable upstream is tried again.
	downUntil int64
	downs     int
	warm      keys
}

func newUpstream(u steerer.Upstream, region string, self steerer.Instance, usage *average, way *path) *Upstream {
	live := &Upstream{Upstream: u, Region: region, RTT: remoteTrip, usage: usage, path: way, standing: &standing{}, slow: 1, seed: xxhash.Sum64String(u.ID)}
	switch {
	case u.Domain == self.Domain:
		live.RTT = domainTrip
	case region == self.Region:
		live.RTT = regionTrip
	}
	return live
}

// update takes over what a registration says now.
func (u *Upstream) update(r steerer.Upstream, coldRate float64, conns int, now int64) {
	u.conns.Store(int64(conns))
	u.doubtful.Store(r.Doubtful)
	every := int64(0)
	if coldRate > 0 {
		every = int64(float64(time.Second) / coldRate)
	}
	u.coldEvery.Store(every)
	u.MarkCold(r.ColdUntil, now)
}

// Cool notes until when the upstream is cold. A time that has passed changes
// nothing.
func (u *Upstream) MarkCold(until, now int64) {
	if until <= now {
		return
	}
	for {
		old := u.coldUntil.Load()
		if old >= until || u.coldUntil.CompareAndSwap(old, until) {
			return
		}
	}
}

// Closed tells that the upstream takes no new requests.
func (u *Upstream) Closed() bool { return u.closed.Load() || u.leaving.Load() }

// Conns is the number of connections that this instance may have open.
func (u *Upstream) Conns() int { return int(u.conns.Load()) }

// Inflight is the number of this instance's requests at the upstream.
func (u *Upstream) Inflight() int { return int(u.inflight.Load()) }

// remote tells that the upstream is in another region than this instance.
func (u *Upstream) remote() bool { return u.RTT == remoteTrip }

func (u *Upstream) cold(now int64) bool { return now < u.coldUntil.Load() }

// admit reports whether one more request may be sent; a cold upstream takes
// few, at even intervals.
func (u *Upstream) admit(now int64) bool {
	if !u.Available(now) {
		return false
	}
	if !u.cold(now) {
		return true
	}
	every := u.coldEvery.Load()
	if every == 0 {
		return false
	}
	for {
		next := u.next.Load()
		if now < next {
			return false
		}
		if u.next.CompareAndSwap(next, now+every) {
			return true
		}
	}
}

// state is what Choose weighs.
type state struct {
	// load is the number of requests at the upstream, those of others estimated.
	load float64
	// report is the age of the upstream's last report.
	report        time.Duration
	slow, failing float64
	// late is how long the upstream has been silent beyond what is usual.
	late time.Duration
	down bool
	warm bool
}

func (u *Upstream) state(now int64, key uint64) state {
	u.mu.Lock()
	defer u.mu.Unlock()
	fade := math.Exp2(-float64(now-u.learned) / float64(forgetTime))
	s := state{
		load:    float64(u.inflight.Load()) + u.othersAt(now),
		report:  time.Duration(now - u.reported),
		slow:    1 + (u.slow-1)*fade,
		failing: u.failing * fade,
		down:    now < u.downUntil || u.doubtful.Load(),
		warm:    key != 0 && u.warm.has(key),
	}
	if u.inflight.Load() > 0 {
		s.late = time.Duration(now - u.answered)
	}
	return s
}

// othersAt is the estimated load by other instances. What an old report says
// gives way to the usual load of the upstreams of the service and region. The
// upstream is locked.
func (u *Upstream) othersAt(now int64) float64 {
	weight := reportFade(now - u.reported)
	usual := max(0, u.usage.value()*float64(u.Slots)-float64(u.inflight.Load()))
	return weight*u.others + (1-weight)*usual
}

// usageWeight is the number of reports over which the usage of a service's
// upstreams is taken.
const usageWeight = 24

// reportFade is the weight of a report of the given age.
func reportFade(age int64) float64 {
	if age <= int64(reportTime) {
		return 1
	}
	return float64(reportTime) / float64(age)
}

// enter counts a request that is about to be sent.
func (u *Upstream) enter(now int64) {
	if u.inflight.Add(1) == 1 {
		u.mu.Lock()
		u.answered = now
		u.mu.Unlock()
	}
}

// Load is an upstream's own report: requests that run and wait, and slots.
type Load struct{ Running, Waiting, Slots int }

// report takes over a report that came with an answer to one of own requests,
// which may be counted in it.
func (u *Upstream) report(l Load, now int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.others = max(0, float64(l.Running+l.Waiting)-float64(u.inflight.Load()))
	u.reported = now
	u.usage.add(float64(l.Running+l.Waiting)/float64(max(1, l.Slots)), usageWeight)
}

// learn adds one sample to the speed and the failures.
func (u *Upstream) learn(now int64, slow float64, failed bool) {
	const weight = 0.2
	u.mu.Lock()
	defer u.mu.Unlock()
	fade := math.Exp2(-float64(now-u.learned) / float64(forgetTime))
	u.slow = 1 + (u.slow-1)*fade
	u.failing *= fade
	u.learned = now
	sample := 0.0
	if failed {
		sample = 1
	}
	if slow > 0 {
		u.slow += weight * (min(slow, slowest) - u.slow)
	}
	u.failing += weight * (sample - u.failing)
	u.answered = now
}

// reached notes that the upstream can be reached.
func (u *Upstream) reached(key uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.downs, u.downUntil = 0, 0
	if key != 0 {
		u.warm.add(key)
	}
}

// unreachable avoids the upstream for a time that grows with each failure.
func (u *Upstream) unreachable(now int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now < u.downUntil {
		return
	}
	u.downUntil = now + int64(min(minDown<<u.downs, maxDown))
	u.downs = min(u.downs+1, 4)
	// A process that comes back knows no keys.
	u.warm = keys{}
}

// keys remembers the keys that an upstream has run lately, at most two
// generations of keysSize.
type keys struct{ now, before map[uint64]struct{} }

// keysSize is about half of the keys that a small upstream remembers.
const keysSize = 64

func (k *keys) has(key uint64) bool {
	if _, ok := k.now[key]; ok {
		return true
	}
	_, ok := k.before[key]
	return ok
}

func (k *keys) add(key uint64) {
	if _, ok := k.now[key]; ok {
		return
	}
	if k.now == nil || len(k.now) >= keysSize {
		k.now, k.before = make(map[uint64]struct{}, keysSize), k.now
	}
	k.now[key] = struct{}{}
}
