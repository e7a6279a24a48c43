package dispatcher

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"hornbeamstream.example/core/steerer"
)

// The simulation is a discrete event simulation of callers, instances and upstreams
// on a virtual clock. An upstream caches recent keys, which makes requests for them
// faster, has slots and a bounded queue, and reports its load with each answer.

// simRegion is a region with its upstreams and callers.
type simRegion struct {
	upstreams int
	// rate is the mean number of requests per second. The actual rate is a sine wave
	// with the relative amplitude swing.
	rate, swing, phase float64
	keys               int
}

// scenario is a deployment with its load and faults.
type scenario struct {
	name      string
	regions   []simRegion
	slots     int
	cacheSize int
	coldTime  time.Duration
	aim       time.Duration
	timeout   time.Duration
	duration  time.Duration
	// countFrom is the time from which requests are counted.
	countFrom time.Duration
	// onTick is called every 100 ms to change the upstreams.
	onTick func(m *simulation, now time.Duration)
	// instances is the number of instances in each region, 3 if it is 0.
	instances int
	// rateFactor multiplies the rate of all regions.
	rateFactor func(now time.Duration) float64
	// sharedKeys means that the callers of all regions request the same keys.
	sharedKeys bool
	// partitioned reports whether two regions cannot reach each other.
	partitioned func(a, b int, now time.Duration) bool
}

const simDialTimeout = 600 * time.Millisecond

// simUpstream is a simulated upstream.
type simUpstream struct {
	index, region int
	registration  steerer.Upstream
	running       int
	// incoming is the number of requests on their way to the upstream.
	incoming int
	// pendingKeys counts the incoming, waiting and running requests of each key.
	pendingKeys map[uint64]int
	queue       []*simRequest
	cachedKeys  []uint64
	slowdown    float64
	down        bool
	// failing means that it accepts requests and fails all of them.
	failing bool
	// pausedUntil is the end of the pause that the upstream asks all instances for.
	pausedUntil int64
	// pauseSentAt is when each instance, by region and index, was first told of the
	// pause.
	pauseSentAt map[[2]int]int64
	// afterPause counts the requests of each instance that arrived during the pause,
	// more than half a second after the instance was told of it.
	afterPause     map[[2]int]int
	runs, coldRuns int
	// arrivals counts requests by second.
	arrivals map[int64]int
	// limit is the request rate that its answers state, 0 for none. limitedAt is when
	// it was first stated.
	limit     float64
	limitedAt int64
	// limitSentAt is when each instance first got an answer with the limit,
	// limitedArrivals are the requests since limitedAt.
	limitSentAt     map[[2]int]int64
	limitedArrivals []simArrival
}

// simArrival is the arrival of a request of an instance, by region and index.
type simArrival struct {
	at       int64
	instance [2]int
}

// simRequest is a simulated request.
type simRequest struct {
	region, instance    int
	key                 uint64
	createdAt, deadline int64
	sentAt              int64
	upstream            *simUpstream
	attempt             int
	// sends counts the exchanges, ended is the number of the last one that has ended.
	sends, ended int
	// limit is the limit in the answer, 0 for none.
	limit float64
	// done informs the policy of the result of an exchange.
	done func(res Result, l Load, took time.Duration, now int64)
}

// policy is a load balancing policy.
type policy interface {
	// choose returns the index of an upstream, or -1 and the delay after which the
	// caller may retry.
	choose(m *simulation, r *simRequest, now int64) (int, time.Duration)
}

// tally counts the outcomes of requests as seen by callers.
type tally struct {
	requests, inAim, late, refused, failed int
	remote                                 int
	score                                  float64
}

func (t tally) String() string {
	share := func(n int) float64 { return 100 * float64(n) / float64(max(1, t.requests)) }
	return fmt.Sprintf("in aim %5.1f%%  late %5.1f%%  refused %5.1f%%  failed %5.1f%%  other region %5.1f%%",
		share(t.inAim), share(t.late), share(t.refused), share(t.failed), share(t.remote))
}

// lateScore is the score of a late answer. An answer within the aim scores 1.
const lateScore = 0.2

type event struct {
	at   int64
	seq  int
	fire func(now int64)
}

// events is a heap of scheduled events, ordered by time and then by insertion.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (s *scenario) instancesPerRegion() int {
	if s.instances > 0 {
		return s.instances
	}
	return 3
}

type simulation struct {
	scenario
	rng        *rand.Rand
	upstreams  []*simUpstream
	policy     policy
	eventQueue events
	seq        int
	tally      tally
	end        bool
	// restartedAt is when instances, by region and index, were last restarted.
	restartedAt map[[2]int]int64
}

// simulate runs a scenario with a policy.
func simulate(s scenario, p policy, seed uint64) *simulation {
	m := &simulation{scenario: s, policy: p, restartedAt: map[[2]int]int64{}, rng: rand.New(rand.NewPCG(seed, 1))}
	for r, region := range s.regions {
		for range region.upstreams {
			i := len(m.upstreams)
			m.upstreams = append(m.upstreams, &simUpstream{
				index: i, region: r, slowdown: 1, arrivals: map[int64]int{}, pendingKeys: map[uint64]int{}, pauseSentAt: map[[2]int]int64{}, limitSentAt: map[[2]int]int64{}, afterPause: map[[2]int]int{},
				registration: steerer.Upstream{ID: fmt.Sprintf("u%02d", i), Service: "s", Address: fmt.Sprint(i), Domain: domainName(r), Slots: s.slots},
			})
		}
	}
	for r := range s.regions {
		m.scheduleArrival(r, 1)
	}
	if s.onTick != nil {
		m.tick(0)
	}
	for len(m.eventQueue) > 0 {
		e := heap.Pop(&m.eventQueue).(event)
		if e.at > int64(s.duration) {
			break
		}
		e.fire(e.at)
	}
	return m
}

func domainName(region int) string { return fmt.Sprintf("r%d-a", region) }

func (m *simulation) schedule(at int64, fire func(now int64)) {
	m.seq++
	heap.Push(&m.eventQueue, event{at, m.seq, fire})
}

func (m *simulation) tick(now int64) {
	m.onTick(m, time.Duration(now))
	m.schedule(now+int64(100*time.Millisecond), m.tick)
}

// scheduleArrival schedules the next request of a region.
func (m *simulation) scheduleArrival(region int, now int64) {
	r := m.regions[region]
	const period = 36.0 // seconds
	rate := r.rate * (1 + r.swing*math.Sin(2*math.Pi*(float64(now)/1e9/period+r.phase)))
	if m.rateFactor != nil {
		rate *= m.rateFactor(time.Duration(now))
	}
	next := now + int64(m.rng.ExpFloat64()/max(rate, 0.1)*1e9)
	m.schedule(next, func(now int64) {
		q := &simRequest{
			region: region, instance: m.rng.IntN(m.instancesPerRegion()),
			key:       m.keyPrefix(region) | uint64(m.rng.IntN(r.keys)) + 1,
			createdAt: now, deadline: now + int64(m.timeout),
		}
		if m.counted(q) {
			m.tally.requests++
		}
		m.send(q, now)
		m.scheduleArrival(region, now)
	})
}

// keyPrefix returns the bits that the keys of a region have in common.
func (m *simulation) keyPrefix(region int) uint64 {
	if m.sharedKeys {
		return 0
	}
	return uint64(region) << 32
}

func (m *simulation) counted(q *simRequest) bool { return q.createdAt >= int64(m.countFrom) }

func (m *simulation) send(q *simRequest, now int64) {
	i, retryAfter := m.policy.choose(m, q, now)
	if i < 0 {
		m.refuse(q, retryAfter, now)
		return
	}
	u := m.upstreams[i]
	q.upstream, q.sentAt = u, now
	sends := q.sends + 1
	q.sends = sends
	u.incoming++
	u.pendingKeys[q.key]++
	m.schedule(q.deadline, func(now int64) { m.expire(q, sends, now) })
	if m.partitioned != nil && m.partitioned(q.region, u.region, time.Duration(now)) {
		m.schedule(now+int64(simDialTimeout), func(now int64) { m.failDial(q, now) })
		return
	}
	m.schedule(now+m.delay(q.region, u.region), func(now int64) { m.deliver(q, now) })
}

// failDial ends an exchange with a dial timeout.
func (m *simulation) failDial(q *simRequest, now int64) {
	q.upstream.incoming--
	q.upstream.pendingKeys[q.key]--
	if q.ended >= q.sends {
		return
	}
	q.ended = q.sends
	q.done(DialTimeout, Load{}, simDialTimeout, now)
	m.finish(q, DialTimeout, now)
}

// delay returns a random one-way delay between regions in nanoseconds.
func (m *simulation) delay(a, b int) int64 {
	d := 3500 * time.Microsecond
	if a != b {
		d = 20 * time.Millisecond
	}
	return int64(float64(d) * (1 + 0.3*m.rng.Float64()))
}

// refuse refuses a request. The caller retries it once if the delay is short enough.
func (m *simulation) refuse(q *simRequest, retryAfter time.Duration, now int64) {
	if q.attempt == 0 && retryAfter < time.Duration(q.deadline-now)/3 {
		q.attempt++
		m.schedule(now+int64(retryAfter), func(now int64) { m.send(q, now) })
		return
	}
	if m.counted(q) {
		m.tally.refused++
	}
}

// deliver handles the arrival of a request at its upstream.
func (m *simulation) deliver(q *simRequest, now int64) {
	u := q.upstream
	u.incoming--
	u.arrivals[now/1e9]++
	if u.limitedAt != 0 {
		u.limitedArrivals = append(u.limitedArrivals, simArrival{now, [2]int{q.region, q.instance}})
	}
	switch {
	case u.down:
		m.respond(q, Unreachable, now)
	case u.failing:
		m.respond(q, Failed, now)
	case now < u.pausedUntil:
		instance := [2]int{q.region, q.instance}
		if at, ok := u.pauseSentAt[instance]; ok && now-at > int64(500*time.Millisecond) {
			u.afterPause[instance]++
		} else if !ok {
			u.pauseSentAt[instance] = now
		}
		m.respond(q, PauseRequested, now)
	case u.running < m.slots:
		m.start(u, q, now)
	case len(u.queue) < 3*m.slots:
		u.queue = append(u.queue, q)
	default:
		m.respond(q, Shed, now)
	}
}

// start runs a request in a free slot. When it ends, queued requests follow.
func (m *simulation) start(u *simUpstream, q *simRequest, now int64) {
	u.running++
	u.runs++
	runTime := float64(m.coldTime) * u.slowdown * (1 + 0.15*m.rng.NormFloat64())
	if u.hasCached(q.key) {
		runTime *= 0.3
	} else {
		u.coldRuns++
	}
	m.schedule(now+int64(max(runTime, 1e6)), func(now int64) {
		u.running--
		u.cacheKey(q.key, m.cacheSize)
		if u.down {
			m.respond(q, Failed, now)
			return
		}
		m.respond(q, Answered, now)
		for len(u.queue) > 0 && u.running < m.slots {
			next := u.queue[0]
			u.queue = u.queue[1:]
			if now < next.deadline {
				m.start(u, next, now)
			} else {
				m.respond(next, Shed, now)
			}
		}
	})
}

func (u *simUpstream) hasCached(key uint64) bool {
	for _, k := range u.cachedKeys {
		if k == key {
			return true
		}
	}
	return false
}

// cacheKey adds a key to the cache, which evicts the least recently used one beyond
// size.
func (u *simUpstream) cacheKey(key uint64, size int) {
	for i, k := range u.cachedKeys {
		if k == key {
			u.cachedKeys = append(u.cachedKeys[:i], u.cachedKeys[i+1:]...)
			break
		}
	}
	u.cachedKeys = append(u.cachedKeys, key)
	if len(u.cachedKeys) > size {
		u.cachedKeys = u.cachedKeys[1:]
	}
}

// respond sends a response, which ends the exchange when it arrives.
func (m *simulation) respond(q *simRequest, res Result, now int64) {
	u := q.upstream
	u.pendingKeys[q.key]--
	l := Load{Running: u.running, Waiting: len(u.queue), Slots: m.slots}
	sends := q.sends
	limit := 0.0
	if res == Answered || res == Shed {
		limit = u.limit
	}
	if limit > 0 && u.limitedAt == 0 {
		u.limitedAt = now
	}
	m.schedule(now+m.delay(u.region, q.region), func(now int64) {
		if q.ended >= sends {
			return
		}
		q.ended = sends
		q.limit = limit
		instance := [2]int{q.region, q.instance}
		if limit > 0 && u.limitSentAt[instance] == 0 && q.sentAt > m.restartedAt[instance] {
			u.limitSentAt[instance] = now
		}
		if q.done != nil {
			q.done(res, l, time.Duration(now-q.sentAt), now)
		}
		m.finish(q, res, now)
	})
}

// expire ends an exchange at the request's deadline unless it has ended before.
func (m *simulation) expire(q *simRequest, sends int, now int64) {
	if q.ended >= sends {
		return
	}
	q.ended = sends
	if q.done != nil {
		q.done(DeadlineExceeded, Load{}, time.Duration(now-q.sentAt), now)
	}
	if m.counted(q) {
		m.tally.failed++
	}
}

// finish retries a failed request once or counts its outcome.
func (m *simulation) finish(q *simRequest, res Result, now int64) {
	if res != Answered && q.attempt == 0 && now < q.deadline {
		q.attempt++
		m.send(q, now)
		return
	}
	if !m.counted(q) {
		return
	}
	if q.upstream.region != q.region {
		m.tally.remote++
	}
	took := time.Duration(now - q.createdAt)
	switch {
	case res == Shed, res == PauseRequested:
		m.tally.refused++
	case res != Answered || now > q.deadline:
		m.tally.failed++
	case took <= m.aim:
		m.tally.inAim++
		m.tally.score++
	default:
		m.tally.late++
		m.tally.score += lateScore
	}
}

// meanScore returns the mean score per request.
func (t tally) meanScore() float64 { return t.score / float64(max(1, t.requests)) }
