package dispatcher

import (
	"fmt"
	"math"
	"time"

	"hornbeamstream.example/core/steerer"
)

// dispatcherPolicy is the policy of this package, with one table per instance.
type dispatcherPolicy struct {
	builders [][]*Builder
	tables   [][]*Table
	// view, if set, edits the view that the instances get.
	view func(v *steerer.View)
	// minRampShare is that of the instances.
	minRampShare float64
	// gossipDelay is the time after which instances tell each other of limits, 0 if
	// they do not.
	gossipDelay time.Duration
	// observed has the latest observation of each upstream's limit.
	observed map[string]simObservation
}

func newDispatcherPolicy(s scenario) *dispatcherPolicy {
	p := &dispatcherPolicy{}
	domains := map[string]string{}
	for r := range s.regions {
		domains[domainName(r)] = fmt.Sprint("r", r)
	}
	for r := range s.regions {
		var bs []*Builder
		for i := range s.instancesPerRegion() {
			bs = append(bs, &Builder{Self: simInstance(r, i), Bounds: steerer.Bounds{ColdSlack: 5}, Regions: domains})
		}
		p.builders = append(p.builders, bs)
		p.tables = append(p.tables, make([]*Table, s.instancesPerRegion()))
	}
	return p
}

func simInstance(region, i int) steerer.Instance {
	return steerer.Instance{Name: fmt.Sprintf("i%d-%d", region, i), Domain: domainName(region), Region: fmt.Sprint("r", region)}
}

// publish builds the tables of all instances from a new view.
func (p *dispatcherPolicy) publish(m *simulation, now int64) {
	v := steerer.View{Ready: true, Config: &steerer.Config{
		Version:  1,
		Services: []steerer.Service{{Name: "s", Conns: 300, ColdRate: 15}},
		Routes: []steerer.Route{{
			Name: "r", Host: "h", Prefix: "/", Idempotent: true, Timeout: m.timeout, Aim: m.aim,
			Attempts: 2, Sticky: true, Parts: []steerer.WeightedService{{Service: "s", Weight: 1}},
		}},
	}}
	for r := range m.regions {
		for i := range m.instancesPerRegion() {
			v.Peers = append(v.Peers, simInstance(r, i))
		}
	}
	for _, u := range m.upstreams {
		v.Upstreams = append(v.Upstreams, u.registration)
	}
	if p.view != nil {
		p.view(&v)
	}
	for r := range p.builders {
		for i, b := range p.builders[r] {
			b.MinRampShare = p.minRampShare
			p.tables[r][i] = b.Build(v, now)
		}
	}
}

func (p *dispatcherPolicy) choose(m *simulation, q *simRequest, now int64) (int, time.Duration) {
	if p.tables[0][0] == nil {
		p.publish(m, now)
	}
	t := p.tables[q.region][q.instance]
	route := t.Route("h", "/")
	r := &Request{Route: route, Pool: route.SelectPool(), Key: q.key * hashMultiplier, Now: now, Deadline: q.deadline}
	if q.upstream != nil {
		for _, u := range r.Pool.Upstreams {
			if u.Address == q.upstream.registration.Address {
				r.Tried = append(r.Tried, u)
			}
		}
	}
	d := Choose(r)
	if d.Upstream == nil {
		return -1, d.RetryAfter
	}
	q.done = func(res Result, l Load, took time.Duration, now int64) {
		if res == Answered || res == Shed {
			d.ReportLoad(l, now)
		}
		if res == Answered || res == Shed {
			c := d.Upstream.ObserveRateLimit(RateLimit{Stated: q.limit > 0, Valid: q.limit > 0, PerSecond: q.limit}, q.sentAt, now)
			if p.gossipDelay > 0 && (c.Active || c.Changed) {
				p.gossip(m, d.Upstream, steerer.RateLimitState{InForce: c.Active, PerSecond: c.PerSecond}, now)
			}
		}
		if res == PauseRequested {
			d.Upstream.Pause(time.Duration(q.upstream.pausedUntil-now), now)
		}
		d.Done(r, res, took, now)
	}
	for i, u := range m.upstreams {
		if u.registration.Address == d.Upstream.Address {
			return i, 0
		}
	}
	return -1, 0
}

// simObservation is an observation of an upstream's limit.
type simObservation struct {
	state steerer.RateLimitState
	at    int64
}

// gossip tells all instances of a limit that one of them has observed.
func (p *dispatcherPolicy) gossip(m *simulation, u *Upstream, s steerer.RateLimitState, now int64) {
	if p.observed == nil {
		p.observed = map[string]simObservation{}
	}
	p.observed[u.ID] = simObservation{s, now}
	m.schedule(now+int64(p.gossipDelay), func(later int64) {
		for _, region := range p.builders {
			for _, b := range region {
				b.ApplyRateLimit(steerer.Incarnation{ID: u.ID, Born: u.Born}, s, now, later)
			}
		}
	})
}

// roundRobin chooses the upstreams in turn.
type roundRobin struct{ next int }

func (p *roundRobin) choose(m *simulation, _ *simRequest, _ int64) (int, time.Duration) {
	p.next++
	return p.next % len(m.upstreams), 0
}

// leastOutstanding chooses the upstream with the fewest requests in flight from the
// instance.
type leastOutstanding struct{ inflight map[[3]int]int }

func (p *leastOutstanding) choose(m *simulation, q *simRequest, _ int64) (int, time.Duration) {
	best, fewest := 0, 1<<30
	for i := range m.upstreams {
		j := (i + m.rng.IntN(len(m.upstreams))) % len(m.upstreams)
		if n := p.inflight[[3]int{q.region, q.instance, j}]; n < fewest {
			best, fewest = j, n
		}
	}
	key := [3]int{q.region, q.instance, best}
	p.inflight[key]++
	q.done = func(Result, Load, time.Duration, int64) { p.inflight[key]-- }
	return best, 0
}

// twoRandomChoices chooses the less loaded of two random upstreams, by their last
// reports.
type twoRandomChoices struct{ load map[int]int }

func (p *twoRandomChoices) choose(m *simulation, q *simRequest, _ int64) (int, time.Duration) {
	a, b := m.rng.IntN(len(m.upstreams)), m.rng.IntN(len(m.upstreams))
	if p.load[b] < p.load[a] {
		a = b
	}
	q.done = func(_ Result, l Load, _ time.Duration, _ int64) { p.load[a] = l.Running + l.Waiting }
	return a, 0
}

// oracle knows the current state of all upstreams: their running, waiting and
// incoming requests, cached keys and slowdown. It chooses the upstream where the
// request ends first. The extra time of a cold run counts twice, since it occupies a
// slot that other requests need. The oracle shows what perfect information would
// gain, except under overload, where a greedy choice is not the best.
type oracle struct{}

func (oracle) choose(m *simulation, q *simRequest, now int64) (int, time.Duration) {
	best, lowest, bestEnd := -1, math.Inf(1), 0.0
	for i, u := range m.upstreams {
		if u.down || u == q.upstream || now < u.pausedUntil {
			continue
		}
		warm, cold := 0.3*float64(m.coldTime)*u.slowdown, float64(m.coldTime)*u.slowdown
		runTime, extra := cold, cold-warm
		if u.hasCached(q.key) || u.pendingKeys[q.key] > 0 {
			runTime, extra = warm, 0
		}
		load := u.running + len(u.queue) + u.incoming
		if load >= 4*m.slots {
			continue
		}
		mean := warm
		if u.runs > 0 {
			mean += (cold - warm) * float64(u.coldRuns) / float64(u.runs)
		}
		rtt := 8e6
		if u.region != q.region {
			rtt = 46e6
		}
		end := rtt + float64(max(0, load+1-m.slots))/float64(m.slots)*mean + runTime
		if cost := end + extra; cost < lowest {
			best, lowest, bestEnd = i, cost, end
		}
	}
	if best < 0 || bestEnd > float64(q.deadline-now) {
		return -1, minRetryAfter
	}
	return best, 0
}
