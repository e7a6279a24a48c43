package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"hornbeamstream.example/core/observer"
)

const ms = int64(time.Millisecond)

// load describes the requests of one service in the simulation.
type load struct {
	service string
	// offered is relative to the capacity of all slots.
	offered float64
	// responseSize is in bytes.
	meanServiceTime int64
	responseSize    int
	deadline        int64
}

// simulation is a discrete-event simulation of a deployment: entry instances with
// their own tables and observers, upstreams that queue requests beyond their
// slots, and links with delay and capacity. Time is virtual and all randomness
// comes from the seed.
type simulation struct {
	fleet
	policy   string
	loads    []load
	rng      *rand.Rand
	now, end int64
	// events are sorted by time.
	events    []event
	servers   map[string][]*server
	byName    map[string]*server
	instances []*simInstance
	byID      map[string]*simInstance
	links     map[[2]int]int64
	results   map[string]*result
	// retryRefused makes callers retry refused requests until their deadline.
	retryRefused bool
}

type server struct {
	name        string
	domain      int
	slots, busy int
	queue       []*job
	slowFactor  int64
}

type simInstance struct {
	domain       int
	input        Input
	table        *Table
	observer     *observer.State
	samples      map[string]*observer.Sample
	observedLoad map[*server]int
	nextServer   int
}

type job struct {
	load              *load
	entry, owner      *simInstance
	home              int
	startedAt, sentAt int64
	firstByteAt       int64
	slotTime          int64
	hash              uint64
	tried             Tried
	target            *Target
	server            *server
	triesLeft         int
	measured          bool
}

// result counts the requests that began after the warm-up. Good requests ended
// before their deadline. overLimit counts those of the whole run that exceeded
// the slots of an upstream.
type result struct {
	sent, good, refused, overLimit, forwarded, refusedForwards, local int
	latencies                                                         []int64
	// goodSlotTime is the slot time of good requests.
	goodSlotTime, refusedAfter int64
	goodput                    float64
}

// p99 returns the 99th percentile of the latency in milliseconds. Requests that
// were neither answered nor refused by the end of the run count as unanswered.
func (r *result) p99() float64 {
	for len(r.latencies)+r.refused < r.sent {
		r.latencies = append(r.latencies, unanswered)
	}
	slices.Sort(r.latencies)
	return float64(r.latencies[len(r.latencies)*99/100]) / float64(ms)
}

type event struct {
	at  int64
	run func()
}

const (
	warmup   = int64(4 * time.Second)
	maxTries = 4
	// unanswered is longer than any deadline.
	unanswered = int64(99 * time.Second)
)

func newSimulation(f fleet, policy string, seed uint64, seconds int64, loads ...load) *simulation {
	m := &simulation{
		fleet: f, policy: policy, loads: loads, rng: rand.New(rand.NewPCG(seed, 1)),
		now: testNow.UnixNano(), servers: map[string][]*server{}, byName: map[string]*server{},
		byID: map[string]*simInstance{}, links: map[[2]int]int64{}, results: map[string]*result{},
	}
	m.end = m.now + warmup + seconds*int64(time.Second)
	config, views := f.config(), f.views()
	for _, l := range loads {
		m.results[l.service] = &result{}
		for i := range f.upstreams {
			s := &server{name: indexedName(l.service, i), domain: i % f.domains, slots: config.Upstreams[indexedName(l.service, i)].Slots, slowFactor: 1}
			m.servers[l.service] = append(m.servers[l.service], s)
			m.byName[s.name] = s
		}
	}
	for i := range f.instances {
		n := &simInstance{
			domain: i % f.domains, input: f.input(i), observer: observer.New(testNow),
			samples: map[string]*observer.Sample{}, observedLoad: map[*server]int{},
		}
		n.input.Config, n.input.Views = config, views
		n.table = Build(n.input)
		m.instances = append(m.instances, n)
		m.byID[n.input.Self] = n
	}
	return m
}

func (m *simulation) schedule(d int64, run func()) {
	// Events at the same time run in the order in which they were scheduled.
	at := m.now + d
	i, _ := slices.BinarySearchFunc(m.events, at+1, func(e event, at int64) int { return cmp.Compare(e.at, at) })
	m.events = slices.Insert(m.events, i, event{at, run})
}

func (m *simulation) run() map[string]*result {
	for i := range m.loads {
		m.scheduleArrivals(&m.loads[i])
	}
	for _, n := range m.instances {
		m.observe(n)
	}
	for len(m.events) > 0 && m.events[0].at < m.end {
		e := m.events[0]
		m.events = m.events[1:]
		m.now = e.at
		e.run()
	}
	return m.results
}

// delay returns the one-way delay between two failure domains, with jitter.
func (m *simulation) delay(a, b int) int64 {
	d := 20 * ms
	switch {
	case a == b:
		d = ms / 5
	case a%m.regions == b%m.regions:
		d = 4 * ms
	}
	return d + m.rng.Int64N(d/4)
}

func (m *simulation) scheduleArrivals(l *load) {
	rate := l.offered * float64(m.upstreams*m.slotsOf(l.service)) / float64(l.meanServiceTime)
	m.schedule(int64(m.rng.ExpFloat64()/rate), func() {
		m.scheduleArrivals(l)
		j := &job{load: l, startedAt: m.now, hash: m.rng.Uint64(), triesLeft: maxTries, home: m.rng.IntN(m.regions)}
		for j.entry == nil || j.entry.domain%m.regions != j.home {
			j.entry = m.instances[m.rng.IntN(len(m.instances))]
		}
		j.measured = m.now >= testNow.UnixNano()+warmup && m.now+l.deadline < m.end
		if j.measured {
			m.results[l.service].sent++
		}
		m.place(j)
	})
}

func (m *simulation) place(j *job) {
	if m.policy != "ours" {
		j.server = m.baseline(j.entry, m.servers[j.load.service])
		m.schedule(m.delay(j.entry.domain, j.server.domain), func() { m.serve(j) })
		return
	}
	c, _ := j.entry.table.Choose(m.request(j, j.entry), m.now, &j.tried)
	j.triesLeft--
	switch {
	case c.Target != nil:
		j.owner = j.entry
		m.admit(j, c.Target)
	case c.Peer != nil && j.triesLeft >= 0:
		j.tried.Add(c)
		j.owner = m.byID[c.Peer.Name]
		m.countMeasured(j, &m.results[j.load.service].forwarded)
		m.schedule(m.delay(j.entry.domain, j.owner.domain), func() { m.receiveForwarded(j, c.Peer) })
	default:
		m.refuse(j)
	}
}

func (m *simulation) request(j *job, at *simInstance) *Request {
	return &Request{
		Service: at.table.Services[j.load.service], Region: m.region(j.home), Hash: j.hash,
		Deadline: j.startedAt + j.load.deadline, Forwarded: at != j.entry, EntryRegion: j.entry.input.Region,
		Priority: at.table.Services[j.load.service].Priority,
	}
}

// receiveForwarded handles a forwarded request at the owner. If the owner has no
// free slot, the entry instance learns so from the refusal and tries again.
func (m *simulation) receiveForwarded(j *job, p *Peer) {
	c, _ := j.owner.table.Choose(m.request(j, j.owner), m.now, nil)
	if c.Target != nil {
		m.admit(j, c.Target)
		return
	}
	m.countMeasured(j, &m.results[j.load.service].refusedForwards)
	m.schedule(m.delay(j.entry.domain, j.owner.domain), func() {
		p.Credits[j.load.service].RecordRefusal(m.now)
		m.place(j)
	})
}

func (m *simulation) admit(j *job, g *Target) {
	j.target, j.server = g, m.byName[g.Upstream]
	m.serve(j)
}

func (m *simulation) countMeasured(j *job, n *int) {
	if j.measured {
		*n++
	}
}

func (m *simulation) refuse(j *job) {
	if wait := 100*ms + m.rng.Int64N(50*ms); m.retryRefused && m.now+wait < j.startedAt+j.load.deadline {
		j.triesLeft, j.tried = maxTries, Tried{}
		m.schedule(wait, func() { m.place(j) })
		return
	}
	if j.measured {
		r := m.results[j.load.service]
		r.refused++
		r.refusedAfter = max(r.refusedAfter, m.now-j.startedAt)
	}
}

func (m *simulation) serve(j *job) {
	s := j.server
	if s.busy >= s.slots {
		m.results[j.load.service].overLimit++
		s.queue = append(s.queue, j)
		return
	}
	s.busy++
	j.sentAt = m.now
	serviceTime := j.load.meanServiceTime/4 + int64(m.rng.ExpFloat64()*float64(j.load.meanServiceTime)*3/4)
	m.schedule(serviceTime*s.slowFactor, func() {
		j.firstByteAt = m.now
		m.transfer(j, j.load.responseSize)
	})
}

// transfer sends the response in chunks and ends the job. The link's budget paces
// the chunks; its capacity delays them.
func (m *simulation) transfer(j *job, remaining int) {
	from, to := j.server.domain%m.regions, j.entry.domain%m.regions
	if remaining <= 0 || from == to {
		m.finish(j, 0)
		return
	}
	n := min(remaining, 256<<10)
	key := [2]int{from, to}
	m.links[key] = max(m.links[key], m.now) + int64(n)*int64(time.Second)/(1<<29)
	queued := m.links[key] - m.now
	if remaining == n {
		m.finish(j, queued)
		return
	}
	wait := queued
	if m.policy == "ours" {
		if l := j.owner.table.counters.links[m.region(to)]; l != nil {
			wait = max(wait, int64(l.Charge(m.now, n, j.owner.table.Services[j.load.service].Bulk)))
		}
	}
	m.schedule(wait, func() { m.transfer(j, remaining-n) })
}

func (m *simulation) finish(j *job, queued int64) {
	s := j.server
	s.busy--
	j.slotTime = m.now - j.sentAt
	if j.target != nil {
		j.target.Gate.Release()
		x := j.owner.samples[s.name]
		if x == nil {
			x = &observer.Sample{Upstream: s.name}
			j.owner.samples[s.name] = x
		}
		x.Latency = (x.Latency*time.Duration(x.OK) + time.Duration(j.firstByteAt-j.sentAt)) / time.Duration(x.OK+1)
		x.OK++
	}
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		m.serve(next)
	}
	free := 0
	if j.owner != nil {
		free = j.owner.table.FreeSlots(j.load.service, m.now)
	}
	m.schedule(queued+m.delay(j.entry.domain, s.domain), func() { m.receiveResponse(j, free) })
}

func (m *simulation) receiveResponse(j *job, free int) {
	if j.owner != nil && j.owner != j.entry {
		for _, p := range j.entry.table.Services[j.load.service].Peers {
			if p.Name == j.owner.input.Self {
				p.Credits[j.load.service].Update(free, m.now)
			}
		}
	}
	if !j.measured {
		return
	}
	r := m.results[j.load.service]
	r.latencies = append(r.latencies, m.now-j.startedAt)
	if m.now-j.startedAt <= j.load.deadline {
		r.good++
		r.goodSlotTime += j.slotTime
	}
	if j.server.domain%m.regions == j.home {
		r.local++
	}
}

// observe runs an instance's observer, and updates the loads that the baseline
// policies use, which lag by up to half a second.
func (m *simulation) observe(n *simInstance) {
	now := time.Unix(0, m.now)
	var batch []observer.Sample
	for _, p := range n.input.Holdings.Parts {
		if x := n.samples[p.Upstream]; x != nil {
			batch = append(batch, *x)
		}
	}
	clear(n.samples)
	if m.now == testNow.UnixNano() {
		var specs []observer.Spec
		for _, p := range n.input.Holdings.Parts {
			u := n.input.Config.Upstreams[p.Upstream]
			specs = append(specs, observer.Spec{Upstream: p.Upstream, Service: u.Service, Slots: u.Slots})
		}
		m.stepObserver(n, observer.SpecsChanged{Now: now, Specs: specs})
	}
	m.stepObserver(n, observer.Sampled{Now: now, Samples: batch})
	if m.now/ms%500 < 200 {
		for _, s := range m.byName {
			n.observedLoad[s] = s.busy + len(s.queue)
		}
	}
	m.schedule(200*ms+m.rng.Int64N(ms), func() { m.observe(n) })
}

func (m *simulation) stepObserver(n *simInstance, e observer.Event) {
	changed := false
	for _, x := range n.observer.Step(e) {
		if v, ok := x.(observer.Verdict); ok {
			n.input.Verdicts = append(n.input.Verdicts, v)
			changed = true
		}
	}
	if changed {
		n.input.Previous = n.table
		n.table = Build(n.input)
	}
}

// baseline chooses a server by one of the baseline policies, which use no gates.
func (m *simulation) baseline(n *simInstance, all []*server) *server {
	load := func(s *server) float64 { return float64(n.observedLoad[s]) / float64(s.slots) }
	pick := func() *server { return all[m.rng.IntN(len(all))] }
	switch m.policy {
	case "roundrobin":
		n.nextServer++
		return all[n.nextServer%len(all)]
	case "leastload":
		return slices.MinFunc(all, func(a, b *server) int {
			if load(a) < load(b) || load(a) == load(b) && m.rng.IntN(2) == 0 {
				return -1
			}
			return 1
		})
	case "twochoices":
		a, b := pick(), pick()
		if load(b) < load(a) {
			return b
		}
		return a
	}
	return pick()
}
