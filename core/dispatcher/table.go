// Package dispatcher selects the upstream for each request, or refuses the request
// and says when the caller may retry. It uses neither the network nor a clock:
// callers pass the time, in nanoseconds on a monotonic clock.
//
// Choose compares the expected latency of upstreams: round trip, wait for a slot,
// and service time, which is shorter on a warm upstream, one that has cached the
// request's key. Requests of one key prefer the same upstreams on all instances,
// by rendezvous hashing and without communication between instances.
package dispatcher

import (
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"hornbeamstream.example/core/allocator"
	"hornbeamstream.example/core/limiter"
	"hornbeamstream.example/core/steerer"
)

// Table is an immutable routing table. Its upstreams, routes and pools refer to
// counters and estimates that outlive the table.
type Table struct {
	// View is what the table was built from.
	View steerer.View
	// hosts holds the routes by host and path prefix.
	hosts map[string]map[string]*Route
	pools map[string]*Pool
	// workspaces holds the workspaces by the digests of their keys, workspaceList all of
	// them in the order of the configuration.
	workspaces    map[keyDigest]*Workspace
	workspaceList []*Workspace
}

// Route is a configured route with its pools.
type Route struct {
	steerer.Route
	Pools  []WeightedPool
	spread *spread
}

// WeightedPool is a pool with its share of a route's requests and their estimated service
// time.
type WeightedPool struct {
	Pool        *Pool
	share       float64
	serviceTime *serviceTime
}

// Pool is a service with its upstreams.
type Pool struct {
	steerer.Service
	Upstreams []*Upstream
	// RetryBudget bounds the retries of the service's requests.
	RetryBudget *limiter.RetryBudget
	spillover   *spillover
	// region is this instance's region.
	region string
	// localSlots is the number of slots in this instance's region, totalSlots that
	// in all regions.
	localSlots, totalSlots int
	regionCount            int
}

// Builder builds tables and keeps the state that outlives them. Only the control
// goroutine may use it.
type Builder struct {
	Self   steerer.Instance
	Bounds steerer.Bounds
	// Regions maps failure domains to their regions.
	Regions map[string]string
	// MinRampShare is the share of its keys that an upstream takes first when it has
	// started or recovered, if its service has a slow start. 0 or 1 means all keys at once.
	MinRampShare float64

	upstreams    map[incarnationKey]*Upstream
	budgets      map[string]*limiter.RetryBudget
	spillovers   map[string]*spillover
	moveLimiter  *moveLimiter
	serviceTimes map[routePart]*serviceTime
	spreads      map[string]*spread
	slotLoads    map[string]*movingAverage
	// settledLoads has the load per slot of the upstreams of each service that do not ramp
	// up.
	settledLoads map[string]*movingAverage
	rampGroups   map[string]*rampGroup
	// placed has the services that have had upstreams before.
	placed map[string]bool
	paths  map[string]*path
	flows  map[steerer.Incarnation]*flowControl
	shares map[string]*allocator.Share
	// workspaces has those of workspaceConfig, workspacesByKey the same by the digests of
	// their keys.
	workspaces      []*Workspace
	workspacesByKey map[keyDigest]*Workspace
	workspaceConfig *steerer.Config
	// peers ranks the instances of the latest view. It was made from the instances
	// peerList and the regions peerRegions.
	peers       *peerSet
	peerList    []steerer.Instance
	peerRegions map[string]bool
}

// routePart identifies a service of a route.
type routePart struct{ route, service string }

// incarnationKey identifies the registration of one incarnation under an address.
type incarnationKey struct {
	id, service, address string
	born                 int64
}

// Build returns the table for a view. Now is the current time.
func (b *Builder) Build(v steerer.View, now int64) *Table {
	b.init()
	b.updatePeers(&v)
	t := &Table{View: v, hosts: map[string]map[string]*Route{}, pools: map[string]*Pool{}}
	if v.Config == nil {
		return t
	}
	for _, s := range v.Config.Services {
		t.pools[s.Name] = b.buildPool(s)
	}
	b.placeUpstreams(t, now)
	b.addWorkspaces(t)
	for i := range v.Config.Routes {
		r := b.buildRoute(t, &v.Config.Routes[i])
		if t.hosts[r.Host] == nil {
			t.hosts[r.Host] = map[string]*Route{}
		}
		if t.hosts[r.Host][r.Prefix] == nil {
			t.hosts[r.Host][r.Prefix] = r
		}
	}
	b.forgetRemoved(v.Config)
	return t
}

// forgetRemoved drops what was gathered for routes and services that the configuration no
// longer has. The retry budgets stay, because their bounds also hold for a service that is
// removed and added again.
func (b *Builder) forgetRemoved(c *steerer.Config) {
	routes, services := map[string]bool{}, map[string]bool{}
	for i := range c.Routes {
		routes[c.Routes[i].Name] = true
	}
	for i := range c.Services {
		services[c.Services[i].Name] = true
	}
	maps.DeleteFunc(b.spreads, func(route string, _ *spread) bool { return !routes[route] })
	maps.DeleteFunc(b.serviceTimes, func(p routePart, _ *serviceTime) bool { return !routes[p.route] || !services[p.service] })
	maps.DeleteFunc(b.spillovers, func(service string, _ *spillover) bool { return !services[service] })
}

func (b *Builder) init() {
	if b.upstreams != nil {
		return
	}
	b.upstreams = map[incarnationKey]*Upstream{}
	b.budgets = map[string]*limiter.RetryBudget{}
	b.spillovers = map[string]*spillover{}
	b.moveLimiter = &moveLimiter{}
	b.serviceTimes = map[routePart]*serviceTime{}
	b.spreads = map[string]*spread{}
	b.slotLoads = map[string]*movingAverage{}
	b.settledLoads = map[string]*movingAverage{}
	b.rampGroups = map[string]*rampGroup{}
	b.placed = map[string]bool{}
	b.paths = map[string]*path{}
	b.flows = map[steerer.Incarnation]*flowControl{}
	b.shares = map[string]*allocator.Share{}
}

// updatePeers ranks the instances again if they have changed.
func (b *Builder) updatePeers(v *steerer.View) {
	regions := regionSet(b.Regions)
	if b.peers != nil && b.peers.incomplete == v.PeersIncomplete && slices.Equal(b.peerList, v.Peers) && maps.Equal(b.peerRegions, regions) {
		return
	}
	b.peerList, b.peerRegions = slices.Clone(v.Peers), regions
	b.peers = newPeerSet(b.Self, v.Peers, regions, v.PeersIncomplete)
}

// budgetMargin is the part of the configured bounds on retries that is used. The
// rest allows for retries that fall into another window than their requests.
const budgetMargin = 0.95

func (b *Builder) buildPool(s steerer.Service) *Pool {
	p := &Pool{
		Service:     s,
		RetryBudget: getOrCreate(b.budgets, s.Name),
		spillover:   getOrCreate(b.spillovers, s.Name),
		region:      b.Self.Region,
	}
	if p.spillover.moveLimiter == nil {
		p.spillover.moveLimiter = b.moveLimiter
	}
	if b.Bounds.RetryShare > 0 {
		burst := 0.0
		if !b.peers.incomplete {
			burst = b.Bounds.RetrySlack * budgetMargin / float64(b.peers.size())
		}
		p.RetryBudget.Set(b.Bounds.RetryShare*budgetMargin, max(1, burst))
	}
	return p
}

// getOrCreate returns the value of a key. If there is none, it adds a zero value.
func getOrCreate[K comparable, T any](m map[K]*T, key K) *T {
	if m[key] == nil {
		m[key] = new(T)
	}
	return m[key]
}

// placeUpstreams adds the view's upstreams to their pools and closes those that have
// left the view.
func (b *Builder) placeUpstreams(t *Table, now int64) {
	present := map[incarnationKey]bool{}
	for _, u := range t.View.Upstreams {
		p := t.pools[u.Service]
		if p == nil {
			continue
		}
		key := incarnationKey{u.ID, u.Service, u.Address, u.Born}
		present[key] = true
		upstream := b.upstreams[key]
		if upstream == nil {
			region := b.Regions[u.Domain]
			upstream = newUpstream(u, region, b.Self, getOrCreate(b.slotLoads, u.Service+" "+region), getOrCreate(b.paths, u.Domain))
			incarnation := steerer.Incarnation{ID: u.ID, Born: u.Born}
			known := b.flows[incarnation] != nil
			upstream.flow = getOrCreate(b.flows, incarnation)
			upstream.ramp.group = b.rampGroup(&p.Service, u.Domain)
			if b.placed[u.Service] && !known {
				upstream.ramp.start(now)
			}
			b.upstreams[key] = upstream
		}
		upstream.flow.absentSince, upstream.flow.upstream = 0, upstream
		upstream.peers.Store(b.peers)
		upstream.update(u, b.coldRate(u, p), b.maxConns(p), now)
		p.Upstreams = append(p.Upstreams, upstream)
		p.totalSlots += upstream.Slots
		if upstream.Region == b.Self.Region {
			p.localSlots += upstream.Slots
		}
	}
	for key, u := range b.upstreams {
		if !present[key] {
			u.closed.Store(true)
			u.flow.absentSince = now
			delete(b.upstreams, key)
		}
	}
	maps.DeleteFunc(b.flows, func(_ steerer.Incarnation, f *flowControl) bool { return f.expired(now) })
	for name, p := range t.pools {
		b.placed[name] = b.placed[name] || len(p.Upstreams) > 0
		p.endRampsOfMost()
		p.dropDoubtful()
		p.regionCount = len(b.peerRegions)
	}
}

// dropDoubtful removes the upstreams that may be gone, provided that the others have
// at least half of the slots. Otherwise the store has probably lost most
// registrations, and the doubtful upstreams stay in use.
func (p *Pool) dropDoubtful() {
	confirmed := 0
	for _, u := range p.Upstreams {
		if !u.doubtful.Load() {
			confirmed += u.Slots
		}
	}
	if 2*confirmed >= p.totalSlots {
		p.Upstreams = slices.DeleteFunc(p.Upstreams, func(u *Upstream) bool { return u.doubtful.Load() })
	}
}

func regionSet(domains map[string]string) map[string]bool {
	set := map[string]bool{}
	for _, r := range domains {
		set[r] = true
	}
	return set
}

// coldRate returns this instance's share of the requests per second that a cold
// upstream accepts. Only some instances of the upstream's region, ColdSlack at most,
// get a share: each may send one request at once, and these must not exceed the
// slack.
func (b *Builder) coldRate(u steerer.Upstream, p *Pool) float64 {
	if b.Regions[u.Domain] != b.Self.Region || b.peers.incomplete {
		return 0
	}
	r := b.peers.within[b.Self.Region]
	maxInstances := max(1, int(b.Bounds.ColdSlack))
	if r.distance(xxhash.Sum64String(u.ID)) >= maxInstances {
		return 0
	}
	return p.ColdRate / float64(max(1, min(len(r.points), maxInstances)))
}

// maxConns returns this instance's share of the connections to one upstream. A fifth
// of the service's limit is left unused.
func (b *Builder) maxConns(p *Pool) int {
	const minConns = 2
	if b.peers.incomplete {
		return minConns
	}
	return max(minConns, p.Conns*4/5/b.peers.size())
}

func (b *Builder) buildRoute(t *Table, r *steerer.Route) *Route {
	route := &Route{Route: *r, spread: b.spreads[r.Name]}
	if route.spread == nil {
		route.spread = newSpread(r.Name, b.Self.Name)
		b.spreads[r.Name] = route.spread
	}
	total := 0.0
	for _, part := range r.Parts {
		total += part.Weight
	}
	for _, part := range r.Parts {
		if p := t.pools[part.Service]; p != nil && part.Weight > 0 {
			st := getOrCreate(b.serviceTimes, routePart{r.Name, part.Service})
			st.aim.Store(int64(r.Aim))
			route.Pools = append(route.Pools, WeightedPool{Pool: p, share: part.Weight / total, serviceTime: st})
		}
	}
	return route
}

// Pool returns the pool of the named service, nil if there is none.
func (t *Table) Pool(name string) *Pool { return t.pools[name] }

// Route returns the route with the longest matching path prefix, nil if there is
// none. Prefixes end with a slash. The host must be in lower case, without a port.
func (t *Table) Route(host, path string) *Route {
	routes := t.hosts[host]
	for end := len(path); ; {
		if end = strings.LastIndexByte(path[:end], '/'); end < 0 {
			return nil
		}
		if r := routes[path[:end+1]]; r != nil {
			return r
		}
	}
}

// HasConfig reports whether the table was built from a configuration. The table may
// be nil.
func (t *Table) HasConfig() bool { return t != nil && t.View.Config != nil }
