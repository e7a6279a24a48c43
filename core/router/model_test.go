package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"hornbeamstream.example/core/observer"
)

const ms = int64(time.Millisecond)

// load describes the requests of one service in the model.
type load struct {
	service string
	// offered is relative to what all slots carry.
	offered float64
	// mean is the mean service time, answer the size of an answer in bytes.
	mean     int64
	answer   int
	deadline int64
}

// model is a discrete-event model of a deployment: entry instances with their
// own tables and observers, upstreams that queue above their slots, links with
// delay and capacity. Time is virtual and all randomness comes from the seed.
type model struct {
	fleet
	policy   string
	loads    []load
	rng      *rand.Rand
	now, end int64
	// events are in order of time.
	events    []event
	servers   map[string][]*server
	byName    map[string]*server
	instances []*instance
	byID      map[string]*instance
	links     map[[2]int]int64
	results   map[string]*result
	// repeat makes callers repeat refused requests until their deadline.
	repeat bool
}

type server struct {
	name        string
	domain      int
	slots, busy int
	queue       []*job
	slow        int64
}

type instance struct {
	domain  int
	in      Input
	table   *Table
	judge   *observer.State
	samples map[string]*observer.Sample
	seen    map[*server]int
	next    int
}

type job struct {
	load         *load
	entry, owner *instance
	home         int
	start, sent  int64
	first        int64
	slotTime     int64
	hash         uint64
	tried        Tried
	target       *Target
	server       *server
	left         int
	counted      bool
}

// result counts the requests that began after the warm-up. Good ones ended
// before their deadline.
type result struct {
	sent, good, refused, over, hops, wasted, local int
	latencies                                      []int64
	// used is the slot time of the good ones.
	used, refusedAfter int64
	goodput            float64
}

// p99 counts requests without an answer until the end of the run as the longest.
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
	triesMax = 4
	// unanswered is longer than any deadline.
	unanswered = int64(99 * time.Second)
)

func newModel(f fleet, policy string, seed uint64, seconds int64, loads ...load) *model {
	m := &model{
		fleet: f, policy: policy, loads: loads, rng: rand.New(rand.NewPCG(seed, 1)),
		now: testNow.UnixNano(), servers: map[string][]*server{}, byName: map[string]*server{},
		byID: map[string]*instance{}, links: map[[2]int]int64{}, results: map[string]*result{},
	}
	m.end = m.now + warmup + seconds*int64(time.Second)
	config, views := f.config(), f.views()
	for _, l := range loads {
		m.results[l.service] = &result{}
		for i := range f.upstreams {
			s := &server{name: name(l.service, i), domain: i % f.domains, slots: config.Upstreams[name(l.service, i)].Slots, slow: 1}
			m.servers[l.service] = append(m.servers[l.service], s)
			m.byName[s.name] = s
		}
	}
	for i := range f.instances {
		n := &instance{
			domain: i % f.domains, in: f.input(i), judge: observer.New(testNow),
			samples: map[string]*observer.Sample{}, seen: map[*server]int{},
		}
		n.in.Config, n.in.Views = config, views
		n.table = Build(n.in)
		m.instances = append(m.instances, n)
		m.byID[n.in.Self] = n
	}
	return m
}

func (m *model) after(d int64, run func()) {
	// Events at the same time run in the order in which they were made.
	at := m.now + d
	i, _ := slices.BinarySearchFunc(m.events, at+1, func(e event, at int64) int { return cmp.Compare(e.at, at) })
	m.events = slices.Insert(m.events, i, event{at, run})
}

func (m *model) run() map[string]*result {
	for i := range m.loads {
		m.arrivals(&m.loads[i])
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

// delay is the one-way delay between two failure domains, with variation.
func (m *model) delay(a, b int) int64 {
	d := 20 * ms
	switch {
	case a == b:
		d = ms / 5
	case a%m.regions == b%m.regions:
		d = 4 * ms
	}
	return d + m.rng.Int64N(d/4)
}

func (m *model) arrivals(l *load) {
	rate := l.offered * float64(m.upstreams*m.slotsOf(l.service)) / float64(l.mean)
	m.after(int64(m.rng.ExpFloat64()/rate), func() {
		m.arrivals(l)
		j := &job{load: l, start: m.now, hash: m.rng.Uint64(), left: triesMax, home: m.rng.IntN(m.regions)}
		for j.entry == nil || j.entry.domain%m.regions != j.home {
			j.entry = m.instances[m.rng.IntN(len(m.instances))]
		}
		j.counted = m.now >= testNow.UnixNano()+warmup && m.now+l.deadline < m.end
		if j.counted {
			m.results[l.service].sent++
		}
		m.place(j)
	})
}

func (m *model) place(j *job) {
	if m.policy != "ours" {
		j.server = m.baseline(j.entry, m.servers[j.load.service])
		m.after(m.delay(j.entry.domain, j.server.domain), func() { m.serve(j) })
		return
	}
	c, _ := j.entry.table.Choose(m.request(j, j.entry), m.now, &j.tried)
	j.left--
	switch {
	case c.Target != nil:
		j.owner = j.entry
		m.admit(j, c.Target)
	case c.Peer != nil && j.left >= 0:
		j.tried.Add(c)
		j.owner = m.byID[c.Peer.Name]
		m.count(j, &m.results[j.load.service].hops)
		m.after(m.delay(j.entry.domain, j.owner.domain), func() { m.arrive(j, c.Peer) })
	default:
		m.refuse(j)
	}
}

func (m *model) request(j *job, at *instance) *Request {
	return &Request{
		Service: at.table.Services[j.load.service], Region: m.region(j.home), Hash: j.hash,
		Deadline: j.start + j.load.deadline, Forwarded: at != j.entry, EntryRegion: j.entry.in.Region,
		Priority: at.table.Services[j.load.service].Priority,
	}
}

// arrive is a forwarded request at the owner. Its answer carries the credit.
func (m *model) arrive(j *job, p *Peer) {
	c, _ := j.owner.table.Choose(m.request(j, j.owner), m.now, nil)
	if c.Target != nil {
		m.admit(j, c.Target)
		return
	}
	m.count(j, &m.results[j.load.service].wasted)
	m.after(m.delay(j.entry.domain, j.owner.domain), func() {
		p.Credits[j.load.service].RecordRefusal(m.now)
		m.place(j)
	})
}

func (m *model) admit(j *job, g *Target) {
	j.target, j.server = g, m.byName[g.Upstream]
	m.serve(j)
}

func (m *model) count(j *job, n *int) {
	if j.counted {
		*n++
	}
}

func (m *model) refuse(j *job) {
	if wait := 100*ms + m.rng.Int64N(50*ms); m.repeat && m.now+wait < j.start+j.load.deadline {
		j.left, j.tried = triesMax, Tried{}
		m.after(wait, func() { m.place(j) })
		return
	}
	if j.counted {
		r := m.results[j.load.service]
		r.refused++
		r.refusedAfter = max(r.refusedAfter, m.now-j.start)
	}
}

func (m *model) serve(j *job) {
	s := j.server
	if s.busy >= s.slots {
		m.results[j.load.service].over++
		s.queue = append(s.queue, j)
		return
	}
	s.busy++
	j.sent = m.now
	time := j.load.mean/4 + int64(m.rng.ExpFloat64()*float64(j.load.mean)*3/4)
	m.after(time*s.slow, func() {
		j.first = m.now
		m.transfer(j, j.load.answer)
	})
}

// transfer sends the answer in pieces and ends the job. The link's budget
// paces the pieces, its capacity delays them.
func (m *model) transfer(j *job, left int) {
	from, to := j.server.domain%m.regions, j.entry.domain%m.regions
	if left <= 0 || from == to {
		m.finish(j, 0)
		return
	}
	n := min(left, 256<<10)
	key := [2]int{from, to}
	m.links[key] = max(m.links[key], m.now) + int64(n)*int64(time.Second)/(1<<29)
	queued := m.links[key] - m.now
	if left == n {
		m.finish(j, queued)
		return
	}
	wait := queued
	if m.policy == "ours" {
		if l := j.owner.table.counters.links[m.region(to)]; l != nil {
			wait = max(wait, int64(l.Charge(m.now, n, j.owner.table.Services[j.load.service].Bulk)))
		}
	}
	m.after(wait, func() { m.transfer(j, left-n) })
}

func (m *model) finish(j *job, queued int64) {
	s := j.server
	s.busy--
	j.slotTime = m.now - j.sent
	if j.target != nil {
		j.target.Gate.Release()
		x := j.owner.samples[s.name]
		if x == nil {
			x = &observer.Sample{Upstream: s.name}
			j.owner.samples[s.name] = x
		}
		x.Latency = (x.Latency*time.Duration(x.OK) + time.Duration(j.first-j.sent)) / time.Duration(x.OK+1)
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
	m.after(queued+m.delay(j.entry.domain, s.domain), func() { m.answer(j, free) })
}

func (m *model) answer(j *job, free int) {
	if j.owner != nil && j.owner != j.entry {
		for _, p := range j.entry.table.Services[j.load.service].Peers {
			if p.Name == j.owner.in.Self {
				p.Credits[j.load.service].Update(free, m.now)
			}
		}
	}
	if !j.counted {
		return
	}
	r := m.results[j.load.service]
	r.latencies = append(r.latencies, m.now-j.start)
	if m.now-j.start <= j.load.deadline {
		r.good++
		r.used += j.slotTime
	}
	if j.server.domain%m.regions == j.home {
		r.local++
	}
}

// observe runs an instance's observer, and reports loads to the baselines, with
// a lag of up to half a second.
func (m *model) observe(n *instance) {
	now := time.Unix(0, m.now)
	var batch []observer.Sample
	for _, p := range n.in.Holdings.Parts {
		if x := n.samples[p.Upstream]; x != nil {
			batch = append(batch, *x)
		}
	}
	clear(n.samples)
	if m.now == testNow.UnixNano() {
		var specs []observer.Spec
		for _, p := range n.in.Holdings.Parts {
			u := n.in.Config.Upstreams[p.Upstream]
			specs = append(specs, observer.Spec{Upstream: p.Upstream, Service: u.Service, Slots: u.Slots})
		}
		m.judge(n, observer.SpecsChanged{Now: now, Specs: specs})
	}
	m.judge(n, observer.Sampled{Now: now, Samples: batch})
	if m.now/ms%500 < 200 {
		for _, s := range m.byName {
			n.seen[s] = s.busy + len(s.queue)
		}
	}
	m.after(200*ms+m.rng.Int64N(ms), func() { m.observe(n) })
}

func (m *model) judge(n *instance, e observer.Event) {
	changed := false
	for _, x := range n.judge.Step(e) {
		if v, ok := x.(observer.Verdict); ok {
			n.in.Verdicts = append(n.in.Verdicts, v)
			changed = true
		}
	}
	if changed {
		n.in.Previous = n.table
		n.table = Build(n.in)
	}
}

// baseline is a policy without gates.
func (m *model) baseline(n *instance, all []*server) *server {
	load := func(s *server) float64 { return float64(n.seen[s]) / float64(s.slots) }
	pick := func() *server { return all[m.rng.IntN(len(all))] }
	switch m.policy {
	case "roundrobin":
		n.next++
		return all[n.next%len(all)]
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
