package dispatcher

import (
	"fmt"
	"math"
	"time"

	"hornbeamstream.example/core/steerer"
)

// steering is the dispatcher as a policy: one table for each instance.
type steering struct {
	builders [][]*Builder
	tables   [][]*Table
	// view edits what the instances are told of the upstreams.
	view func(v *steerer.View)
}

func newSteering(s scenario) *steering {
	p := &steering{}
	domains := map[string]string{}
	for r := range s.regions {
		domains[domainName(r)] = fmt.Sprint("r", r)
	}
	for r := range s.regions {
		var bs []*Builder
		for i := range s.perRegion() {
			bs = append(bs, &Builder{Self: modelInstance(r, i), Bounds: steerer.Bounds{ColdSlack: 5}, Regions: domains})
		}
		p.builders = append(p.builders, bs)
		p.tables = append(p.tables, make([]*Table, s.perRegion()))
	}
	return p
}

func modelInstance(region, i int) steerer.Instance {
	return steerer.Instance{Name: fmt.Sprintf("i%d-%d", region, i), Domain: domainName(region), Region: fmt.Sprint("r", region)}
}

// publish gives all instances a new view.
func (p *steering) publish(m *model, now int64) {
	v := steerer.View{Ready: true, Config: &steerer.Config{
		Version:  1,
		Services: []steerer.Service{{Name: "s", Conns: 300, ColdRate: 15}},
		Routes: []steerer.Route{{
			Name: "r", Host: "h", Prefix: "/", Idempotent: true, Timeout: m.timeout, Aim: m.aim,
			Attempts: 2, Sticky: true, Parts: []steerer.WeightedService{{Service: "s", Weight: 1}},
		}},
	}}
	for r := range m.regions {
		for i := range m.perRegion() {
			v.Peers = append(v.Peers, modelInstance(r, i))
		}
	}
	for _, u := range m.upstreams {
		v.Upstreams = append(v.Upstreams, u.up)
	}
	if p.view != nil {
		p.view(&v)
	}
	for r := range p.builders {
		for i, b := range p.builders[r] {
			p.tables[r][i] = b.Build(v, now)
		}
	}
}

func (p *steering) choose(m *model, q *modelRequest, now int64) (int, time.Duration) {
	if p.tables[0][0] == nil {
		p.publish(m, now)
	}
	t := p.tables[q.region][q.instance]
	route := t.Route("h", "/")
	r := &Request{Route: route, Pool: route.SelectPool(q.key, now), Key: q.key * hashMix, Now: now, Deadline: q.deadline}
	if q.upstream != nil {
		for _, u := range r.Pool.Upstreams {
			if u.Address == q.upstream.up.Address {
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
		if res == PauseRequested {
			d.Upstream.Pause(time.Duration(q.upstream.pausedUntil-now), now)
		}
		d.Done(r, res, took, now)
	}
	for i, u := range m.upstreams {
		if u.up.Address == d.Upstream.Address {
			return i, 0
		}
	}
	return -1, 0
}

// roundRobin sends requests to the upstreams in turn.
type roundRobin struct{ next int }

func (p *roundRobin) choose(m *model, _ *modelRequest, _ int64) (int, time.Duration) {
	p.next++
	return p.next % len(m.upstreams), 0
}

// leastOwn sends a request to the upstream with the fewest of the instance's own
// requests in flight.
type leastOwn struct{ inflight map[[3]int]int }

func (p *leastOwn) choose(m *model, q *modelRequest, _ int64) (int, time.Duration) {
	best, at := 0, 1<<30
	for i := range m.upstreams {
		j := (i + m.random.IntN(len(m.upstreams))) % len(m.upstreams)
		if n := p.inflight[[3]int{q.region, q.instance, j}]; n < at {
			best, at = j, n
		}
	}
	key := [3]int{q.region, q.instance, best}
	p.inflight[key]++
	q.done = func(Result, Load, time.Duration, int64) { p.inflight[key]-- }
	return best, 0
}

// twoRandom takes the one of two random upstreams that has reported less load.
type twoRandom struct{ load map[int]int }

func (p *twoRandom) choose(m *model, q *modelRequest, _ int64) (int, time.Duration) {
	a, b := m.random.IntN(len(m.upstreams)), m.random.IntN(len(m.upstreams))
	if p.load[b] < p.load[a] {
		a = b
	}
	q.done = func(_ Result, l Load, _ time.Duration, _ int64) { p.load[a] = l.Running + l.Waiting }
	return a, 0
}

// informed knows the true state of all upstreams at any time: who runs, waits
// and comes, which keys they know and how slow they are. It sends a request
// where it ends first; the extra work of a run without the key counts twice,
// since it takes a slot from others. It shows what better knowledge would earn,
// except under overload, where being greedy is no good.
type informed struct{}

func (informed) choose(m *model, q *modelRequest, now int64) (int, time.Duration) {
	best, at, ends := -1, math.Inf(1), 0.0
	for i, u := range m.upstreams {
		if u.dead || u == q.upstream || now < u.pausedUntil {
			continue
		}
		warm, cold := 0.3*float64(m.work)*u.slow, float64(m.work)*u.slow
		work, extra := cold, cold-warm
		if u.knows(q.key) || u.pending[q.key] > 0 {
			work, extra = warm, 0
		}
		load := u.running + len(u.queue) + u.coming
		if load >= 4*m.slots {
			continue
		}
		usual := warm
		if u.runs > 0 {
			usual += (cold - warm) * float64(u.coldRun) / float64(u.runs)
		}
		way := 8e6
		if u.region != q.region {
			way = 46e6
		}
		end := way + float64(max(0, load+1-m.slots))/float64(m.slots)*usual + work
		if cost := end + extra; cost < at {
			best, at, ends = i, cost, end
		}
	}
	if best < 0 || ends > float64(q.deadline-now) {
		return -1, minReturn
	}
	return best, 0
}
