package router

import (
	"math"
	"sort"
	"time"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/limiter"
	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/observer"
)

// Input is what a table is made of. Its maps and slices must not be changed
// afterwards.
type Input struct {
	Now    time.Time
	Config *loader.State
	// Self, Domain and Region describe this instance.
	Self, Domain, Region string
	Holdings             granter.Holdings
	// Views are the newest views of all domains, the own one included.
	Views []granter.View
	// Verdicts are the newest ones of the upstreams of the own domain.
	Verdicts []observer.Verdict
	// Previous is the table in use or nil. Its counters go on in the new table.
	Previous *Table
}

type gateKey struct {
	upstream string
	part     int
}

type creditKey struct{ peer, service string }

// counters are the parts of a table that outlive it.
type counters struct {
	gates   map[gateKey]*limiter.Semaphore
	paths   map[string]*limiter.CircuitBreaker
	credits map[creditKey]*limiter.Credit
	budgets map[string]*limiter.RetryBudget
	buckets map[string]*limiter.TokenBucket
	links   map[string]*limiter.BandwidthLimiter
	entry   *limiter.Semaphore
}

func newCounters() counters {
	return counters{
		gates:   map[gateKey]*limiter.Semaphore{},
		paths:   map[string]*limiter.CircuitBreaker{},
		credits: map[creditKey]*limiter.Credit{},
		budgets: map[string]*limiter.RetryBudget{},
		buckets: map[string]*limiter.TokenBucket{},
		links:   map[string]*limiter.BandwidthLimiter{},
	}
}

// keep returns the value of a key: the one already in the new map, else the old
// map's, else a new one.
func keep[K comparable, V any](fresh, old map[K]*V, key K) *V {
	if v := fresh[key]; v != nil {
		return v
	}
	v := old[key]
	if v == nil {
		v = new(V)
	}
	fresh[key] = v
	return v
}

// builder holds the intermediate results of one Build.
type builder struct {
	Input
	old, fresh counters
	// oldGates are the gates of the previous table by upstream.
	oldGates map[string][]gateKey
	drained  map[string]bool
	verdicts map[string]observer.Verdict
	names    []string
	services map[string]*Service
	// slots are the slots that a peer holds of a service.
	slots map[creditKey]int64
	table *Table
}

// Build makes a table. It closes the gates of parts that are no longer held;
// Busy lists them until their requests have ended.
func Build(in Input) *Table {
	if in.Config == nil {
		in.Config = &loader.State{}
	}
	b := &builder{Input: in, fresh: newCounters()}
	if in.Previous != nil {
		b.old = in.Previous.counters
		b.fresh.entry = b.old.entry
	}
	if b.fresh.entry == nil {
		b.fresh.entry = new(limiter.Semaphore)
		b.fresh.entry.Set(entryRequests, math.MaxInt64)
	}
	b.table = &Table{
		Version: in.Config.Version, Self: in.Self, Region: in.Region, Domain: in.Domain,
		headroom: headroom(in.Config),
	}
	b.closeGates()
	b.index()
	b.buildServices()
	b.buildTargets()
	b.buildLinks()
	b.table.source = b.source()
	if !b.reuse() {
		b.buildPeers()
		b.buildPlans()
	}
	b.buildShifts()
	b.keepGates()
	b.table.Services = b.services
	b.table.counters = b.fresh
	b.table.holdings, b.table.config = in.Holdings, in.Config
	return b.table
}

// defaultHeadroom applies without a policy.
const defaultHeadroom = 0.5

func headroom(c *loader.State) float64 {
	p, ok := c.Policies[loader.PolicyMain]
	if !ok {
		return defaultHeadroom
	}
	return min(max(p.Headroom, 0), 1)
}

func (b *builder) index() {
	b.drained = map[string]bool{}
	for key, d := range b.Config.Drains {
		if d.ActiveAt(b.Now) {
			b.drained[key] = true
		}
	}
	b.verdicts = make(map[string]observer.Verdict, len(b.Verdicts))
	for _, v := range b.Verdicts {
		b.verdicts[v.Upstream] = v
	}
}

// closed tells whether a drain takes the upstream out of use.
func (b *builder) closed(name string, u loader.Upstream) bool {
	return b.drained["upstream/"+name] || b.drained["domain/"+u.Domain] ||
		b.drained["region/"+b.Config.Domains[u.Domain].Region]
}

func (b *builder) buildServices() {
	b.services = make(map[string]*Service, len(b.Config.Services))
	for name, s := range b.Config.Services {
		b.names = append(b.names, name)
		b.services[name] = &Service{
			Name: name, AtMostOnce: s.Once, Bulk: s.Bulk, Priority: s.Priority,
			Timeout: s.TimeoutMillis * int64(time.Millisecond), MaxBodyBytes: s.MaxBodyBytes,
			RetryBudget: keep(b.fresh.budgets, b.old.budgets, name),
		}
	}
	sort.Strings(b.names)
}

// held is what this instance holds of one upstream.
type held struct {
	parts   []granter.Part
	reserve int
}

func (b *builder) held() map[string]*held {
	all := map[string]*held{}
	of := func(upstream string) *held {
		if all[upstream] == nil {
			all[upstream] = &held{}
		}
		return all[upstream]
	}
	for _, p := range b.Holdings.Parts {
		h := of(p.Upstream)
		h.parts = append(h.parts, p)
	}
	for _, r := range b.Holdings.Reserve {
		if r.Member == b.Self || r.Member == "" {
			of(r.Upstream).reserve += r.Slots
		}
	}
	return all
}

func (b *builder) buildTargets() {
	all := b.held()
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		u, ok := b.Config.Upstreams[name]
		s := b.services[u.Service]
		if !ok || s == nil || u.Domain != b.Domain {
			continue
		}
		b.addTargets(s, name, u, all[name])
	}
}

// addTargets opens the gates of one upstream. Granted parts come before the
// reserve, so that a lowered limit cuts the reserve first.
func (b *builder) addTargets(s *Service, name string, u loader.Upstream, h *held) {
	sort.Slice(h.parts, func(i, j int) bool { return h.parts[i].Index < h.parts[j].Index })
	var places []place
	left := b.share(name, u, h)
	add := func(part, slots int) {
		n := min(slots, left)
		left -= n
		places = append(places, place{gateKey{name, part}, slots, n})
	}
	slots := max(0, u.Slots-h.reserve)
	for _, p := range h.parts {
		n := min(p.Slots, granter.MaxPartSlots, slots)
		slots -= n
		add(p.Index, n)
	}
	if n := min(h.reserve, u.Slots); n > 0 {
		add(ReservePart, n)
	}
	b.withhold(name, places)
	for _, p := range places {
		s.Targets = append(s.Targets, b.target(u, p))
	}
}

func (b *builder) deadline() int64 {
	if b.Holdings.Deadline.IsZero() {
		return 0
	}
	return b.Holdings.Deadline.UnixNano()
}

// share returns how many requests this instance may run at the upstream: its
// part of the upstream's adaptive limit, which covers all slots.
func (b *builder) share(name string, u loader.Upstream, h *held) int {
	if b.closed(name, u) || u.Slots <= 0 {
		return 0
	}
	v, ok := b.verdicts[name]
	if !ok || v.Limit >= u.Slots && !v.Leaving {
		return u.Slots
	}
	if v.Leaving || v.Limit <= 0 {
		return 0
	}
	mine := h.reserve
	for _, p := range h.parts {
		mine += p.Slots
	}
	return max(1, v.Limit*min(mine, u.Slots)/u.Slots)
}

func (b *builder) target(u loader.Upstream, p place) Target {
	g := keep(b.fresh.gates, b.old.gates, p.key)
	deadline := b.deadline()
	if p.key.part == ReservePart {
		deadline = math.MaxInt64
	}
	g.Set(p.limit, deadline)
	return Target{
		Upstream: p.key.upstream, Address: u.Address, MaxConns: u.MaxConns, Part: p.key.part, Gate: g,
		Path:    keep(b.fresh.paths, b.old.paths, u.Address),
		Slots:   p.slots,
		latency: int64(b.verdicts[p.key.upstream].Latency),
	}
}
