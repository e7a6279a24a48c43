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
	// Nominal round trips within a failure domain, within a region, and between
	// regions. They only rank upstreams by distance; real round trips may differ.
	sameDomainRTT  = time.Millisecond
	sameRegionRTT  = 8 * time.Millisecond
	crossRegionRTT = 42 * time.Millisecond
	// reportFreshTime is the age up to which a load report has full weight.
	reportFreshTime = 300 * time.Millisecond
	// estimateHalfLife is the half-life of the estimated slowdown and failure rate,
	// so that an upstream that got no requests is tried again.
	estimateHalfLife = 3 * time.Second
	// maxSilence is how long an upstream with requests in flight may send no answer,
	// beyond their expected latency, before others are preferred.
	maxSilence = 400 * time.Millisecond
	// Bounds of the exponential backoff from an unreachable upstream.
	minDownTime = 400 * time.Millisecond
	maxDownTime = 3 * time.Second
	// maxSlowdown bounds the slowdown sample of one exchange.
	maxSlowdown = 12
)

// Upstream is one incarnation of an upstream with its estimated state.
type Upstream struct {
	steerer.Upstream
	Region string
	// RTT is the nominal round trip from this instance.
	RTT time.Duration
	// seed is the hash of the upstream's ID, from which its rank for a key derives.
	seed uint64

	closed atomic.Bool
	// draining is set once the upstream has announced its shutdown.
	draining atomic.Bool
	flow     *flowControl
	// peers ranks this instance among those that share the upstream's bounds.
	peers    atomic.Pointer[peerSet]
	doubtful atomic.Bool
	inflight atomic.Int64
	// maxConns is this instance's share of the connections to the upstream.
	maxConns atomic.Int64
	// Until coldUntil the upstream is cold and gets one request per coldInterval,
	// the next one at nextCold. If coldInterval is 0, it gets none.
	coldUntil, coldInterval, nextCold atomic.Int64

	// slotLoad is the mean reported load per slot of the service's upstreams in the
	// region.
	slotLoad *movingAverage
	// path is the network path to the upstream's failure domain.
	path *path
	ramp ramp

	mu sync.Mutex
	// otherLoad is the load from other instances at reportedAt.
	otherLoad  float64
	reportedAt int64
	// slowness is that of the last load report.
	slowness float64
	// slowdown is the service time relative to the estimate for the route,
	// failureRate the share of failed requests, both as of estimatedAt.
	slowdown, failureRate float64
	estimatedAt           int64
	// lastAnswer is the time of the last exchange that gave a sample, or of the
	// first request after the upstream was idle.
	lastAnswer int64
	// downUntil is when an unreachable upstream is tried again.
	downUntil int64
	downCount int
	warm      recentKeys
}

func newUpstream(u steerer.Upstream, region string, self steerer.Instance, load *movingAverage, p *path) *Upstream {
	upstream := &Upstream{Upstream: u, Region: region, RTT: crossRegionRTT, slotLoad: load, path: p, flow: &flowControl{}, slowdown: 1, seed: xxhash.Sum64String(u.ID)}
	switch {
	case u.Domain == self.Domain:
		upstream.RTT = sameDomainRTT
	case region == self.Region:
		upstream.RTT = sameRegionRTT
	}
	return upstream
}

// update applies the current registration of the upstream.
func (u *Upstream) update(r steerer.Upstream, coldRate float64, maxConns int, now int64) {
	u.maxConns.Store(int64(maxConns))
	u.doubtful.Store(r.Doubtful)
	interval := int64(0)
	if coldRate > 0 {
		interval = int64(float64(time.Second) / coldRate)
	}
	u.coldInterval.Store(interval)
	u.MarkCold(r.ColdUntil, now)
}

// MarkCold records until when the upstream is cold. It never shortens a cold period,
// and a time in the past has no effect.
func (u *Upstream) MarkCold(until, now int64) {
	if until <= now {
		return
	}
	for {
		old := u.coldUntil.Load()
		if old >= until {
			return
		}
		if u.coldUntil.CompareAndSwap(old, until) {
			if old <= now {
				u.ramp.start(now)
			}
			return
		}
	}
}

// Closed reports whether the upstream accepts no new requests for good, because it
// is draining or has left the view.
func (u *Upstream) Closed() bool { return u.closed.Load() || u.draining.Load() }

// Conns returns the number of connections that this instance may have open to the
// upstream.
func (u *Upstream) Conns() int { return int(u.maxConns.Load()) }

// Inflight returns the number of this instance's requests in flight.
func (u *Upstream) Inflight() int { return int(u.inflight.Load()) }

// remote reports whether the upstream is in another region than this instance.
func (u *Upstream) remote() bool { return u.RTT == crossRegionRTT }

func (u *Upstream) cold(now int64) bool { return now < u.coldUntil.Load() }

// admit reports whether one more request may be sent. Requests to a cold upstream
// are limited to one per coldInterval, those under a limit to this instance's share.
func (u *Upstream) admit(now int64) bool {
	if !u.Available(now) {
		return false
	}
	return u.admitCold(now) && u.useLimit(now)
}

// admitCold reports whether one more request may be sent as far as the upstream's slow
// start is concerned.
func (u *Upstream) admitCold(now int64) bool {
	if !u.cold(now) {
		return true
	}
	interval := u.coldInterval.Load()
	if interval == 0 {
		return false
	}
	for {
		next := u.nextCold.Load()
		if now < next {
			return false
		}
		if u.nextCold.CompareAndSwap(next, now+interval) {
			return true
		}
	}
}

// snapshot is the state of an upstream at the time of a request, as Choose scores it.
type snapshot struct {
	// load is the number of requests at the upstream. Those of other instances are
	// estimated.
	load float64
	// reportAge is the age of the upstream's last load report.
	reportAge             time.Duration
	slowdown, failureRate float64
	// silence is the time since lastAnswer, 0 if no request is in flight.
	silence time.Duration
	down    bool
	// sharesMachine reports whether the upstream says how slow its machine is.
	sharesMachine bool
	// warm reports whether this instance has sent the request's key recently.
	warm bool
}

func (u *Upstream) snapshot(now int64, key uint64) snapshot {
	u.mu.Lock()
	defer u.mu.Unlock()
	decay := math.Exp2(-float64(now-u.estimatedAt) / float64(estimateHalfLife))
	s := snapshot{
		load:        float64(u.inflight.Load()) + u.otherLoadAt(now),
		reportAge:   time.Duration(now - u.reportedAt),
		slowdown:    max(1+(u.slowdown-1)*decay, u.slownessAt(now)),
		failureRate: u.failureRate * decay,
		down:        now < u.downUntil || u.doubtful.Load(),
		warm:        key != 0 && u.warm.has(key),

		sharesMachine: u.slowness > 0,
	}
	if u.inflight.Load() > 0 {
		s.silence = time.Duration(now - u.lastAnswer)
	}
	return s
}

// slownessHalfLife is the half-life of what an upstream has said of its machine. Neighbors
// come and go several times a second.
const slownessHalfLife = 150 * time.Millisecond

// slownessAt returns what the upstream's last report says of its machine's speed, which soon
// says nothing any more; 0 if it says nothing. The caller must hold u.mu.
func (u *Upstream) slownessAt(now int64) float64 {
	if u.slowness <= 1 {
		return 0
	}
	return 1 + (u.slowness-1)*math.Exp2(-float64(now-u.reportedAt)/float64(slownessHalfLife))
}

// otherLoadAt estimates the load from other instances. As the last report ages, the
// estimate shifts to the mean load of the service's upstreams in the region. The
// caller must hold u.mu.
func (u *Upstream) otherLoadAt(now int64) float64 {
	weight := reportWeight(now - u.reportedAt)
	mean := max(0, u.slotLoad.value()*float64(u.Slots)-float64(u.inflight.Load()))
	return weight*u.otherLoad + (1-weight)*mean
}

// slotLoadWeight is the number of load reports that the mean load per slot averages
// over.
const slotLoadWeight = 24

// reportWeight returns the weight of a load report of the given age.
func reportWeight(age int64) float64 {
	if age <= int64(reportFreshTime) {
		return 1
	}
	return float64(reportFreshTime) / float64(age)
}

// begin counts a request that is about to be sent.
func (u *Upstream) begin(now int64) {
	if u.inflight.Add(1) == 1 {
		u.mu.Lock()
		u.lastAnswer = now
		u.mu.Unlock()
	}
}

// Load is an upstream's report of its running and waiting requests and its slots.
type Load struct {
	Running, Waiting, Slots int
	// Slowness is how long work takes on the upstream's machine at the moment, relative to
	// the usual; 0 if the upstream does not say.
	Slowness float64
}

// report records a load report that came with an answer. The instance's own requests
// in flight, which the report may count, are subtracted.
func (u *Upstream) report(l Load, now int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.otherLoad = max(0, float64(l.Running+l.Waiting)-float64(u.inflight.Load()))
	u.slowness, u.reportedAt = l.Slowness, now
	perSlot := float64(l.Running+l.Waiting) / float64(max(1, l.Slots))
	u.slotLoad.add(perSlot, slotLoadWeight)
	u.ramp.observeLoad(perSlot)
}

// observe adds a sample to the estimated slowdown and failure rate. A slowdown of 0
// is no sample.
func (u *Upstream) observe(now int64, slowdown float64, failed bool) {
	const weight = 0.2
	u.mu.Lock()
	defer u.mu.Unlock()
	decay := math.Exp2(-float64(now-u.estimatedAt) / float64(estimateHalfLife))
	u.slowdown = 1 + (u.slowdown-1)*decay
	u.failureRate *= decay
	u.estimatedAt = now
	sample := 0.0
	if failed {
		sample = 1
	}
	if slowdown > 0 {
		u.slowdown += weight * (min(slowdown, maxSlowdown) - u.slowdown)
	}
	u.failureRate += weight * (sample - u.failureRate)
	u.lastAnswer = now
}

// markReachable resets the backoff and records the key as cached by the upstream.
func (u *Upstream) markReachable(key uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.downCount, u.downUntil = 0, 0
	if key != 0 {
		u.warm.add(key)
	}
}

// MarkUnreachable avoids the upstream with exponential backoff.
func (u *Upstream) MarkUnreachable(now int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now < u.downUntil {
		return
	}
	u.downUntil = now + int64(min(minDownTime<<u.downCount, maxDownTime))
	u.downCount = min(u.downCount+1, 4)
	// A restarted process has an empty cache.
	u.warm = recentKeys{}
}

// Unreachable reports whether the upstream is being avoided because it could not be
// reached.
func (u *Upstream) Unreachable(now int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now < u.downUntil
}

// recentKeys is a set of the keys that an upstream has run recently, in two
// generations of up to recentKeysSize keys.
type recentKeys struct{ current, previous map[uint64]struct{} }

// recentKeysSize is about half of the keys that a small upstream caches.
const recentKeysSize = 64

func (k *recentKeys) has(key uint64) bool {
	if _, ok := k.current[key]; ok {
		return true
	}
	_, ok := k.previous[key]
	return ok
}

func (k *recentKeys) add(key uint64) {
	if _, ok := k.current[key]; ok {
		return
	}
	if k.current == nil || len(k.current) >= recentKeysSize {
		k.current, k.previous = make(map[uint64]struct{}, recentKeysSize), k.current
	}
	k.current[key] = struct{}{}
}
