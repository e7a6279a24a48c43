package reducer_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"hornbeamstream.example/core/follower"
	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/observer"
	"hornbeamstream.example/core/reducer"
)

// plant is one failure domain whose instances run on a fake clock without
// losses or delays. It counts the time in Step and the effects by kind.
type plant struct {
	now     time.Time
	nodes   []*reducer.State
	byPeer  map[string]*reducer.State
	leases  granter.LeaseSeen
	watches map[*reducer.State]time.Time
	spent   map[string]time.Duration
	steps   map[string]int
	effects map[string]int
	// leader is the node whose time and effects are counted separately.
	leader *reducer.State
}

// plantConfig has the domain "d0" with its share of the upstreams, and ten
// others that only have a name.
func plantConfig(members, upstreams, slots int) loader.State {
	c := loader.State{
		Version: 1, Regions: map[string]loader.Region{}, Domains: map[string]loader.Domain{},
		Links: map[string]loader.Link{}, Upstreams: map[string]loader.Upstream{},
		Services: map[string]loader.Service{"lookup": {TimeoutMillis: 2000}},
		Policies: map[string]loader.Policy{"main": {Reserve: 0.1}},
	}
	for i := range 4 {
		c.Regions[fmt.Sprintf("r%d", i)] = loader.Region{}
		c.Links[fmt.Sprintf("r0/r%d", i)] = loader.Link{Capacity: 1 << 29, DelayMillis: 20}
	}
	for i := range 11 {
		c.Domains[fmt.Sprintf("d%d", i)] = loader.Domain{Region: fmt.Sprintf("r%d", i%4), Instances: members}
	}
	for i := range upstreams {
		c.Upstreams[fmt.Sprintf("lookup-%03d", i)] = loader.Upstream{
			Service: "lookup", Domain: "d0", Slots: slots, MaxConns: 330, Address: fmt.Sprintf("127.2.0.%d:8000", i),
		}
	}
	return c
}

func newPlant(members, upstreams, slots int) *plant {
	p := &plant{now: start, byPeer: map[string]*reducer.State{}, watches: map[*reducer.State]time.Time{}}
	p.reset()
	config := plantConfig(members, upstreams, slots)
	for i := range members {
		p.add(i, config)
	}
	p.run(20 * time.Second)
	for _, n := range p.nodes {
		if n.Granter.Leading {
			p.leader = n
		}
	}
	return p
}

// add starts an instance that knows the leader's address and the configuration.
func (p *plant) add(i int, config loader.State) {
	m := granter.Member{
		Name: fmt.Sprintf("horn-%03d", i), Incarnation: uint64(p.now.UnixMilli()), Domain: "d0",
		Front: fmt.Sprintf("127.1.0.%d:7000", i), Peer: fmt.Sprintf("127.1.0.%d:7001", i),
		Data: fmt.Sprintf("127.1.0.%d:7002", i), Admin: fmt.Sprintf("127.1.0.%d:7003", i),
	}
	n := reducer.New(m, "r0", []string{"127.1.0.0:7001"}, p.now)
	p.nodes = append(p.nodes, n)
	p.byPeer[m.Peer] = n
	p.step(n, reducer.FollowerEvent{Now: p.now, Event: follower.Loaded{Now: p.now, Snapshot: config, Revision: 1}})
}

func (p *plant) reset() {
	p.spent, p.steps, p.effects = map[string]time.Duration{}, map[string]int{}, map[string]int{}
}

func (p *plant) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(tickInterval)
		for _, n := range p.nodes {
			p.step(n, reducer.Tick{Now: p.now})
			if until, ok := p.watches[n]; ok && !p.now.Before(until) {
				delete(p.watches, n)
				p.step(n, reducer.FollowerEvent{Now: p.now, Event: follower.Watched{Now: p.now, Revision: 1}})
			}
		}
	}
}

func (p *plant) step(n *reducer.State, e reducer.Event) {
	role := p.role(n)
	begin := time.Now()
	effects := n.Step(e)
	kind := fmt.Sprintf("%s %T", role, e)
	p.spent[kind] += time.Since(begin)
	p.steps[kind]++
	for _, effect := range effects {
		p.perform(n, role, effect)
	}
}

func (p *plant) role(n *reducer.State) string {
	l := n.Granter.Lease
	switch {
	case n == p.leader:
		return "leader"
	case p.leader != nil && len(l.Electors) > 1 && l.Electors[1] == n.Self.Name:
		return "second"
	case p.leader != nil && len(l.Electors) > 2 && l.Electors[2] == n.Self.Name:
		return "third"
	}
	return "member"
}

func (p *plant) perform(n *reducer.State, role string, effect reducer.Effect) {
	kind := fmt.Sprintf("%T", effect)
	switch e := effect.(type) {
	case reducer.GranterEffect:
		kind = fmt.Sprintf("%T", e.Effect)
		p.grant(n, e.Effect)
	case reducer.FollowerEffect:
		kind = fmt.Sprintf("%T", e.Effect)
		if _, ok := e.Effect.(follower.Watch); ok {
			p.watches[n] = p.now.Add(follower.WatchWait)
		}
	case reducer.Probe:
		slots := n.Follower.Config.Upstreams[e.Upstream].Slots
		p.step(n, reducer.ObserverEvent{Now: p.now, Event: observer.Probed{
			Sent: p.now, Now: p.now, Health: observer.Health{Upstream: e.Upstream, State: "ready", Slots: slots},
		}})
	case reducer.Send:
		p.send(n, e)
	}
	p.effects[role+" "+kind]++
}

func (p *plant) send(n *reducer.State, e reducer.Send) {
	to := p.byPeer[e.To]
	if to == nil {
		p.step(n, reducer.SendFailed{Now: p.now, To: e.To})
		return
	}
	role := p.role(to)
	begin := time.Now()
	effects := to.Step(reducer.RequestReceived{Now: p.now, Call: 1, Request: e.Request})
	kind := role + " reducer.RequestReceived"
	p.spent[kind] += time.Since(begin)
	p.steps[kind]++
	for _, effect := range effects {
		if a, ok := effect.(reducer.Answer); ok {
			p.step(n, reducer.ResponseReceived{Sent: p.now, Now: p.now, To: e.To, Response: a.Response})
			continue
		}
		p.perform(to, role, effect)
	}
}

func (p *plant) grant(n *reducer.State, effect granter.Effect) {
	var event granter.Event
	switch e := effect.(type) {
	case granter.ReadLease:
		seen := p.leases
		seen.Asked, seen.Now = p.now, p.now
		event = seen
	case granter.WriteLease:
		ended := granter.WriteEnded{Asked: p.now, Now: p.now, Nonce: e.Lease.Nonce, Result: granter.WriteConflict}
		if e.Version == p.leases.Version {
			p.leases.Version, p.leases.Lease = p.leases.Version+1, e.Lease
			ended.Result, ended.Version = granter.WriteDone, p.leases.Version
		}
		event = ended
	case granter.SendVote:
		p.vote(n, e)
		return
	default:
		return
	}
	p.step(n, reducer.GranterEvent{Now: p.now, Event: event})
}

func (p *plant) vote(n *reducer.State, e granter.SendVote) {
	to := p.byPeer[e.To]
	if to == nil {
		return
	}
	received := granter.VoteReceived{Now: p.now, Call: 1, Candidate: n.Self.Name, Epoch: e.Epoch}
	for _, effect := range to.Step(reducer.GranterEvent{Now: p.now, Event: received}) {
		if g, ok := effect.(reducer.GranterEffect); ok {
			if a, ok := g.Effect.(granter.AnswerVote); ok {
				p.step(n, reducer.GranterEvent{Now: p.now, Event: granter.VoteAnswered{
					Sent: p.now, Now: p.now, From: to.Self.Name, Epoch: a.Epoch, Granted: a.Granted, Valid: a.Valid,
				}})
			}
		}
	}
}

func (p *plant) mean(kind string) float64 {
	return float64(p.spent[kind].Microseconds()) / float64(max(1, p.steps[kind]))
}

// share returns the part of a core that a role's steps take.
func (p *plant) share(role string, instances int, d time.Duration) float64 {
	total := time.Duration(0)
	for kind, spent := range p.spent {
		if len(kind) > len(role) && kind[:len(role)] == role {
			total += spent
		}
	}
	return 100 * total.Seconds() / float64(max(1, instances)) / d.Seconds()
}

// BenchmarkDomain runs a failure domain in its steady state for a simulated
// time and reports the processor time of each role and its calls per minute.
func BenchmarkDomain(b *testing.B) {
	type size struct{ members, upstreams, slots int }
	for _, z := range []size{
		{2, 41, 64},
		{4, 41, 64},
		{15, 41, 64},
		{58, 41, 64},
		{116, 41, 64},
		{58, 10, 64},
		{58, 82, 64},
		{58, 41, 320},
		{58, 41, 1000},
	} {
		b.Run(fmt.Sprintf("members=%d/upstreams=%d/slots=%d", z.members, z.upstreams, z.slots), func(b *testing.B) {
			p := newPlant(z.members, z.upstreams, z.slots)
			const span = 10 * time.Second
			for b.Loop() {
				p.reset()
				p.run(span)
			}
			b.ReportMetric(p.mean("leader reducer.RequestReceived"), "µs/request")
			b.ReportMetric(p.mean("leader reducer.Tick"), "µs/leadertick")
			b.ReportMetric(p.mean("member reducer.Tick"), "µs/membertick")
			b.ReportMetric(p.mean("member reducer.ResponseReceived"), "µs/response")
			b.ReportMetric(p.share("leader", 1, span), "%core/leader")
			b.ReportMetric(p.share("member", z.members-3, span), "%core/member")
			lease, _ := json.Marshal(p.leases.Lease)
			b.ReportMetric(float64(len(lease)), "leasebytes")
			for kind, n := range p.effects {
				b.Logf("%s: %d in %v", kind, n, span)
			}
		})
	}
}

// BenchmarkStart counts the views that the leader makes when an instance
// joins the domain, and the time of all steps until the domain is calm again.
func BenchmarkStart(b *testing.B) {
	for _, members := range []int{2, 15, 58} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			views, spent := 0.0, 0.0
			for b.Loop() {
				p := newPlant(members, 41, 640)
				before := p.leader.Views["d0"].Sequence
				p.reset()
				p.add(members, p.leader.Follower.Config)
				p.run(15 * time.Second)
				views = float64(p.leader.Views["d0"].Sequence - before)
				spent = p.share("leader", 1, time.Second) / 100
			}
			b.ReportMetric(views, "views")
			b.ReportMetric(spent*1000, "leadermillis")
		})
	}
}
