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

// Input holds the inputs of Build. Its maps and slices must not be modified
// afterwards.
type Input struct {
	Now    time.Time
	Config *loader.State
	// Self, Domain and Region describe this instance.
	Self, Domain, Region string
	Holdings             granter.Holdings
	// Views are the latest views of all failure domains, including this one.
	Views []granter.View
	// Verdicts are the latest verdicts on the upstreams of this failure domain.
	Verdicts []observer.Verdict
	// Previous is the current table or nil. The new table shares its counters.
	Previous *Table
}

type gateKey struct {
	upstream string
	part     int
}

type creditKey struct{ peer, service string }

// counters holds the mutable state that is passed from table to table.
type counters struct {
	gates     map[gateKey]*limiter.Semaphore
	paths     map[string]*limiter.CircuitBreaker
	credits   map[creditKey]*limiter.Credit
	budgets   map[string]*limiter.RetryBudget
	buckets   map[string]*limiter.TokenBucket
	links     map[string]*limiter.BandwidthLimiter
	entryGate *limiter.Semaphore
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

// reuseOrNew returns the value of the key in fresh. If there is none, it adds the
// value from old, or else a new one.
func reuseOrNew[K comparable, V any](fresh, old map[K]*V, key K) *V {
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
	// oldGates lists the gates of the previous table by upstream.
	oldGates     map[string][]gateKey
	drained      map[string]bool
	verdicts     map[string]observer.Verdict
	serviceNames []string
	services     map[string]*Service
	// peerSlots is the number of slots that each instance holds of a service.
	peerSlots map[creditKey]int64
	table     *Table
}

// Build returns a new table. It closes the gates of parts that are no longer
// held; InFlight lists them until their requests have ended.
func Build(in Input) *Table {
	if in.Config == nil {
		in.Config = &loader.State{}
	}
	b := &builder{Input: in, fresh: newCounters()}
	if in.Previous != nil {
		b.old = in.Previous.counters
		b.fresh.entryGate = b.old.entryGate
	}
	if b.fresh.entryGate == nil {
		b.fresh.entryGate = new(limiter.Semaphore)
		b.fresh.entryGate.Set(maxEntryRequests, math.MaxInt64)
	}
	b.table = &Table{
		Version: in.Config.Version, Self: in.Self, Region: in.Region, Domain: in.Domain,
		headroom: headroom(in.Config),
	}
	b.closeLostGates()
	b.indexDrainsAndVerdicts()
	b.buildServices()
	b.buildTargets()
	b.buildLinks()
	b.table.planInputs = b.planInputs()
	if !b.reusePeersAndPlans() {
		b.buildPeers()
		b.buildPlans()
	}
	b.buildShifts()
	b.keepBusyGates()
	b.table.Services = b.services
	b.table.counters = b.fresh
	b.table.holdings, b.table.config = in.Holdings, in.Config
	return b.table
}

// defaultHeadroom is the headroom weight if no policy is configured.
const defaultHeadroom = 0.5

func headroom(c *loader.State) float64 {
	p, ok := c.Policies[loader.PolicyMain]
	if !ok {
		return defaultHeadroom
	}
	return min(max(p.Headroom, 0), 1)
}

func (b *builder) indexDrainsAndVerdicts() {
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

// isDrained reports whether a drain of the upstream, its failure domain or its
// region is in force.
func (b *builder) isDrained(name string, u loader.Upstream) bool {
	return b.drained["upstream/"+name] || b.drained["domain/"+u.Domain] ||
		b.drained["region/"+b.Config.Domains[u.Domain].Region]
}

func (b *builder) buildServices() {
	b.services = make(map[string]*Service, len(b.Config.Services))
	for name, s := range b.Config.Services {
		b.serviceNames = append(b.serviceNames, name)
		b.services[name] = &Service{
			Name: name, AtMostOnce: s.Once, Bulk: s.Bulk, Priority: s.Priority,
			Timeout: s.TimeoutMillis * int64(time.Millisecond), MaxBodyBytes: s.MaxBodyBytes,
			RetryBudget: reuseOrNew(b.fresh.budgets, b.old.budgets, name),
		}
	}
	sort.Strings(b.serviceNames)
}

// upstreamHoldings holds the granted parts and reserve slots that this instance
// has of one upstream.
type upstreamHoldings struct {
	parts   []granter.Part
	reserve int
}

func (b *builder) holdingsByUpstream() map[string]*upstreamHoldings {
	all := map[string]*upstreamHoldings{}
	get := func(upstream string) *upstreamHoldings {
		if all[upstream] == nil {
			all[upstream] = &upstreamHoldings{}
		}
		return all[upstream]
	}
	for _, p := range b.Holdings.Parts {
		h := get(p.Upstream)
		h.parts = append(h.parts, p)
	}
	for _, r := range b.Holdings.Reserve {
		if r.Member == b.Self || r.Member == "" {
			get(r.Upstream).reserve += r.Slots
		}
	}
	return all
}

func (b *builder) buildTargets() {
	all := b.holdingsByUpstream()
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
// reserve, so that a lowered limit reduces the reserve first.
func (b *builder) addTargets(s *Service, name string, u loader.Upstream, h *upstreamHoldings) {
	sort.Slice(h.parts, func(i, j int) bool { return h.parts[i].Index < h.parts[j].Index })
	var specs []gateSpec
	remaining := b.requestLimit(name, u, h)
	add := func(part, slots int) {
		n := min(slots, remaining)
		remaining -= n
		specs = append(specs, gateSpec{gateKey{name, part}, slots, n})
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
	b.deductExcess(name, specs)
	for _, p := range specs {
		s.Targets = append(s.Targets, b.target(u, p))
	}
}

func (b *builder) deadline() int64 {
	if b.Holdings.Deadline.IsZero() {
		return 0
	}
	return b.Holdings.Deadline.UnixNano()
}

// requestLimit returns how many requests this instance may run at the upstream:
// its share, by slots held, of the upstream's adaptive concurrency limit.
func (b *builder) requestLimit(name string, u loader.Upstream, h *upstreamHoldings) int {
	if b.isDrained(name, u) || u.Slots <= 0 {
		return 0
	}
	v, ok := b.verdicts[name]
	if !ok || v.Limit >= u.Slots && !v.Leaving {
		return u.Slots
	}
	if v.Leaving || v.Limit <= 0 {
		return 0
	}
	heldSlots := h.reserve
	for _, p := range h.parts {
		heldSlots += p.Slots
	}
	return max(1, v.Limit*min(heldSlots, u.Slots)/u.Slots)
}

func (b *builder) target(u loader.Upstream, p gateSpec) Target {
	g := reuseOrNew(b.fresh.gates, b.old.gates, p.key)
	deadline := b.deadline()
	if p.key.part == ReservePart {
		deadline = math.MaxInt64
	}
	g.Set(p.limit, deadline)
	return Target{
		Upstream: p.key.upstream, Address: u.Address, MaxConns: u.MaxConns, Part: p.key.part, Gate: g,
		Path:    reuseOrNew(b.fresh.paths, b.old.paths, u.Address),
		Slots:   p.slots,
		latency: int64(b.verdicts[p.key.upstream].Latency),
	}
}
