// Package dispatcher decides which upstream takes a request, which request is
// refused and when it may come back. It needs no network and no clock: callers
// pass the time, in nanoseconds on a monotonic clock.
//
// Choose weighs the expected time to an answer on every usable upstream: the
// distance, the wait for a slot, and the work, which is less on an upstream that
// has seen the request's key. Requests of one key prefer the same upstream on
// all instances, without any message between them.
package dispatcher

import (
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"hornbeamstream.example/core/limiter"
	"hornbeamstream.example/core/steerer"
)

// Table is an immutable snapshot for traffic. The upstreams, routes and pools
// in it carry counters that outlive the snapshot.
type Table struct {
	// View is what the table was built from.
	View steerer.View
	// hosts has the routes of each host by their prefixes.
	hosts map[string]map[string]*Route
	pools map[string]*Pool
}

// Route is a route with what was learned about its requests.
type Route struct {
	steerer.Route
	Pools []WeightedPool
	work  *work
}

// Part is a service of a route.
type WeightedPool struct {
	Pool  *Pool
	share float64
	sent  *counter
}

// Pool is a service with its usable upstreams.
type Pool struct {
	steerer.Service
	Upstreams []*Upstream
	// Retries bounds the requests that are sent once more.
	RetryBudget *limiter.RetryBudget
	spill       *spill
	// region is this instance's region, home the number of slots there, all that
	// of all regions.
	region    string
	home, all int
	// regions is the number of regions.
	regions int
}

// Builder builds tables and keeps what was learned between them. It belongs to
// the control goroutine.
type Builder struct {
	Self   steerer.Instance
	Bounds steerer.Bounds
	// Regions gives the region of each failure domain.
	Regions map[string]string

	upstreams map[incarnation]*Upstream
	budgets   map[string]*limiter.RetryBudget
	spills    map[string]*spill
	moves     *moves
	works     map[string]*work
	counters  map[string]*counter
	usages    map[string]*average
	paths     map[string]*path
	standings map[steerer.Incarnation]*standing
}

type incarnation struct {
	id, service, address string
	born                 int64
}

// Build returns the table for a view. Now is the current time.
func (b *Builder) Build(v steerer.View, now int64) *Table {
	b.init()
	t := &Table{View: v, hosts: map[string]map[string]*Route{}, pools: map[string]*Pool{}}
	if v.Config == nil {
		return t
	}
	for _, s := range v.Config.Services {
		t.pools[s.Name] = b.pool(s, len(v.Peers))
	}
	b.place(t, now)
	for i := range v.Config.Routes {
		r := b.route(t, &v.Config.Routes[i])
		if t.hosts[r.Host] == nil {
			t.hosts[r.Host] = map[string]*Route{}
		}
		if t.hosts[r.Host][r.Prefix] == nil {
			t.hosts[r.Host][r.Prefix] = r
		}
	}
	return t
}

func (b *Builder) init() {
	if b.upstreams != nil {
		return
	}
	b.upstreams = map[incarnation]*Upstream{}
	b.budgets = map[string]*limiter.RetryBudget{}
	b.spills = map[string]*spill{}
	b.moves = &moves{}
	b.works = map[string]*work{}
	b.counters = map[string]*counter{}
	b.usages = map[string]*average{}
	b.paths = map[string]*path{}
	b.standings = map[steerer.Incarnation]*standing{}
}

// budgetMargin is the part of the bounds on retries that is used. The rest is
// for requests that were counted in another window than their retries.
const budgetMargin = 0.95

func (b *Builder) pool(s steerer.Service, peers int) *Pool {
	p := &Pool{
		Service:     s,
		RetryBudget: kept(b.budgets, s.Name),
		spill:       kept(b.spills, s.Name),
		region:      b.Self.Region,
	}
	if p.spill.moves == nil {
		p.spill.moves = b.moves
	}
	if b.Bounds.RetryShare > 0 {
		burst := b.Bounds.RetrySlack * budgetMargin / float64(max(1, peers))
		p.RetryBudget.Set(b.Bounds.RetryShare*budgetMargin, max(1, burst))
	}
	return p
}

// kept returns the entry of a map, which it makes at first use.
func kept[K comparable, T any](m map[K]*T, key K) *T {
	if m[key] == nil {
		m[key] = new(T)
	}
	return m[key]
}

// place puts the upstreams into their pools and closes those that are gone.
func (b *Builder) place(t *Table, now int64) {
	present := map[incarnation]bool{}
	r := b.ring(&t.View)
	for _, u := range t.View.Upstreams {
		p := t.pools[u.Service]
		if p == nil {
			continue
		}
		key := incarnation{u.ID, u.Service, u.Address, u.Born}
		present[key] = true
		live := b.upstreams[key]
		if live == nil {
			region := b.Regions[u.Domain]
			live = newUpstream(u, region, b.Self, kept(b.usages, u.Service+" "+region), kept(b.paths, u.Domain))
			live.standing = kept(b.standings, steerer.Incarnation{ID: u.ID, Born: u.Born})
			b.upstreams[key] = live
		}
		live.standing.absentSince = 0
		live.update(u, b.coldRate(r, u, p), b.connShare(&t.View, p), now)
		p.Upstreams = append(p.Upstreams, live)
		p.all += live.Slots
		if live.Region == b.Self.Region {
			p.home += live.Slots
		}
	}
	for key, u := range b.upstreams {
		if !present[key] {
			u.closed.Store(true)
			u.standing.absentSince = now
			delete(b.upstreams, key)
		}
	}
	maps.DeleteFunc(b.standings, func(_ steerer.Incarnation, s *standing) bool { return s.idle(now) })
	for _, p := range t.pools {
		p.dropDoubtful()
		p.regions = len(regions(b.Regions))
	}
}

// dropDoubtful leaves out the upstreams that may be gone if the others have
// most of the slots. Otherwise the store has forgotten nearly all, and they are
// used.
func (p *Pool) dropDoubtful() {
	sound := 0
	for _, u := range p.Upstreams {
		if !u.doubtful.Load() {
			sound += u.Slots
		}
	}
	if 2*sound >= p.all {
		p.Upstreams = slices.DeleteFunc(p.Upstreams, func(u *Upstream) bool { return u.doubtful.Load() })
	}
}

func regions(domains map[string]string) map[string]bool {
	found := map[string]bool{}
	for _, r := range domains {
		found[r] = true
	}
	return found
}

// coldRate is this instance's share of the requests a second that a cold
// upstream takes. Only some instances of its region have one, so that their
// single requests do not add up to more than the slack.
func (b *Builder) coldRate(r ring, u steerer.Upstream, p *Pool) float64 {
	if b.Regions[u.Domain] != b.Self.Region {
		return 0
	}
	most := max(1, int(b.Bounds.ColdSlack))
	if r.distance(xxhash.Sum64String(u.ID)) >= most {
		return 0
	}
	return p.ColdRate / float64(max(1, min(len(r.points), most)))
}

// ring places the instances of the own region on a ring by their hashes.
type ring struct {
	points []uint64
	// own is the place of this instance.
	own int
}

func (b *Builder) ring(v *steerer.View) (r ring) {
	own := xxhash.Sum64String(b.Self.Name)
	for _, i := range v.Peers {
		if i.Region == b.Self.Region {
			r.points = append(r.points, xxhash.Sum64String(i.Name))
		}
	}
	slices.Sort(r.points)
	r.own, _ = slices.BinarySearch(r.points, own)
	return r
}

// distance is the number of instances between a point and this instance.
func (r ring) distance(point uint64) int {
	n := len(r.points)
	if n == 0 {
		return 0
	}
	first, _ := slices.BinarySearch(r.points, point)
	return (r.own - first%n + n) % n
}

// connShare is this instance's share of the connections to one upstream.
func (b *Builder) connShare(v *steerer.View, p *Pool) int {
	return max(2, p.Conns*4/5/max(1, len(v.Peers)))
}

func (b *Builder) route(t *Table, r *steerer.Route) *Route {
	route := &Route{Route: *r, work: kept(b.works, r.Name)}
	route.work.aim.Store(int64(r.Aim))
	total := 0.0
	for _, part := range r.Parts {
		total += part.Weight
	}
	for _, part := range r.Parts {
		if p := t.pools[part.Service]; p != nil && part.Weight > 0 {
			c := kept(b.counters, r.Name+" "+part.Service)
			route.Pools = append(route.Pools, WeightedPool{Pool: p, share: part.Weight / total, sent: c})
		}
	}
	return route
}

// Pool returns a service by its name, nil if there is none.
func (t *Table) Pool(name string) *Pool { return t.pools[name] }

// Route returns the route with the longest prefix that begins the path, nil if
// there is none. Prefixes end with a slash. The host is in lower case and without
// a port.
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

// Known tells whether a configuration is in force.
func (t *Table) HasConfig() bool { return t != nil && t.View.Config != nil }
