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

// domainSimulation runs the instances of one failure domain on a fake clock,
// without message loss or delay. It records the time in Step and the effects by
// kind.
type domainSimulation struct {
	now         time.Time
	nodes       []*reducer.State
	byPeer      map[string]*reducer.State
	lease       granter.LeaseRead
	watches     map[*reducer.State]time.Time
	stepTime    map[string]time.Duration
	stepCount   map[string]int
	effectCount map[string]int
	// leader is the node whose time and effects are recorded separately.
	leader *reducer.State
}

// domainConfig returns a configuration with all upstreams in domain "d0" and ten
// domains without upstreams.
func domainConfig(members, upstreams, slots int) loader.State {
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

func newDomainSimulation(members, upstreams, slots int) *domainSimulation {
	s := &domainSimulation{now: start, byPeer: map[string]*reducer.State{}, watches: map[*reducer.State]time.Time{}}
	s.reset()
	config := domainConfig(members, upstreams, slots)
	for i := range members {
		s.add(i, config)
	}
	s.run(20 * time.Second)
	for _, n := range s.nodes {
		if n.Granter.Leading {
			s.leader = n
		}
	}
	return s
}

// add starts an instance that knows the leader's address and the configuration.
func (s *domainSimulation) add(i int, config loader.State) {
	m := granter.Member{
		Name: fmt.Sprintf("horn-%03d", i), Incarnation: uint64(s.now.UnixMilli()), Domain: "d0",
		Front: fmt.Sprintf("127.1.0.%d:7000", i), Peer: fmt.Sprintf("127.1.0.%d:7001", i),
		Data: fmt.Sprintf("127.1.0.%d:7002", i), Admin: fmt.Sprintf("127.1.0.%d:7003", i),
	}
	n := reducer.New(m, "r0", []string{"127.1.0.0:7001"}, s.now)
	s.nodes = append(s.nodes, n)
	s.byPeer[m.Peer] = n
	s.step(n, reducer.FollowerEvent{Now: s.now, Event: follower.Loaded{Now: s.now, Snapshot: config, Revision: 1}})
}

func (s *domainSimulation) reset() {
	s.stepTime, s.stepCount, s.effectCount = map[string]time.Duration{}, map[string]int{}, map[string]int{}
}

func (s *domainSimulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(tickInterval)
		for _, n := range s.nodes {
			s.step(n, reducer.Tick{Now: s.now})
			if until, ok := s.watches[n]; ok && !s.now.Before(until) {
				delete(s.watches, n)
				s.step(n, reducer.FollowerEvent{Now: s.now, Event: follower.Watched{Now: s.now, Revision: 1}})
			}
		}
	}
}

func (s *domainSimulation) step(n *reducer.State, e reducer.Event) {
	role := s.role(n)
	begin := time.Now()
	effects := n.Step(e)
	kind := fmt.Sprintf("%s %T", role, e)
	s.stepTime[kind] += time.Since(begin)
	s.stepCount[kind]++
	for _, effect := range effects {
		s.perform(n, role, effect)
	}
}

func (s *domainSimulation) role(n *reducer.State) string {
	l := n.Granter.Lease
	switch {
	case n == s.leader:
		return "leader"
	case s.leader != nil && len(l.Electors) > 1 && l.Electors[1] == n.Self.Name:
		return "second"
	case s.leader != nil && len(l.Electors) > 2 && l.Electors[2] == n.Self.Name:
		return "third"
	}
	return "member"
}

func (s *domainSimulation) perform(n *reducer.State, role string, effect reducer.Effect) {
	kind := fmt.Sprintf("%T", effect)
	switch e := effect.(type) {
	case reducer.GranterEffect:
		kind = fmt.Sprintf("%T", e.Effect)
		s.performGranter(n, e.Effect)
	case reducer.FollowerEffect:
		kind = fmt.Sprintf("%T", e.Effect)
		if _, ok := e.Effect.(follower.Watch); ok {
			s.watches[n] = s.now.Add(follower.WatchWait)
		}
	case reducer.Probe:
		slots := n.Follower.Config.Upstreams[e.Upstream].Slots
		s.step(n, reducer.ObserverEvent{Now: s.now, Event: observer.Probed{
			Sent: s.now, Now: s.now, Health: observer.Health{Upstream: e.Upstream, State: "ready", Slots: slots},
		}})
	case reducer.Send:
		s.send(n, e)
	}
	s.effectCount[role+" "+kind]++
}

func (s *domainSimulation) send(n *reducer.State, e reducer.Send) {
	to := s.byPeer[e.To]
	if to == nil {
		s.step(n, reducer.SendFailed{Now: s.now, To: e.To})
		return
	}
	role := s.role(to)
	begin := time.Now()
	effects := to.Step(reducer.RequestReceived{Now: s.now, Call: 1, Request: e.Request})
	kind := role + " reducer.RequestReceived"
	s.stepTime[kind] += time.Since(begin)
	s.stepCount[kind]++
	for _, effect := range effects {
		if a, ok := effect.(reducer.Answer); ok {
			s.step(n, reducer.ResponseReceived{Sent: s.now, Now: s.now, To: e.To, Response: a.Response})
			continue
		}
		s.perform(to, role, effect)
	}
}

func (s *domainSimulation) performGranter(n *reducer.State, effect granter.Effect) {
	var event granter.Event
	switch e := effect.(type) {
	case granter.ReadLease:
		seen := s.lease
		seen.Sent, seen.Now = s.now, s.now
		event = seen
	case granter.WriteLease:
		ended := granter.WriteCompleted{Sent: s.now, Now: s.now, Nonce: e.Lease.Nonce, Result: granter.WriteConflict}
		if e.Version == s.lease.Version {
			s.lease.Version, s.lease.Lease = s.lease.Version+1, e.Lease
			ended.Result, ended.Version = granter.WriteDone, s.lease.Version
		}
		event = ended
	case granter.SendVoteRequest:
		s.sendVote(n, e)
		return
	default:
		return
	}
	s.step(n, reducer.GranterEvent{Now: s.now, Event: event})
}

func (s *domainSimulation) sendVote(n *reducer.State, e granter.SendVoteRequest) {
	to := s.byPeer[e.To]
	if to == nil {
		return
	}
	received := granter.VoteRequestReceived{Now: s.now, Call: 1, Candidate: n.Self.Name, Epoch: e.Epoch}
	for _, effect := range to.Step(reducer.GranterEvent{Now: s.now, Event: received}) {
		if g, ok := effect.(reducer.GranterEffect); ok {
			if a, ok := g.Effect.(granter.SendVoteResponse); ok {
				s.step(n, reducer.GranterEvent{Now: s.now, Event: granter.VoteResponseReceived{
					Sent: s.now, Now: s.now, From: to.Self.Name, Epoch: a.Epoch, Granted: a.Granted, Valid: a.Valid,
				}})
			}
		}
	}
}

func (s *domainSimulation) meanStepMicros(kind string) float64 {
	return float64(s.stepTime[kind].Microseconds()) / float64(max(1, s.stepCount[kind]))
}

// cpuPercent returns the mean use of a core, in percent, by the steps of each of
// a role's instances over d.
func (s *domainSimulation) cpuPercent(role string, instances int, d time.Duration) float64 {
	total := time.Duration(0)
	for kind, spent := range s.stepTime {
		if len(kind) > len(role) && kind[:len(role)] == role {
			total += spent
		}
	}
	return 100 * total.Seconds() / float64(max(1, instances)) / d.Seconds()
}

// BenchmarkDomain runs a failure domain in its steady state for a simulated
// time. It reports the CPU time of the roles and logs the number of effects.
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
			s := newDomainSimulation(z.members, z.upstreams, z.slots)
			const span = 10 * time.Second
			for b.Loop() {
				s.reset()
				s.run(span)
			}
			b.ReportMetric(s.meanStepMicros("leader reducer.RequestReceived"), "µs/request")
			b.ReportMetric(s.meanStepMicros("leader reducer.Tick"), "µs/leadertick")
			b.ReportMetric(s.meanStepMicros("member reducer.Tick"), "µs/membertick")
			b.ReportMetric(s.meanStepMicros("member reducer.ResponseReceived"), "µs/response")
			b.ReportMetric(s.cpuPercent("leader", 1, span), "%core/leader")
			b.ReportMetric(s.cpuPercent("member", z.members-3, span), "%core/member")
			lease, _ := json.Marshal(s.lease.Lease)
			b.ReportMetric(float64(len(lease)), "leasebytes")
			for kind, n := range s.effectCount {
				b.Logf("%s: %d in %v", kind, n, span)
			}
		})
	}
}

// BenchmarkInstanceJoin reports the number of views that the leader creates when
// an instance joins the domain, and the time of the leader's steps in the 15 s
// after the join.
func BenchmarkInstanceJoin(b *testing.B) {
	for _, members := range []int{2, 15, 58} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			views, spent := 0.0, 0.0
			for b.Loop() {
				s := newDomainSimulation(members, 41, 640)
				before := s.leader.Views["d0"].Sequence
				s.reset()
				s.add(members, s.leader.Follower.Config)
				s.run(15 * time.Second)
				views = float64(s.leader.Views["d0"].Sequence - before)
				spent = s.cpuPercent("leader", 1, time.Second) / 100
			}
			b.ReportMetric(views, "views")
			b.ReportMetric(spent*1000, "leadermillis")
		})
	}
}
