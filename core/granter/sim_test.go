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
	limit   = 4 * time.Second
	listLag = 3 * time.Second
)

var plan = Config{
	Version: 1,
	Domain:  "d",
	Upstreams: []UpstreamConfig{
		{Upstream: "u1", Service: "lookup", Priority: 1, Slots: 100, Limit: limit},
		{Upstream: "u2", Service: "lookup", Priority: 1, Slots: 6, Limit: limit},
		{Upstream: "u3", Service: "posting", Slots: 64, Limit: time.Second},
		{Upstream: "u4", Service: "posting", Slots: 3, Limit: limit},
	},
	Quotas:  []Quota{{Name: "shift/lookup", Rate: 100}},
	Reserve: 0.1,
}

var epoch = time.Unix(1e9, 0).UTC()

type call struct {
	at  time.Time
	seq int
	run func()
}

type calls []call

func (c calls) Len() int      { return len(c) }
func (c calls) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *calls) Push(x any)   { *c = append(*c, x.(call)) }
func (c calls) Less(i, j int) bool {
	return cmp.Or(c[i].at.Compare(c[j].at), cmp.Compare(c[i].seq, c[j].seq)) < 0
}

func (c *calls) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// flight is a number of requests in flight that end at the same time.
type flight struct {
	end   time.Time
	slots int
}

// node is an instance: a State, its traffic and its own clock.
type node struct {
	w      *world
	st     *State
	offset time.Duration
	alive  bool
	paused bool
	queue  []func()
	// group, cut and platform say whom the node reaches.
	group    int
	cut      *node
	platform bool
	uses     Holdings
	// flying maps parts, and reserves at index -1, to the requests in flight.
	flying map[PartKey]flight
	known  uint64
	// changed tells that the use of slots or the lease may have grown.
	changed bool
}

// world is one domain with a simulated platform store on a fake clock.
type world struct {
	now     time.Time
	seq     int
	queue   calls
	rng     *rand.Rand
	nodes   []*node
	dead    []*node
	down    bool
	version uint64
	current Config
	lease   Lease
	// named and absent say from when on the list, which lags, names an instance
	// or no longer does.
	named, absent map[string]time.Time
	calls         map[uint64]func(*node, Effect)
	lastID        uint64
	// Probabilities in percent: loss of a lost message, lost of a lost answer of
	// the platform, late that such a write takes effect nevertheless, slow of a
	// message that takes seconds.
	loss, lost, late, slow int
	faults                 []string
	script                 func(*node, Event, []Effect)
}

func newWorld(seed uint64, n int) *world {
	w := &world{
		now:     epoch,
		late:    70,
		current: plan,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		named:   map[string]time.Time{},
		absent:  map[string]time.Time{},
		calls:   map[uint64]func(*node, Effect){},
	}
	for i := range n {
		w.start(i, 1)
	}
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, call{w.now.Add(d), w.seq, run})
}

func (w *world) percent(p int) bool { return w.rng.IntN(100) < p }

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%v ", w.now.Sub(epoch))+fmt.Sprintf(format, args...))
}

func (w *world) start(i int, incarnation uint64) {
	name := string(rune('a' + i))
	n := &node{w: w, alive: true, platform: true, flying: map[PartKey]flight{}}
	n.offset = time.Duration(w.rng.IntN(1000)) * time.Hour
	m := Member{Name: name, Incarnation: incarnation, Peer: name, Domain: "d"}
	n.st = New(m, n.clock())
	if i < len(w.nodes) {
		w.dead = append(w.dead, w.nodes[i])
		w.nodes[i] = n
	} else {
		w.nodes = append(w.nodes, n)
	}
	if t, ok := w.absent[name]; !ok || !w.now.Before(t) {
		w.named[name] = w.now.Add(listLag)
	}
	delete(w.absent, name)
	n.step(ConfigChanged{Now: n.clock(), Config: w.current})
	n.step(SeedsChanged{Now: n.clock(), Peers: []string{"a", "b", "c", "d", "e"}})
	w.after(time.Duration(w.rng.IntN(100))*time.Millisecond, n.tick)
}

func (w *world) kill(i int) {
	w.nodes[i].alive = false
	w.absent[w.nodes[i].st.Self.Name] = w.now.Add(listLag)
}

func (n *node) clock() time.Time { return n.w.now.Add(n.offset) }

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
	n.w.after(100*time.Millisecond, n.tick)
	n.traffic()
	if n.paused {
		return
	}
	e := n.inFlight()
	n.w.after(time.Duration(n.w.rng.IntN(100))*time.Millisecond, func() {
		e.Now = n.clock()
		n.deliver(func() Event { return e })
	})
	n.step(Tick{Now: n.clock()})
}

// traffic starts requests that run up to the limit on parts that are usable.
func (n *node) traffic() {
	for _, p := range n.uses.Parts {
		if n.clock().Before(n.uses.Deadline) {
			n.fly(PartKey{p.Upstream, p.Index}, p.Slots)
		}
	}
	for _, r := range n.uses.Reserve {
		n.fly(PartKey{r.Upstream, -1}, r.Slots)
	}
}

// fly fills the slots now and then, unless more of them are still filled.
func (n *node) fly(k PartKey, slots int) {
	f := n.flying[k]
	if !n.w.percent(30) || n.w.now.Before(f.end) && f.slots > slots {
		return
	}
	l := n.st.demand(k.Upstream).Limit
	if n.w.percent(50) {
		l = time.Duration(n.w.rng.Int64N(int64(l)))
	}
	n.flying[k] = flight{later(f.end, n.w.now.Add(l)), slots}
	n.changed = true
}

func (n *node) inFlight() InFlightChanged {
	e := InFlightChanged{Now: n.clock(), Version: n.uses.Version}
	for k, f := range n.flying {
		if n.w.now.Before(f.end) && k.Index >= 0 {
			e.Busy = append(e.Busy, Part{Upstream: k.Upstream, Index: k.Index})
		}
	}
	sortParts(e.Busy)
	return e
}

func (n *node) step(e Event) {
	if _, ok := e.(InFlightChanged); !ok && n.st.Leading {
		n.changed = true
	}
	gap := eventTime(e).Sub(n.st.LastTick) > MaxTickGap
	effects := n.st.Step(e)
	if n.w.script != nil {
		n.w.script(n, e, effects)
	}
	if gap && (len(n.st.Holdings.Parts) > 0 || n.st.Leading) {
		n.w.fault("%s kept grants or its lease over a pause", n.st.Self.Name)
	}
	if n.st.KnownEpoch < n.known {
		n.w.fault("%s: epoch fell", n.st.Self.Name)
	}
	n.known = n.st.KnownEpoch
	for _, f := range effects {
		n.perform(f)
	}
	n.checkKept(e)
	if n.changed {
		n.w.check()
	}
	n.changed = false
}

func (n *node) perform(f Effect) {
	switch f := f.(type) {
	case RoleChanged:
		n.changed = true
	case HoldingsChanged:
		n.uses, n.changed = f.Holdings, true
		if n.st.Leading && f.Holdings.Deadline.After(n.st.leaseEnd()) {
			n.w.fault("%s: own grant after the lease", n.st.Self.Name)
		}
	case SendHeartbeatResponse:
		if f.Valid > 0 && n.clock().Add(f.Valid).After(n.st.leaseEnd()) {
			n.w.fault("%s: grant after the lease", n.st.Self.Name)
		}
		n.w.answer(n, f.Call, f)
	case SendVoteResponse:
		n.w.answer(n, f.Call, f)
	case SendHeartbeat:
		n.heartbeat(f)
	case SendVoteRequest:
		n.vote(f)
	case ReadLease:
		n.read()
	case ListInstances:
		n.list()
	case WriteLease:
		n.write(f)
	}
}

// usable returns the slots that a node's traffic may use on its parts, and
// those that requests in flight may still use.
func (n *node) usable(add func(k PartKey, slots int)) {
	for _, p := range n.uses.Parts {
		if n.alive && n.clock().Before(n.uses.Deadline) {
			add(PartKey{p.Upstream, p.Index}, p.Slots)
		}
	}
	for k, f := range n.flying {
		if n.w.now.Before(f.end) {
			add(k, f.slots)
		}
	}
	for _, r := range n.uses.Reserve {
		if n.alive {
			add(PartKey{r.Upstream, -1}, r.Slots)
		}
	}
}

// check looks for slots, quotas and leases in two hands.
func (w *world) check() {
	holders, slots, rate := map[PartKey]*node{}, map[string]int{}, 0.0
	leaders := 0
	mine := map[PartKey]int{}
	for _, n := range slices.Concat(w.nodes, w.dead) {
		clear(mine)
		n.usable(func(k PartKey, c int) { mine[k] = max(mine[k], c) })
		for k, c := range mine {
			slots[k.Upstream] += c
			if other, ok := holders[k]; ok && k.Index >= 0 {
				w.fault("%v is in use at %s %d and %s %d", k, other.st.Self.Name, other.st.Self.Incarnation,
					n.st.Self.Name, n.st.Self.Incarnation)
			}
			holders[k] = n
		}
		if n.alive && n.clock().Before(n.uses.Deadline) && len(n.uses.Quotas) > 0 {
			rate += n.uses.Quotas[0].Rate
		}
		if n.alive && n.st.Leading && n.clock().Before(n.st.leaseEnd()) {
			leaders++
		}
	}
	if leaders > 1 {
		w.fault("%d leaders", leaders)
	}
	if rate > plan.Quotas[0].Rate*1.000001 {
		w.fault("quotas sum up to %v", rate)
	}
	for _, d := range plan.Upstreams {
		if slots[d.Upstream] > d.Slots {
			w.fault("%s: %d of %d slots in use", d.Upstream, slots[d.Upstream], d.Slots)
		}
	}
}

// run lets the given time pass, or stops at the first fault.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.faults) == 0 && len(w.queue) > 0 && !w.queue[0].at.After(end) {
		c := heap.Pop(&w.queue).(call)
		w.now = c.at
		c.run()
	}
	if len(w.faults) == 0 {
		w.now = end
	}
}

// share returns the fraction of all slots that some node may use now.
func (w *world) share() float64 {
	used, all := 0, 0
	for _, d := range plan.Upstreams {
		all += d.Slots
	}
	for _, n := range w.nodes {
		if !n.alive {
			continue
		}
		for _, p := range n.uses.Parts {
			if n.clock().Before(n.uses.Deadline) {
				used += p.Slots
			}
		}
		for _, r := range n.uses.Reserve {
			used += r.Slots
		}
	}
	return float64(used) / float64(all)
}

// leader returns the index of the acting leader, or -1.
func (w *world) leader() int {
	return slices.IndexFunc(w.nodes, func(n *node) bool { return n.alive && !n.paused && n.st.Leading })
}
