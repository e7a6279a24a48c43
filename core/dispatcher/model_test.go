package dispatcher

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"hornbeamstream.example/core/steerer"
)

// The model plays requests, instances and upstreams on a virtual clock. An
// upstream runs a request faster when it has run its key lately, has slots and a
// bounded queue, and reports its load with each answer.

// modelRegion is a region with its upstreams and its callers.
type modelRegion struct {
	upstreams int
	// rate is the mean number of requests a second, which swings by swing.
	rate, swing, phase float64
	keys               int
}

// scenario is a pattern of load.
type scenario struct {
	name      string
	regions   []modelRegion
	slots     int
	remembers int
	work      time.Duration
	aim       time.Duration
	timeout   time.Duration
	length    time.Duration
	// from is when counting begins.
	from time.Duration
	// change edits the upstreams as time goes by.
	change func(m *model, now time.Duration)
	// instances is the number of instances of a region, 3 if it is 0.
	instances int
	// burst multiplies the rate.
	burst func(now time.Duration) float64
	// shared tells that the callers of all regions ask for the same objects.
	shared bool
	// cut tells whether two regions can't reach each other.
	cut func(a, b int, now time.Duration) bool
}

// modelDial is the time after which the opening of a connection is given up.
const modelDial = 600 * time.Millisecond

// modelUpstream is one upstream.
type modelUpstream struct {
	index, region int
	up            steerer.Upstream
	running       int
	// coming counts requests on their way here, pending the keys that run, wait
	// or come.
	coming  int
	pending map[uint64]int
	queue   []*modelRequest
	recent  []uint64
	slow    float64
	dead    bool
	// pausedUntil is the end of the pause that the upstream asks all instances
	// for, asked has the instances that know, late the requests that reached it
	// from these more than half a second later.
	pausedUntil   int64
	asked         map[[2]int]int64
	late          map[[2]int]int
	runs, coldRun int
	// perSecond counts arrivals by second.
	perSecond map[int64]int
}

// modelRequest is a request on its way.
type modelRequest struct {
	region, instance int
	key              uint64
	began, deadline  int64
	sent             int64
	upstream         *modelUpstream
	attempt          int
	// sends counts the exchanges, ended is the last one that is over.
	sends, ended int
	// done tells the policy how the exchange ended.
	done func(res Result, l Load, took time.Duration, now int64)
}

// policy is a way to choose upstreams.
type policy interface {
	// choose returns the index of an upstream, or -1 and when to come back.
	choose(m *model, r *modelRequest, now int64) (int, time.Duration)
}

// tally sums up what callers saw.
type tally struct {
	asked, inAim, late, refused, failed int
	remote                              int
	worth                               float64
}

func (t tally) String() string {
	share := func(n int) float64 { return 100 * float64(n) / float64(max(1, t.asked)) }
	return fmt.Sprintf("in aim %5.1f%%  late %5.1f%%  refused %5.1f%%  failed %5.1f%%  other region %5.1f%%",
		share(t.inAim), share(t.late), share(t.refused), share(t.failed), share(t.remote))
}

// lateWorth is the worth of a late answer relative to one within the aim.
const lateWorth = 0.2

type event struct {
	at  int64
	seq int
	run func(now int64)
}

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

func (s *scenario) perRegion() int {
	if s.instances > 0 {
		return s.instances
	}
	return 3
}

type model struct {
	scenario
	random    *rand.Rand
	upstreams []*modelUpstream
	policy    policy
	queue     events
	seq       int
	tally     tally
	end       bool
}

// play runs a scenario with a policy.
func play(s scenario, p policy, seed uint64) *model {
	m := &model{scenario: s, policy: p, random: rand.New(rand.NewPCG(seed, 1))}
	for r, region := range s.regions {
		for range region.upstreams {
			i := len(m.upstreams)
			m.upstreams = append(m.upstreams, &modelUpstream{
				index: i, region: r, slow: 1, perSecond: map[int64]int{}, pending: map[uint64]int{}, asked: map[[2]int]int64{}, late: map[[2]int]int{},
				up: steerer.Upstream{ID: fmt.Sprintf("u%02d", i), Service: "s", Address: fmt.Sprint(i), Domain: domainName(r), Slots: s.slots},
			})
		}
	}
	for r := range s.regions {
		m.arrive(r, 1)
	}
	if s.change != nil {
		m.tickChange(0)
	}
	for len(m.queue) > 0 {
		e := heap.Pop(&m.queue).(event)
		if e.at > int64(s.length) {
			break
		}
		e.run(e.at)
	}
	return m
}

func domainName(region int) string { return fmt.Sprintf("r%d-a", region) }

func (m *model) at(t int64, run func(now int64)) {
	m.seq++
	heap.Push(&m.queue, event{t, m.seq, run})
}

func (m *model) tickChange(now int64) {
	m.change(m, time.Duration(now))
	m.at(now+int64(100*time.Millisecond), m.tickChange)
}

// arrive schedules the next request of a region.
func (m *model) arrive(region int, now int64) {
	r := m.regions[region]
	const period = 36.0
	rate := r.rate * (1 + r.swing*math.Sin(2*math.Pi*(float64(now)/1e9/period+r.phase)))
	if m.burst != nil {
		rate *= m.burst(time.Duration(now))
	}
	next := now + int64(m.random.ExpFloat64()/max(rate, 0.1)*1e9)
	m.at(next, func(now int64) {
		q := &modelRequest{
			region: region, instance: m.random.IntN(m.perRegion()),
			key:   m.keysOf(region) | uint64(m.random.IntN(r.keys)) + 1,
			began: now, deadline: now + int64(m.timeout),
		}
		if m.counted(q) {
			m.tally.asked++
		}
		m.send(q, now)
		m.arrive(region, now)
	})
}

// keysOf is what the keys of a region have in common.
func (m *model) keysOf(region int) uint64 {
	if m.shared {
		return 0
	}
	return uint64(region) << 32
}

func (m *model) counted(q *modelRequest) bool { return q.began >= int64(m.from) }

func (m *model) send(q *modelRequest, now int64) {
	i, comeBack := m.policy.choose(m, q, now)
	if i < 0 {
		m.refuse(q, comeBack, now)
		return
	}
	u := m.upstreams[i]
	q.upstream, q.sent = u, now
	sends := q.sends + 1
	q.sends = sends
	u.coming++
	u.pending[q.key]++
	m.at(q.deadline, func(now int64) { m.expire(q, sends, now) })
	if m.cut != nil && m.cut(q.region, u.region, time.Duration(now)) {
		m.at(now+int64(modelDial), func(now int64) { m.undial(q, now) })
		return
	}
	m.at(now+m.way(q.region, u.region), func(now int64) { m.reach(q, now) })
}

// undial ends an exchange whose connection could not be opened.
func (m *model) undial(q *modelRequest, now int64) {
	q.upstream.coming--
	q.upstream.pending[q.key]--
	if q.ended >= q.sends {
		return
	}
	q.ended = q.sends
	q.done(DialTimeout, Load{}, modelDial, now)
	m.settle(q, DialTimeout, now)
}

// way is the one-way delay between regions in nanoseconds.
func (m *model) way(a, b int) int64 {
	d := 3500 * time.Microsecond
	if a != b {
		d = 20 * time.Millisecond
	}
	return int64(float64(d) * (1 + 0.3*m.random.Float64()))
}

func (m *model) refuse(q *modelRequest, comeBack time.Duration, now int64) {
	if q.attempt == 0 && comeBack < time.Duration(q.deadline-now)/3 {
		q.attempt++
		m.at(now+int64(comeBack), func(now int64) { m.send(q, now) })
		return
	}
	if m.counted(q) {
		m.tally.refused++
	}
}

// reach is the arrival at an upstream.
func (m *model) reach(q *modelRequest, now int64) {
	u := q.upstream
	u.coming--
	u.perSecond[now/1e9]++
	switch {
	case u.dead:
		m.answer(q, Unreachable, now)
	case now < u.pausedUntil:
		who := [2]int{q.region, q.instance}
		if at, ok := u.asked[who]; ok && now-at > int64(500*time.Millisecond) {
			u.late[who]++
		} else if !ok {
			u.asked[who] = now
		}
		m.answer(q, PauseRequested, now)
	case u.running < m.slots:
		m.start(u, q, now)
	case len(u.queue) < 3*m.slots:
		u.queue = append(u.queue, q)
	default:
		m.answer(q, Shed, now)
	}
}

func (m *model) start(u *modelUpstream, q *modelRequest, now int64) {
	u.running++
	u.runs++
	work := float64(m.work) * u.slow * (1 + 0.15*m.random.NormFloat64())
	if u.knows(q.key) {
		work *= 0.3
	} else {
		u.coldRun++
	}
	m.at(now+int64(max(work, 1e6)), func(now int64) {
		u.running--
		u.remember(q.key, m.remembers)
		if u.dead {
			m.answer(q, Failed, now)
			return
		}
		m.answer(q, Answered, now)
		for len(u.queue) > 0 && u.running < m.slots {
			next := u.queue[0]
			u.queue = u.queue[1:]
			if now < next.deadline {
				m.start(u, next, now)
			} else {
				m.answer(next, Shed, now)
			}
		}
	})
}

func (u *modelUpstream) knows(key uint64) bool {
	for _, k := range u.recent {
		if k == key {
			return true
		}
	}
	return false
}

func (u *modelUpstream) remember(key uint64, most int) {
	for i, k := range u.recent {
		if k == key {
			u.recent = append(u.recent[:i], u.recent[i+1:]...)
			break
		}
	}
	u.recent = append(u.recent, key)
	if len(u.recent) > most {
		u.recent = u.recent[1:]
	}
}

// answer ends an exchange after the way back.
func (m *model) answer(q *modelRequest, res Result, now int64) {
	u := q.upstream
	u.pending[q.key]--
	l := Load{u.running, len(u.queue), m.slots}
	sends := q.sends
	m.at(now+m.way(u.region, q.region), func(now int64) {
		if q.ended >= sends {
			return
		}
		q.ended = sends
		if q.done != nil {
			q.done(res, l, time.Duration(now-q.sent), now)
		}
		m.settle(q, res, now)
	})
}

// expire ends an exchange that has not ended before the deadline.
func (m *model) expire(q *modelRequest, sends int, now int64) {
	if q.ended >= sends {
		return
	}
	q.ended = sends
	if q.done != nil {
		q.done(DeadlineExceeded, Load{}, time.Duration(now-q.sent), now)
	}
	if m.counted(q) {
		m.tally.failed++
	}
}

func (m *model) settle(q *modelRequest, res Result, now int64) {
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
	took := time.Duration(now - q.began)
	switch {
	case res == Shed, res == PauseRequested:
		m.tally.refused++
	case res != Answered || now > q.deadline:
		m.tally.failed++
	case took <= m.aim:
		m.tally.inAim++
		m.tally.worth++
	default:
		m.tally.late++
		m.tally.worth += lateWorth
	}
}

// share is the worth earned per request.
func (t tally) share() float64 { return t.worth / float64(max(1, t.asked)) }
