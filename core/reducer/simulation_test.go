package reducer_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"hornbeamstream.example/core/follower"
	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/observer"
	"hornbeamstream.example/core/recorder"
	"hornbeamstream.example/core/reducer"
)

var start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

const tickInterval = 100 * time.Millisecond

// node is one instance of the simulated deployment.
type node struct {
	self  granter.Member
	state *reducer.State
	sim   *simulation
	// offset is the offset of the node's clock from the simulated time.
	offset            time.Duration
	alive             bool
	paused            bool
	platformReachable bool
	// partition is the network partition that the node is in; nodes reach each
	// other only within a partition.
	partition      int
	table          reducer.Publish
	events         []recorder.Event
	highestVersion uint64
	deferred       []func()
}

// offsets are the clock offsets of the nodes, assigned in turn.
var offsets = []time.Duration{0, -200 * time.Millisecond, 200 * time.Millisecond}

// localTime returns the time of the node's clock.
func (n *node) localTime() time.Time { return n.sim.now.Add(n.offset) }

type scheduledEvent struct {
	at  time.Time
	seq int
	run func()
}

// simulation runs instances on a fake clock with a simulated network and
// platform.
type simulation struct {
	rng          *rand.Rand
	now          time.Time
	nodes        []*node
	queue        []scheduledEvent
	seq          int
	platformDown bool
	lossRate     float64
	tickets      []loader.Ticket
	leases       map[string]granter.LeaseRead
	storeVersion uint64
	probes       int
	// listedUpstreams are the upstreams on the platform's list, leavingUpstreams
	// those that it marks as leaving.
	listedUpstreams, leavingUpstreams []string
	violation                         string
}

func newSimulation(seed uint64, domains map[string]int) *simulation {
	s := &simulation{
		rng:    rand.New(rand.NewPCG(seed, seed)),
		now:    start,
		leases: map[string]granter.LeaseRead{},
	}
	for _, d := range slices.Sorted(maps.Keys(domains)) {
		for i := range domains[d] {
			name := fmt.Sprintf("%s-%d", d, i+1)
			s.nodes = append(s.nodes, &node{sim: s, offset: offsets[len(s.nodes)%len(offsets)], self: granter.Member{Name: name, Peer: name, Domain: d}})
		}
	}
	for _, n := range s.nodes {
		s.boot(n)
	}
	return s
}

// boot starts a node with a new incarnation and no state.
func (s *simulation) boot(n *node) {
	n.self.Incarnation++
	var seeds []string
	for _, o := range s.nodes {
		if o != n {
			seeds = append(seeds, o.self.Peer)
		}
	}
	n.state = reducer.New(n.self, "region", seeds, n.localTime())
	n.alive, n.paused, n.platformReachable = true, false, true
	n.table = reducer.Publish{}
	n.highestVersion = 0
	n.deferred = nil
	s.tick(n, n.self.Incarnation)
}

func (s *simulation) tick(n *node, incarnation uint64) {
	if n.self.Incarnation != incarnation || !n.alive {
		return
	}
	if !n.paused {
		s.step(n, reducer.Tick{Now: n.localTime()})
	}
	s.after(tickInterval, func() { s.tick(n, incarnation) })
}

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	e := scheduledEvent{at: s.now.Add(d), seq: s.seq, run: run}
	i, _ := slices.BinarySearchFunc(s.queue, e, func(a, b scheduledEvent) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.seq, b.seq))
	})
	s.queue = slices.Insert(s.queue, i, e)
}

// runFor advances the clock by d and checks the invariants after every event.
func (s *simulation) runFor(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) && s.violation == "" {
		e := s.queue[0]
		s.queue = s.queue[1:]
		s.now = e.at
		e.run()
		s.checkInvariants()
	}
	s.now = end
}

// deliver delivers an event to a node after a random delay. A paused node gets
// it when it resumes; a stopped or restarted one doesn't get it.
func (s *simulation) deliver(n *node, event func() reducer.Event) {
	incarnation := n.self.Incarnation
	s.after(s.randomDelay(), func() {
		run := func() {
			if n.alive && n.self.Incarnation == incarnation {
				s.step(n, event())
			}
		}
		if n.paused {
			n.deferred = append(n.deferred, run)
			return
		}
		run()
	})
}

func (s *simulation) randomDelay() time.Duration {
	return time.Duration(1+s.rng.IntN(40)) * time.Millisecond
}

func (s *simulation) resume(n *node) {
	n.paused = false
	waiting := n.deferred
	n.deferred = nil
	for _, run := range waiting {
		run()
	}
}

func (s *simulation) node(peer string) *node {
	for _, n := range s.nodes {
		if n.self.Peer == peer {
			return n
		}
	}
	return nil
}

func (s *simulation) connected(a, b *node) bool {
	return a.alive && b.alive && a.partition == b.partition && s.rng.Float64() >= s.lossRate
}

func (s *simulation) platformReachable(n *node) bool { return n.platformReachable && !s.platformDown }

func (s *simulation) step(n *node, e reducer.Event) {
	for _, effect := range n.state.Step(e) {
		s.perform(n, e, effect)
	}
}

func (s *simulation) perform(n *node, cause reducer.Event, effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.Publish:
		n.table = e
	case reducer.Record:
		n.events = append(n.events, e.Event)
	case reducer.Send:
		s.send(n, e)
	case reducer.Probe:
		s.probes++
		sent := n.localTime()
		s.deliver(n, func() reducer.Event {
			return reducer.ObserverEvent{Now: n.localTime(), Event: observer.Probed{Sent: sent, Now: n.localTime(), Health: observer.Health{Upstream: e.Upstream, State: "ready", Slots: 6}}}
		})
	case reducer.FollowerEffect:
		s.performFollower(n, e.Effect)
	case reducer.GranterEffect:
		s.performGranter(n, cause, e.Effect)
	}
}

// send delivers a request and its response, each of which may be lost.
func (s *simulation) send(n *node, e reducer.Send) {
	sent := n.localTime()
	to := s.node(e.To)
	if to == nil || !s.connected(n, to) {
		s.deliver(n, func() reducer.Event { return reducer.SendFailed{Now: n.localTime(), To: e.To} })
		return
	}
	incarnation := to.self.Incarnation
	s.after(s.randomDelay(), func() {
		if to.paused || !to.alive || to.self.Incarnation != incarnation {
			return
		}
		for _, effect := range to.state.Step(reducer.RequestReceived{Now: to.localTime(), Call: 1, Request: e.Request}) {
			a, ok := effect.(reducer.Answer)
			if !ok {
				s.perform(to, nil, effect)
				continue
			}
			if s.connected(to, n) {
				s.deliver(n, func() reducer.Event {
					return reducer.ResponseReceived{Sent: sent, Now: n.localTime(), To: e.To, Response: a.Response}
				})
			}
		}
	})
}

func (s *simulation) performFollower(n *node, effect follower.Effect) {
	ok := s.platformReachable(n)
	switch e := effect.(type) {
	case follower.Load:
		s.deliver(n, func() reducer.Event {
			return reducer.FollowerEvent{Now: n.localTime(), Event: follower.Loaded{Now: n.localTime(), Failed: !ok, Tickets: s.ticketsAfter(e.After), Revision: uint64(len(s.tickets))}}
		})
	case follower.Watch:
		s.deliver(n, func() reducer.Event {
			return reducer.FollowerEvent{Now: n.localTime(), Event: follower.Watched{Now: n.localTime(), Failed: !ok, Tickets: s.ticketsAfter(e.Revision), Revision: uint64(len(s.tickets))}}
		})
	case follower.Fetch:
		peer := s.node(e.Peer)
		connected := s.connected(n, peer)
		s.deliver(n, func() reducer.Event {
			tickets, complete := peer.state.Follower.TicketsAfter(e.After)
			f := follower.Fetched{Now: n.localTime(), Peer: e.Peer, Tickets: tickets, Failed: !connected}
			if !complete {
				f.Snapshot = &peer.state.Follower.Config
			}
			return reducer.FollowerEvent{Now: n.localTime(), Event: f}
		})
	case follower.WriteSnapshot:
		s.deliver(n, func() reducer.Event {
			return reducer.FollowerEvent{Now: n.localTime(), Event: follower.SnapshotWritten{Now: n.localTime(), Failed: !ok}}
		})
	}
}

func (s *simulation) ticketsAfter(version uint64) []loader.Ticket {
	return slices.Clone(s.tickets[min(version, uint64(len(s.tickets))):])
}

func (s *simulation) performGranter(n *node, cause reducer.Event, effect granter.Effect) {
	ok := s.platformReachable(n)
	asked := n.localTime()
	event := func(build func() granter.Event) {
		s.deliver(n, func() reducer.Event { return reducer.GranterEvent{Now: n.localTime(), Event: build()} })
	}
	switch e := effect.(type) {
	case granter.ReadLease:
		if seen := s.leases[e.Domain]; ok {
			event(func() granter.Event {
				seen.Sent, seen.Now = asked, n.localTime()
				return seen
			})
		}
	case granter.ListInstances:
		if ok {
			s.deliver(n, func() reducer.Event {
				return reducer.ListSeen{Now: n.localTime(), Names: append(s.aliveInstances(), s.listedUpstreams...), Leaving: s.leavingUpstreams}
			})
		}
	case granter.WriteLease:
		s.after(s.randomDelay(), func() { s.writeLease(n, asked, e, ok) })
	case granter.SendVoteRequest:
		s.sendVote(n, e)
	case granter.SendVoteResponse:
		_ = cause
	}
}

// writeLease applies a conditional update, whose response is lost at lossRate.
func (s *simulation) writeLease(n *node, asked time.Time, e granter.WriteLease, reachable bool) {
	ended := granter.WriteCompleted{Sent: asked, Nonce: e.Lease.Nonce, Result: granter.WriteFailed}
	old := s.leases[e.Lease.Domain]
	switch {
	case !reachable || n.localTime().After(e.Deadline):
	case old.Version != e.Version:
		ended.Result = granter.WriteConflict
	default:
		s.storeVersion++
		s.leases[e.Lease.Domain] = granter.LeaseRead{Version: s.storeVersion, Lease: e.Lease}
		ended.Result, ended.Version = granter.WriteDone, s.storeVersion
		if s.rng.Float64() < s.lossRate {
			ended.Result, ended.Version = granter.WriteUnknown, 0
		}
	}
	s.deliver(n, func() reducer.Event {
		ended.Now = n.localTime()
		return reducer.GranterEvent{Now: n.localTime(), Event: ended}
	})
}

func (s *simulation) sendVote(n *node, e granter.SendVoteRequest) {
	sent := n.localTime()
	to := s.node(e.To)
	if to == nil || !s.connected(n, to) {
		return
	}
	incarnation := to.self.Incarnation
	s.after(s.randomDelay(), func() {
		if to.paused || !to.alive || to.self.Incarnation != incarnation {
			return
		}
		received := granter.VoteRequestReceived{Now: to.localTime(), Call: 1, Candidate: n.self.Name, Epoch: e.Epoch}
		for _, effect := range to.state.Step(reducer.GranterEvent{Now: to.localTime(), Event: received}) {
			g, ok := effect.(reducer.GranterEffect)
			if a, isAnswer := g.Effect.(granter.SendVoteResponse); ok && isAnswer {
				s.deliver(n, func() reducer.Event {
					return reducer.GranterEvent{Now: n.localTime(), Event: granter.VoteResponseReceived{Sent: sent, Now: n.localTime(), From: to.self.Name, Epoch: a.Epoch, Granted: a.Granted, Valid: a.Valid}}
				})
				continue
			}
			s.perform(to, nil, effect)
		}
	})
}

func (s *simulation) aliveInstances() []string {
	var names []string
	for _, n := range s.nodes {
		if n.alive {
			names = append(names, n.self.Name)
		}
	}
	return names
}

// submit adds a ticket with the given objects, as accepted by the platform.
func (s *simulation) submit(objects map[string]string) {
	number := uint64(len(s.tickets)) + 1
	t := loader.Ticket{
		Number: number, Base: number - 1, Author: "test", Reason: "test", Nonce: fmt.Sprint(number),
		Time: s.now, Objects: map[string]json.RawMessage{},
	}
	for k, v := range objects {
		t.Objects[k] = json.RawMessage(v)
	}
	s.tickets = append(s.tickets, t)
}

// checkInvariants sets violation if an invariant is violated.
func (s *simulation) checkInvariants() {
	holders := map[granter.Part]string{}
	for _, n := range s.nodes {
		if !n.alive {
			continue
		}
		if n.table.Config.Version < n.highestVersion {
			s.violation = fmt.Sprintf("%s went back from version %d to %d", n.self.Name, n.highestVersion, n.table.Config.Version)
		}
		n.highestVersion = n.table.Config.Version
		if !n.localTime().Before(n.table.Holdings.Deadline) {
			continue
		}
		for _, p := range n.table.Holdings.Parts {
			if other, held := holders[p]; held {
				s.violation = fmt.Sprintf("%s and %s both hold %v at %v", other, n.self.Name, p, s.now.Sub(start))
			}
			holders[p] = n.self.Name
		}
	}
}

// usableSlots returns the number of slots that instances may use now.
func (s *simulation) usableSlots() int {
	slots := 0
	for _, n := range s.nodes {
		if !n.alive || n.paused {
			continue
		}
		if n.localTime().Before(n.table.Holdings.Deadline) {
			for _, p := range n.table.Holdings.Parts {
				slots += p.Slots
			}
		}
		for _, r := range n.table.Holdings.Reserve {
			if r.Member == n.self.Name {
				slots += r.Slots
			}
		}
	}
	return slots
}
