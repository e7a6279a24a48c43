package granter

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	requestLimit = 4 * time.Second
	// instanceListLag is the time after which the platform's list reflects the
	// start or the end of an instance.
	instanceListLag = 3 * time.Second
)

var testConfig = Config{
	Version: 1,
	Domain:  "d",
	Upstreams: []UpstreamConfig{
		{Upstream: "u1", Service: "lookup", Priority: 1, Slots: 100, Limit: requestLimit},
		{Upstream: "u2", Service: "lookup", Priority: 1, Slots: 6, Limit: requestLimit},
		{Upstream: "u3", Service: "posting", Slots: 64, Limit: time.Second},
		{Upstream: "u4", Service: "posting", Slots: 3, Limit: requestLimit},
	},
	Quotas:  []Quota{{Name: "shift/lookup", Rate: 100}},
	Reserve: 0.1,
}

var startTime = time.Unix(1e9, 0).UTC()

// timer is a function to run at a time; seq orders those of the same time.
type timer struct {
	at  time.Time
	seq int
	run func()
}

// timerQueue is a heap of timers.
type timerQueue []timer

func (q timerQueue) Len() int      { return len(q) }
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timerQueue) Push(x any)   { *q = append(*q, x.(timer)) }
func (q timerQueue) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}

func (q *timerQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// inFlightRequests is a number of requests in flight that end at the same time.
type inFlightRequests struct {
	end   time.Time
	slots int
}

// node is an instance: a State, its traffic and its own clock, which is offset
// from the cluster's.
type node struct {
	cluster *testCluster
	state   *State
	offset  time.Duration
	alive   bool
	paused  bool
	queue   []func()
	// The node reaches the nodes with the same partition number, except
	// unreachablePeer, and the platform if platformReachable is set.
	partition         int
	unreachablePeer   *node
	platformReachable bool
	holdings          Holdings
	// inFlight maps parts, and reserves at index -1, to the requests in flight.
	inFlight       map[PartKey]inFlightRequests
	lastKnownEpoch uint64
	// needsCheck tells that the node may use more slots than before or may have
	// become the leader.
	needsCheck bool
}

// testCluster simulates one domain and the platform's store on a fake clock.
type testCluster struct {
	now          time.Time
	seq          int
	queue        timerQueue
	rng          *rand.Rand
	nodes        []*node
	terminated   []*node
	platformDown bool
	version      uint64
	config       Config
	lease        Lease
	// listedFrom and unlistedFrom are the times from which the platform's list
	// names an instance or no longer does.
	listedFrom, unlistedFrom map[string]time.Time
	pendingReplies           map[uint64]func(*node, Effect)
	lastCall                 uint64
	// Probabilities in percent: that a message is lost, that the answer to a write
	// is lost, that such a write takes effect nevertheless, possibly late, and that
	// a message takes up to 4 s.
	messageLossPercent, writeAnswerLossPercent, lateWritePercent, slowMessagePercent int
	violations                                                                       []string
	onStep                                                                           func(*node, Event, []Effect)
}

func newCluster(seed uint64, n int) *testCluster {
	c := &testCluster{
		now:              startTime,
		lateWritePercent: 70,
		config:           testConfig,
		rng:              rand.New(rand.NewPCG(seed, 1)),
		listedFrom:       map[string]time.Time{},
		unlistedFrom:     map[string]time.Time{},
		pendingReplies:   map[uint64]func(*node, Effect){},
	}
	for i := range n {
		c.start(i, 1)
	}
	return c
}

func (c *testCluster) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.queue, timer{c.now.Add(d), c.seq, run})
}

func (c *testCluster) percent(p int) bool { return c.rng.IntN(100) < p }

func (c *testCluster) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v ", c.now.Sub(startTime))+fmt.Sprintf(format, args...))
}

func (c *testCluster) start(i int, incarnation uint64) {
	name := string(rune('a' + i))
	n := &node{cluster: c, alive: true, platformReachable: true, inFlight: map[PartKey]inFlightRequests{}}
	n.offset = time.Duration(c.rng.IntN(1000)) * time.Hour
	m := Member{Name: name, Incarnation: incarnation, Peer: name, Domain: "d"}
	n.state = New(m, n.clock())
	if i < len(c.nodes) {
		c.terminated = append(c.terminated, c.nodes[i])
		c.nodes[i] = n
	} else {
		c.nodes = append(c.nodes, n)
	}
	if t, ok := c.unlistedFrom[name]; !ok || !c.now.Before(t) {
		c.listedFrom[name] = c.now.Add(instanceListLag)
	}
	delete(c.unlistedFrom, name)
	n.step(ConfigChanged{Now: n.clock(), Config: c.config})
	n.step(SeedsChanged{Now: n.clock(), Peers: []string{"a", "b", "c", "d", "e"}})
	c.after(time.Duration(c.rng.IntN(100))*time.Millisecond, n.tick)
}

func (c *testCluster) kill(i int) {
	c.nodes[i].alive = false
	c.unlistedFrom[c.nodes[i].state.Self.Name] = c.now.Add(instanceListLag)
}

func (n *node) clock() time.Time { return n.cluster.now.Add(n.offset) }

// deliver applies an event, after the pause if the node is paused.
func (n *node) deliver(e func() Event) {
	if !n.alive {
		return
	}
	if n.paused {
		n.queue = append(n.queue, func() { n.deliver(e) })
		return
	}
	n.step(e())
}

func (n *node) resume() {
	n.paused = false
	queue := n.queue
	n.queue = nil
	for _, run := range queue {
		run()
	}
}

func (n *node) tick() {
	if !n.alive {
		return
	}
	n.cluster.after(100*time.Millisecond, n.tick)
	n.startTraffic()
	if n.paused {
		return
	}
	e := n.inFlightEvent()
	n.cluster.after(time.Duration(n.cluster.rng.IntN(100))*time.Millisecond, func() {
		e.Now = n.clock()
		n.deliver(func() Event { return e })
	})
	n.step(Tick{Now: n.clock()})
}

// startTraffic starts requests that run up to the limit on the usable parts and
// on the reserve.
func (n *node) startTraffic() {
	for _, p := range n.holdings.Parts {
		if n.clock().Before(n.holdings.Deadline) {
			n.fillSlots(PartKey{p.Upstream, p.Index}, p.Slots)
		}
	}
	for _, r := range n.holdings.Reserve {
		n.fillSlots(PartKey{r.Upstream, -1}, r.Slots)
	}
}

// fillSlots fills the slots with requests in 30% of the calls, unless requests in
// flight still fill more slots.
func (n *node) fillSlots(k PartKey, slots int) {
	f := n.inFlight[k]
	if !n.cluster.percent(30) || n.cluster.now.Before(f.end) && f.slots > slots {
		return
	}
	l := n.state.upstreamConfig(k.Upstream).Limit
	if n.cluster.percent(50) {
		l = time.Duration(n.cluster.rng.Int64N(int64(l)))
	}
	n.inFlight[k] = inFlightRequests{later(f.end, n.cluster.now.Add(l)), slots}
	n.needsCheck = true
}

func (n *node) inFlightEvent() InFlightChanged {
	e := InFlightChanged{Now: n.clock(), Version: n.holdings.Version}
	for k, f := range n.inFlight {
		if n.cluster.now.Before(f.end) && k.Index >= 0 {
			e.Busy = append(e.Busy, Part{Upstream: k.Upstream, Index: k.Index})
		}
	}
	sortParts(e.Busy)
	return e
}

func (n *node) step(e Event) {
	if _, ok := e.(InFlightChanged); !ok && n.state.Leading {
		n.needsCheck = true
	}
	gap := eventTime(e).Sub(n.state.LastTick) > MaxTickGap
	effects := n.state.Step(e)
	if n.cluster.onStep != nil {
		n.cluster.onStep(n, e, effects)
	}
	if gap && (len(n.state.Holdings.Parts) > 0 || n.state.Leading) {
		n.cluster.violation("%s kept grants or its lease after a pause", n.state.Self.Name)
	}
	if n.state.KnownEpoch < n.lastKnownEpoch {
		n.cluster.violation("%s: epoch decreased", n.state.Self.Name)
	}
	n.lastKnownEpoch = n.state.KnownEpoch
	for _, f := range effects {
		n.perform(f)
	}
	n.checkCaches(e)
	if n.needsCheck {
		n.cluster.checkInvariants()
	}
	n.needsCheck = false
}

func (n *node) perform(f Effect) {
	switch f := f.(type) {
	case RoleChanged:
		n.needsCheck = true
	case HoldingsChanged:
		n.holdings, n.needsCheck = f.Holdings, true
		if n.state.Leading && f.Holdings.Deadline.After(n.state.leaseEnd()) {
			n.cluster.violation("%s: own grant outlives the lease", n.state.Self.Name)
		}
	case SendHeartbeatResponse:
		if f.Valid > 0 && n.clock().Add(f.Valid).After(n.state.leaseEnd()) {
			n.cluster.violation("%s: grant outlives the lease", n.state.Self.Name)
		}
		n.cluster.respond(n, f.Call, f)
	case SendVoteResponse:
		n.cluster.respond(n, f.Call, f)
	case SendHeartbeat:
		n.sendHeartbeat(f)
	case SendVoteRequest:
		n.sendVoteRequest(f)
	case ReadLease:
		n.readLease()
	case ListInstances:
		n.listInstances()
	case WriteLease:
		n.writeLease(f)
	}
}

// forEachUsable calls add for the slots that the node may use now and for those
// that its requests in flight may still use.
func (n *node) forEachUsable(add func(k PartKey, slots int)) {
	for _, p := range n.holdings.Parts {
		if n.alive && n.clock().Before(n.holdings.Deadline) {
			add(PartKey{p.Upstream, p.Index}, p.Slots)
		}
	}
	for k, f := range n.inFlight {
		if n.cluster.now.Before(f.end) {
			add(k, f.slots)
		}
	}
	for _, r := range n.holdings.Reserve {
		if n.alive {
			add(PartKey{r.Upstream, -1}, r.Slots)
		}
	}
}

// checkInvariants reports slots, quotas and leases with two holders.
func (c *testCluster) checkInvariants() {
	holders, slots, rate := map[PartKey]*node{}, map[string]int{}, 0.0
	leaders := 0
	mine := map[PartKey]int{}
	for _, n := range slices.Concat(c.nodes, c.terminated) {
		clear(mine)
		n.forEachUsable(func(k PartKey, count int) { mine[k] = max(mine[k], count) })
		for k, count := range mine {
			slots[k.Upstream] += count
			if other, ok := holders[k]; ok && k.Index >= 0 {
				c.violation("%v is in use at %s %d and %s %d", k, other.state.Self.Name, other.state.Self.Incarnation,
					n.state.Self.Name, n.state.Self.Incarnation)
			}
			holders[k] = n
		}
		if n.alive && n.clock().Before(n.holdings.Deadline) && len(n.holdings.Quotas) > 0 {
			rate += n.holdings.Quotas[0].Rate
		}
		if n.alive && n.state.Leading && n.clock().Before(n.state.leaseEnd()) {
			leaders++
		}
	}
	if leaders > 1 {
		c.violation("%d leaders", leaders)
	}
	if rate > testConfig.Quotas[0].Rate*1.000001 {
		c.violation("sum of the quotas is %v", rate)
	}
	for _, d := range testConfig.Upstreams {
		if slots[d.Upstream] > d.Slots {
			c.violation("%s: %d of %d slots in use", d.Upstream, slots[d.Upstream], d.Slots)
		}
	}
}

// run advances the clock by d, or until the first violation.
func (c *testCluster) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.violations) == 0 && len(c.queue) > 0 && !c.queue[0].at.After(end) {
		t := heap.Pop(&c.queue).(timer)
		c.now = t.at
		t.run()
	}
	if len(c.violations) == 0 {
		c.now = end
	}
}

// usableShare returns the fraction of all slots that some node may use now.
func (c *testCluster) usableShare() float64 {
	used, all := 0, 0
	for _, d := range testConfig.Upstreams {
		all += d.Slots
	}
	for _, n := range c.nodes {
		if !n.alive {
			continue
		}
		for _, p := range n.holdings.Parts {
			if n.clock().Before(n.holdings.Deadline) {
				used += p.Slots
			}
		}
		for _, r := range n.holdings.Reserve {
			used += r.Slots
		}
	}
	return float64(used) / float64(all)
}

// leader returns the index of the acting leader, or -1.
func (c *testCluster) leader() int {
	return slices.IndexFunc(c.nodes, func(n *node) bool { return n.alive && !n.paused && n.state.Leading })
}
