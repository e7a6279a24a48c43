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
	world *world
	// offset is how far the node's clock is ahead of the world's.
	offset time.Duration
	alive  bool
	paused bool
	// platform tells whether the node reaches the platform.
	platform bool
	// group is the side of a network partition; nodes of one side reach each
	// other.
	group   int
	table   reducer.Publish
	events  []recorder.Event
	highest uint64
	waiting []func()
}

// offsets are the clocks' differences of the nodes, in turn.
var offsets = []time.Duration{0, -200 * time.Millisecond, 200 * time.Millisecond}

// at returns the node's own time.
func (n *node) at() time.Time { return n.world.now.Add(n.offset) }

type delivery struct {
	at  time.Time
	seq int
	run func()
}

// world runs instances on a fake clock with a simulated network and platform.
type world struct {
	rng     *rand.Rand
	now     time.Time
	nodes   []*node
	queue   []delivery
	seq     int
	down    bool
	loss    float64
	tickets []loader.Ticket
	leases  map[string]granter.LeaseSeen
	version uint64
	probes  int
	// listed are the upstreams on the platform's list, leaving those that it
	// marks as leaving.
	listed, leaving []string
	fault           string
}

func newWorld(seed uint64, domains map[string]int) *world {
	w := &world{
		rng:    rand.New(rand.NewPCG(seed, seed)),
		now:    start,
		leases: map[string]granter.LeaseSeen{},
	}
	for _, d := range slices.Sorted(maps.Keys(domains)) {
		for i := range domains[d] {
			name := fmt.Sprintf("%s-%d", d, i+1)
			w.nodes = append(w.nodes, &node{world: w, offset: offsets[len(w.nodes)%len(offsets)], self: granter.Member{Name: name, Peer: name, Domain: d}})
		}
	}
	for _, n := range w.nodes {
		w.boot(n)
	}
	return w
}

// boot starts a node with a new incarnation and nothing in memory.
func (w *world) boot(n *node) {
	n.self.Incarnation++
	var seeds []string
	for _, o := range w.nodes {
		if o != n {
			seeds = append(seeds, o.self.Peer)
		}
	}
	n.state = reducer.New(n.self, "region", seeds, n.at())
	n.alive, n.paused, n.platform = true, false, true
	n.table = reducer.Publish{}
	n.highest = 0
	n.waiting = nil
	w.tick(n, n.self.Incarnation)
}

func (w *world) tick(n *node, incarnation uint64) {
	if n.self.Incarnation != incarnation || !n.alive {
		return
	}
	if !n.paused {
		w.step(n, reducer.Tick{Now: n.at()})
	}
	w.after(tickInterval, func() { w.tick(n, incarnation) })
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	e := delivery{at: w.now.Add(d), seq: w.seq, run: run}
	i, _ := slices.BinarySearchFunc(w.queue, e, func(a, b delivery) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.seq, b.seq))
	})
	w.queue = slices.Insert(w.queue, i, e)
}

// runFor advances the clock and checks the invariants after every event.
func (w *world) runFor(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) && w.fault == "" {
		e := w.queue[0]
		w.queue = w.queue[1:]
		w.now = e.at
		e.run()
		w.check()
	}
	w.now = end
}

// deliver hands an event to a node after a random delay. A paused node gets it
// when it resumes, a dead or restarted one never.
func (w *world) deliver(n *node, event func() reducer.Event) {
	incarnation := n.self.Incarnation
	w.after(w.delay(), func() {
		run := func() {
			if n.alive && n.self.Incarnation == incarnation {
				w.step(n, event())
			}
		}
		if n.paused {
			n.waiting = append(n.waiting, run)
			return
		}
		run()
	})
}

func (w *world) delay() time.Duration {
	return time.Duration(1+w.rng.IntN(40)) * time.Millisecond
}

func (w *world) resume(n *node) {
	n.paused = false
	waiting := n.waiting
	n.waiting = nil
	for _, run := range waiting {
		run()
	}
}

func (w *world) node(peer string) *node {
	for _, n := range w.nodes {
		if n.self.Peer == peer {
			return n
		}
	}
	return nil
}

func (w *world) connected(a, b *node) bool {
	return a.alive && b.alive && a.group == b.group && w.rng.Float64() >= w.loss
}

func (w *world) reaches(n *node) bool { return n.platform && !w.down }

func (w *world) step(n *node, e reducer.Event) {
	for _, effect := range n.state.Step(e) {
		w.perform(n, e, effect)
	}
}

func (w *world) perform(n *node, cause reducer.Event, effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.Publish:
		n.table = e
	case reducer.Record:
		n.events = append(n.events, e.Event)
	case reducer.Send:
		w.send(n, e)
	case reducer.Probe:
		w.probes++
		sent := n.at()
		w.deliver(n, func() reducer.Event {
			return reducer.ObserverEvent{Now: n.at(), Event: observer.Probed{Sent: sent, Now: n.at(), Health: observer.Health{Upstream: e.Upstream, State: "ready", Slots: 6}}}
		})
	case reducer.FollowerEffect:
		w.follow(n, e.Effect)
	case reducer.GranterEffect:
		w.grant(n, cause, e.Effect)
	}
}

// send carries a request and its answer, each of which may be lost.
func (w *world) send(n *node, e reducer.Send) {
	sent := n.at()
	to := w.node(e.To)
	if to == nil || !w.connected(n, to) {
		w.deliver(n, func() reducer.Event { return reducer.SendFailed{Now: n.at(), To: e.To} })
		return
	}
	incarnation := to.self.Incarnation
	w.after(w.delay(), func() {
		if to.paused || !to.alive || to.self.Incarnation != incarnation {
			return
		}
		for _, effect := range to.state.Step(reducer.RequestReceived{Now: to.at(), Call: 1, Request: e.Request}) {
			a, ok := effect.(reducer.Answer)
			if !ok {
				w.perform(to, nil, effect)
				continue
			}
			if w.connected(to, n) {
				w.deliver(n, func() reducer.Event {
					return reducer.ResponseReceived{Sent: sent, Now: n.at(), To: e.To, Response: a.Response}
				})
			}
		}
	})
}

func (w *world) follow(n *node, effect follower.Effect) {
	ok := w.reaches(n)
	switch e := effect.(type) {
	case follower.Load:
		w.deliver(n, func() reducer.Event {
			return reducer.FollowerEvent{Now: n.at(), Event: follower.Loaded{Now: n.at(), Failed: !ok, Tickets: w.since(e.After), Revision: uint64(len(w.tickets))}}
		})
	case follower.Watch:
		w.deliver(n, func() reducer.Event {
			return reducer.FollowerEvent{Now: n.at(), Event: follower.Watched{Now: n.at(), Failed: !ok, Tickets: w.since(e.Revision), Revision: uint64(len(w.tickets))}}
		})
	case follower.Fetch:
		peer := w.node(e.Peer)
		connected := w.connected(n, peer)
		w.deliver(n, func() reducer.Event {
			tickets, complete := peer.state.Follower.Since(e.After)
			f := follower.Fetched{Now: n.at(), Peer: e.Peer, Tickets: tickets, Failed: !connected}
			if !complete {
				f.Snapshot = &peer.state.Follower.Config
			}
			return reducer.FollowerEvent{Now: n.at(), Event: f}
		})
	case follower.Compact:
		w.deliver(n, func() reducer.Event {
			return reducer.FollowerEvent{Now: n.at(), Event: follower.Compacted{Now: n.at(), Failed: !ok}}
		})
	}
}

func (w *world) since(version uint64) []loader.Ticket {
	return slices.Clone(w.tickets[min(version, uint64(len(w.tickets))):])
}

func (w *world) grant(n *node, cause reducer.Event, effect granter.Effect) {
	ok := w.reaches(n)
	asked := n.at()
	event := func(build func() granter.Event) {
		w.deliver(n, func() reducer.Event { return reducer.GranterEvent{Now: n.at(), Event: build()} })
	}
	switch e := effect.(type) {
	case granter.ReadLease:
		if seen := w.leases[e.Domain]; ok {
			event(func() granter.Event {
				seen.Asked, seen.Now = asked, n.at()
				return seen
			})
		}
	case granter.ReadList:
		if ok {
			w.deliver(n, func() reducer.Event {
				return reducer.ListSeen{Now: n.at(), Names: append(w.names(), w.listed...), Leaving: w.leaving}
			})
		}
	case granter.WriteLease:
		w.after(w.delay(), func() { w.write(n, asked, e, ok) })
	case granter.SendVote:
		w.vote(n, e)
	case granter.AnswerVote:
		_ = cause
	}
}

// write applies a conditional update; its answer is lost now and then.
func (w *world) write(n *node, asked time.Time, e granter.WriteLease, reachable bool) {
	ended := granter.WriteEnded{Asked: asked, Nonce: e.Lease.Nonce, Result: granter.WriteFailed}
	old := w.leases[e.Lease.Domain]
	switch {
	case !reachable || n.at().After(e.Until):
	case old.Version != e.Version:
		ended.Result = granter.WriteConflict
	default:
		w.version++
		w.leases[e.Lease.Domain] = granter.LeaseSeen{Version: w.version, Lease: e.Lease}
		ended.Result, ended.Version = granter.WriteDone, w.version
		if w.rng.Float64() < w.loss {
			ended.Result, ended.Version = granter.WriteUnknown, 0
		}
	}
	w.deliver(n, func() reducer.Event {
		ended.Now = n.at()
		return reducer.GranterEvent{Now: n.at(), Event: ended}
	})
}

func (w *world) vote(n *node, e granter.SendVote) {
	sent := n.at()
	to := w.node(e.To)
	if to == nil || !w.connected(n, to) {
		return
	}
	incarnation := to.self.Incarnation
	w.after(w.delay(), func() {
		if to.paused || !to.alive || to.self.Incarnation != incarnation {
			return
		}
		received := granter.VoteReceived{Now: to.at(), Call: 1, Candidate: n.self.Name, Epoch: e.Epoch}
		for _, effect := range to.state.Step(reducer.GranterEvent{Now: to.at(), Event: received}) {
			g, ok := effect.(reducer.GranterEffect)
			if a, isAnswer := g.Effect.(granter.AnswerVote); ok && isAnswer {
				w.deliver(n, func() reducer.Event {
					return reducer.GranterEvent{Now: n.at(), Event: granter.VoteAnswered{Sent: sent, Now: n.at(), From: to.self.Name, Epoch: a.Epoch, Granted: a.Granted, Valid: a.Valid}}
				})
				continue
			}
			w.perform(to, nil, effect)
		}
	})
}

func (w *world) names() []string {
	var names []string
	for _, n := range w.nodes {
		if n.alive {
			names = append(names, n.self.Name)
		}
	}
	return names
}

// submit adds a ticket with the given objects, as the platform accepted it.
func (w *world) submit(objects map[string]string) {
	number := uint64(len(w.tickets)) + 1
	t := loader.Ticket{
		Number: number, Base: number - 1, Author: "test", Reason: "test", Nonce: fmt.Sprint(number),
		Time: w.now, Objects: map[string]json.RawMessage{},
	}
	for k, v := range objects {
		t.Objects[k] = json.RawMessage(v)
	}
	w.tickets = append(w.tickets, t)
}

// check sets fault when an invariant is violated.
func (w *world) check() {
	holders := map[granter.Part]string{}
	for _, n := range w.nodes {
		if !n.alive {
			continue
		}
		if n.table.Config.Version < n.highest {
			w.fault = fmt.Sprintf("%s went back from version %d to %d", n.self.Name, n.highest, n.table.Config.Version)
		}
		n.highest = n.table.Config.Version
		if !n.at().Before(n.table.Holdings.Deadline) {
			continue
		}
		for _, p := range n.table.Holdings.Parts {
			if other, held := holders[p]; held {
				w.fault = fmt.Sprintf("%s and %s both hold %v at %v", other, n.self.Name, p, w.now.Sub(start))
			}
			holders[p] = n.self.Name
		}
	}
}

// held returns the number of slots that may be used now.
func (w *world) held() int {
	slots := 0
	for _, n := range w.nodes {
		if !n.alive || n.paused {
			continue
		}
		if n.at().Before(n.table.Holdings.Deadline) {
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
