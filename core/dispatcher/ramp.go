package dispatcher

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"hornbeamstream.example/core/steerer"
)

// An upstream that has started or recovered has cached no keys. If it got all the requests for
// its keys at once, most would run cold and wait for each other. It ramps up instead: it takes
// the keys whose hash is below its share, which grows as long as the upstreams that ramp up
// with it answer well. The other keys stay with the upstreams that rank next for them, which
// have cached them meanwhile.

const (
	// rampInterval is the time between two changes of the share.
	rampInterval = 250 * time.Millisecond
	// rampGrowth is the factor by which the share grows in an interval with good answers,
	// quietGrowth in one without any, because an instance of a large system sees few
	// answers of a single upstream. urgentGrowth applies if the other upstreams are full,
	// rampBackoff after refusals or failures.
	rampGrowth, quietGrowth, urgentGrowth, rampBackoff = 1.5, 1.2, 2, 0.5
	// fullLoad is the mean load per slot from which on upstreams count as full: they have
	// queues that last.
	fullLoad = 1.25
	// rampGroupIdleTime is the time without a good answer after which the load of a group is
	// forgotten.
	rampGroupIdleTime = 10 * time.Second
	// rampLoadWeight is the number of load reports that the load of the upstreams that
	// ramp up averages over.
	rampLoadWeight = 6
	// minSettledShare is the part of a service's slots that must be at other upstreams for
	// some to ramp up. Below it, the others could not take the requests.
	minSettledShare = 0.5
)

// rampGroup is what the answers of upstreams that ramp up together tell. They are those of a
// service in one failure domain, so that their answers together are enough to go by where
// those of one are not.
type rampGroup struct {
	// minShare is the share of its keys that an upstream takes first.
	minShare float64
	// load is their mean reported load per slot, settled that of the service's upstreams
	// that do not ramp up.
	load    movingAverage
	settled *movingAverage
	// answeredAt and harmedAt are when one of them last answered well, and last refused or
	// failed a request.
	answeredAt, harmedAt atomic.Int64
}

// overloaded reports whether the upstreams that ramp up are busier than the others and have
// no free slots.
func (g *rampGroup) overloaded() bool { return g.load.value() > max(1, g.settled.value()) }

// needed reports whether the other upstreams are full, and busier than those that ramp up.
func (g *rampGroup) needed() bool {
	settled := g.settled.value()
	return settled > fullLoad && g.load.value() < settled
}

// nextShare returns the share that follows, by the answers since the last change.
func (g *rampGroup) nextShare(share float64, since int64) float64 {
	answered := g.answeredAt.Load() > since
	switch {
	case g.harmedAt.Load() > since:
		return max(g.minShare, share*rampBackoff)
	case answered && g.overloaded():
		return share
	case g.needed():
		return share * urgentGrowth
	case answered:
		return share * rampGrowth
	}
	return share * quietGrowth
}

// ramp is the increase of the share of an upstream's keys that it takes.
type ramp struct {
	// group is nil if the upstream takes all its keys at once.
	group  *rampGroup
	active atomic.Bool
	// shareBits is the share, steppedAt is when it was last changed.
	shareBits atomic.Uint64
	steppedAt atomic.Int64
}

func (r *ramp) share() float64 { return math.Float64frombits(r.shareBits.Load()) }

// start begins the ramp, or begins it anew.
func (r *ramp) start(now int64) {
	if r.group == nil {
		return
	}
	if now-r.group.answeredAt.Load() > int64(rampGroupIdleTime) {
		r.group.load.bits.Store(0)
	}
	r.shareBits.Store(math.Float64bits(r.group.minShare))
	r.steppedAt.Store(now)
	r.active.Store(true)
}

// advance changes the share if it is time to. Without requests there was no need to change it
// earlier.
func (r *ramp) advance(now int64) {
	last := r.steppedAt.Load()
	intervals := (now - last) / int64(rampInterval)
	if intervals < 1 || !r.steppedAt.CompareAndSwap(last, now) {
		return
	}
	share := r.group.nextShare(r.share(), last) * math.Pow(quietGrowth, float64(intervals-1))
	r.shareBits.Store(math.Float64bits(share))
	if share >= 1 {
		r.active.Store(false)
	}
}

// observe records the result of an exchange.
func (r *ramp) observe(res Result, now int64) {
	if !r.active.Load() {
		return
	}
	switch res {
	case Answered:
		r.group.answeredAt.Store(now)
	case Failed, Shed, AttemptTimeout, DeadlineExceeded:
		r.group.harmedAt.Store(now)
	}
}

// observeLoad records a reported load per slot.
func (r *ramp) observeLoad(load float64) {
	switch {
	case r.group == nil:
	case r.active.Load():
		r.group.load.add(load, rampLoadWeight)
	default:
		r.group.settled.add(load, slotLoadWeight)
	}
}

// takes reports whether the upstream takes the request as far as its ramp is concerned. While
// it is cold, its share does not grow; it takes any key if the others are full, because its
// rate bounds what it gets.
func (u *Upstream) takes(r *Request) bool {
	switch {
	case !u.ramp.active.Load() || r.ignoreRamps:
		return true
	case !u.cold(r.Now):
		if !r.preview {
			u.ramp.advance(r.Now)
		}
	case u.ramp.group.needed():
		return true
	}
	return unitHash(r.spilloverKey()^u.seed) < u.ramp.share()
}

// rampGroup returns the group of the upstreams of a service in a failure domain, nil if they
// do not ramp up.
func (b *Builder) rampGroup(s *steerer.Service, domain string) *rampGroup {
	if b.MinRampShare <= 0 || b.MinRampShare >= 1 || s.ColdRate <= 0 {
		return nil
	}
	name := s.Name + " " + domain
	if b.rampGroups[name] == nil {
		b.rampGroups[name] = &rampGroup{minShare: b.MinRampShare, settled: getOrCreate(b.settledLoads, s.Name)}
	}
	return b.rampGroups[name]
}

// endRampsOfMost ends all ramps if the upstreams that do not ramp up have too few slots for
// the requests of the others.
func (p *Pool) endRampsOfMost() {
	settled := 0
	for _, u := range p.Upstreams {
		if !u.ramp.active.Load() {
			settled += u.Slots
		}
	}
	if float64(settled) >= minSettledShare*float64(p.totalSlots) {
		return
	}
	for _, u := range p.Upstreams {
		u.ramp.active.Store(false)
	}
}

// Ramp describes the upstreams of a service in a failure domain that ramp up.
type Ramp struct {
	Service, Domain string
	Upstreams       int
	// Share is the mean share of their keys that they take.
	Share float64
}

// Ramps lists the upstreams that ramp up, by service and failure domain. The table may be nil.
func (t *Table) Ramps() (all []Ramp) {
	if t == nil {
		return nil
	}
	for _, p := range t.pools {
		for _, u := range p.Upstreams {
			if !u.ramp.active.Load() {
				continue
			}
			i := slices.IndexFunc(all, func(r Ramp) bool { return r.Service == u.Service && r.Domain == u.Domain })
			if i < 0 {
				i, all = len(all), append(all, Ramp{Service: u.Service, Domain: u.Domain})
			}
			all[i].Upstreams++
			all[i].Share += (u.ramp.share() - all[i].Share) / float64(all[i].Upstreams)
		}
	}
	slices.SortFunc(all, func(a, b Ramp) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Domain, b.Domain))
	})
	return all
}
