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
	requestLimit    = 4 * time.Second
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

type timer struct {
	at  time.Time
	seq int
	run func()
}

type timerQueue []timer

func (c timerQueue) Len() int      { return len(c) }
func (c timerQueue) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *timerQueue) Push(x any)   { *c = append(*c, x.(timer)) }
func (c timerQueue) Less(i, j int) bool {
	return cmp.Or(c[i].at.Compare(c[j].at), cmp.Compare(c[i].seq, c[j].seq)) < 0
}

func (c *timerQueue) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// flight is a number of requests in flight that end at the same time.
type inFlightRequests struct {
	end   time.Time
	slots int
}

// node is an instance: a State, its traffic and its own clock.
type node struct {
	cluster *testCluster
	state   *State
	offset  time.Duration
	alive   bool
	paused  bool
	queue   []func()
	// group, cut and platform say whom the node reaches.
	partition         int
	unreachablePeer   *node
	platformReachable bool
	holdings          Holdings
	// flying maps parts, and reserves at index -1, to the requests in flight.
	inFlight       map[PartKey]inFlightRequests
	lastKnownEpoch uint64
	// changed tells that the use of slots or the lease may have grown.
	needsCheck bool
}

// world is one domain with a simulated platform store on a fake clock.
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
	// named and absent say from when on the list, which lags, names an instance
	// or no longer does.
	listedFrom, unlistedFrom map[string]time.Time
	pendingReplies           map[uint64]func(*node, Effect)
	lastCall                 uint64
	// Probabilities in percent: loss of a lost message, lost of a lost answer of
	// the platform, late that such a write takes effect nevertheless, slow of a
	// message that takes seconds.
	messageLossPercent, writeAnswerLossPercent, lateWritePercent, slowMessagePercent int
	violations                                                                       []string
	onStep                                                                           func(*node, Event, []Effect)
}

func newCluster(seed uint64, n int) *testCluster {
	w := &testCluster{
		now:              startTime,
		lateWritePercent: 70,
		config:           testConfig,
		rng:              rand.New(rand.NewPCG(seed, 1)),
		listedFrom:       map[string]time.Time{},
		unlistedFrom:     map[string]time.Time{},
		pendingReplies:   map[uint64]func(*node, Effect){},
	}
	for i := range n {
		w.start(i, 1)
	}
	return w
}

func (w *testCluster) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, timer{w.now.Add(d), w.seq, run})
}

func (w *testCluster) percent(p int) bool { return w.rng.IntN(100) < p }

func (w *testCluster) violation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v ", w.now.Sub(startTime))+fmt.Sprintf(format, args...))
}

func (w *testCluster) start(i int, incarnation uint64) {
	name := string(rune('a' + i))
	n := &node{cluster: w, alive: true, platformReachable: true, inFlight: map[PartKey]inFlightRequests{}}
	n.offset = time.Duration(w.rng.IntN(1000)) * time.Hour
	m := Member{Name: name, Incarnation: incarnation, Peer: name, Domain: "d"}
	n.state = New(m, n.clock())
	if i < len(w.nodes) {
		w.terminated = append(w.terminated, w.nodes[i])
		w.nodes[i] = n
	} else {
		w.nodes = append(w.nodes, n)
	}
	if t, ok := w.unlistedFrom[name]; !ok || !w.now.Before(t) {
		w.listedFrom[name] = w.now.Add(instanceListLag)
	}
	delete(w.unlistedFrom, name)
	n.step(ConfigChanged{Now: n.clock(), Config: w.config})
	n.step(SeedsChanged{Now: n.clock(), Peers: []string{"a", "b", "c", "d", "e"}})
	w.after(time.Duration(w.rng.IntN(100))*time.Millisecond, n.tick)
}

func (w *testCluster) kill(i int) {
	w.nodes[i].alive = false
	w.unlistedFrom[w.nodes[i].state.Self.Name] = w.now.Add(instanceListLag)
}

func (n *node) clock() time.Time { return n.cluster.now.Add(n.offset) }

// deliver hands an event over, after the pause if the node is paused.
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

// traffic starts requests that run up to the limit on parts that are usable.
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

// fly fills the slots now and then, unless more of them are still filled.
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
		n.cluster.violation("%s kept grants or its lease over a pause", n.state.Self.Name)
	}
	if n.state.KnownEpoch < n.lastKnownEpoch {
		n.cluster.violation("%s: epoch fell", n.state.Self.Name)
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
			n.cluster.violation("%s: own grant after the lease", n.state.Self.Name)
		}
	case SendHeartbeatResponse:
		if f.Valid > 0 && n.clock().Add(f.Valid).After(n.state.leaseEnd()) {
			n.cluster.violation("%s: grant after the lease", n.state.Self.Name)
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

// usable returns the slots that a node's traffic may use on its parts, and
// those that requests in flight may still use.
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

// check looks for slots, quotas and leases in two hands.
func (w *testCluster) checkInvariants() {
	holders, slots, rate := map[PartKey]*node{}, map[string]int{}, 0.0
	leaders := 0
	mine := map[PartKey]int{}
	for _, n := range slices.Concat(w.nodes, w.terminated) {
		clear(mine)
		n.forEachUsable(func(k PartKey, c int) { mine[k] = max(mine[k], c) })
		for k, c := range mine {
			slots[k.Upstream] += c
			if other, ok := holders[k]; ok && k.Index >= 0 {
				w.violation("%v is in use at %s %d and %s %d", k, other.state.Self.Name, other.state.Self.Incarnation,
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
		w.violation("%d leaders", leaders)
	}
	if rate > testConfig.Quotas[0].Rate*1.000001 {
		w.violation("quotas sum up to %v", rate)
	}
	for _, d := range testConfig.Upstreams {
		if slots[d.Upstream] > d.Slots {
			w.violation("%s: %d of %d slots in use", d.Upstream, slots[d.Upstream], d.Slots)
		}
	}
}

// run lets the given time pass, or stops at the first fault.
func (w *testCluster) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.violations) == 0 && len(w.queue) > 0 && !w.queue[0].at.After(end) {
		c := heap.Pop(&w.queue).(timer)
		w.now = c.at
		c.run()
	}
	if len(w.violations) == 0 {
		w.now = end
	}
}

// share returns the fraction of all slots that some node may use now.
func (w *testCluster) usableShare() float64 {
	used, all := 0, 0
	for _, d := range testConfig.Upstreams {
		all += d.Slots
	}
	for _, n := range w.nodes {
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
func (w *testCluster) leader() int {
	return slices.IndexFunc(w.nodes, func(n *node) bool { return n.alive && !n.paused && n.state.Leading })
}
