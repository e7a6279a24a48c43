package dispatcher

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hornbeamstream.example/core/steerer"
)

// rampShare is the share that the tests begin ramps with.
const rampShare = 1.0 / 8

// Upstreams leave, return and are cold until these times.
const (
	leaveTime  = 3 * time.Second
	returnTime = 7 * time.Second
	warmTime   = 10 * time.Second
)

// comeback is a way in which upstreams return.
type comeback struct {
	name string
	// load is the demand, 1 for that of usual times.
	load float64
	// instances is the number of instances of each region.
	instances int
	returns   func(u *simUpstream) bool
	// after changes an upstream that has returned.
	after func(u *simUpstream)
}

func comebacks() []comeback {
	domain := func(u *simUpstream) bool { return u.region == 0 }
	one := func(u *simUpstream) bool { return u.index == 3 }
	return []comeback{
		{"24 of 50 upstreams, seven tenths of the demand", 0.7, 12, domain, nil},
		{"24 of 50 upstreams, full demand", 1, 12, domain, nil},
		{"24 of 50 upstreams, more than there is room for", 1.3, 12, domain, nil},
		{"every tenth upstream", 1, 12, func(u *simUpstream) bool { return u.index%10 == 3 }, nil},
		{"one upstream", 1, 12, one, nil},
		{"one upstream, found by 300 instances", 1, 100, one, nil},
		{"one upstream, ten times slower than before", 1, 12, one, func(u *simUpstream) { u.slowdown = 10 }},
		{"one upstream that fails all requests", 1, 12, one, func(u *simUpstream) { u.failing = true }},
		{"ten upstreams that fail all requests", 1, 12, func(u *simUpstream) bool { return u.index%10 == 3 }, func(u *simUpstream) { u.failing = true }},
	}
}

// scenario returns a service of the size of a large deployment. Its policy publishes the views
// without the upstreams that are away.
func (c *comeback) scenario(p **dispatcherPolicy) scenario {
	s := scenario{
		slots: 6, cacheSize: 60, instances: c.instances,
		coldTime: 720 * time.Millisecond, aim: 600 * time.Millisecond, timeout: 4 * time.Second,
		countFrom: returnTime, duration: 15 * time.Second,
	}
	for _, n := range []int{24, 10, 16} {
		s.regions = append(s.regions, simRegion{upstreams: n, rate: 145 * c.load, keys: 400})
	}
	s.onTick = func(m *simulation, now time.Duration) {
		if now != leaveTime && now != returnTime && now != warmTime {
			return
		}
		for _, u := range m.upstreams {
			if c.returns(u) {
				c.change(u, now)
			}
		}
		(*p).view = func(v *steerer.View) {
			var present []steerer.Upstream
			for i, u := range m.upstreams {
				if !u.down {
					present = append(present, v.Upstreams[i])
				}
			}
			v.Upstreams = present
		}
		(*p).publish(m, int64(now))
	}
	return s
}

// change lets an upstream leave, return or become warm. A cold one takes twice as long.
func (c *comeback) change(u *simUpstream, now time.Duration) {
	u.down, u.slowdown = now == leaveTime, 1
	switch now {
	case leaveTime:
		u.cachedKeys, u.registration.Born = nil, int64(now)
		return
	case returnTime:
		u.slowdown, u.registration.ColdUntil = 2, int64(warmTime)
	}
	if c.after != nil {
		c.after(u)
	}
}

// TestComebacks lets upstreams return, all keys at once and with a ramp. The golden files have
// what callers get from the return on.
func TestComebacks(t *testing.T) {
	for _, c := range comebacks() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var out strings.Builder
			var scores []float64
			for _, share := range []float64{0, rampShare} {
				var p *dispatcherPolicy
				s := c.scenario(&p)
				p = newDispatcherPolicy(s)
				p.minRampShare = share
				m := simulate(s, p, 1)
				fmt.Fprintf(&out, "first share %.3f  %v\n", share, m.tally)
				scores = append(scores, m.tally.meanScore())
			}
			is.True(scores[1] > scores[0]-0.01) // callers lose nothing by it
			golden(t, "comeback-of-"+strings.NewReplacer(" ", "-", ",", "").Replace(c.name), out.String())
		})
	}
}

// rampTable returns a table with settled upstreams and ramping ones in another failure domain.
func rampTable(now int64, settled, ramping int) *Table {
	b := &Builder{Self: steerer.Instance{Name: "i", Domain: "a", Region: "r"}, Regions: map[string]string{"a": "r", "b": "r"}, MinRampShare: rampShare}
	v := steerer.View{Ready: true, Peers: []steerer.Instance{b.Self}, Config: &steerer.Config{
		Services: []steerer.Service{{Name: "s", Conns: 100, ColdRate: 5}},
		Routes:   []steerer.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Aim: 100 * time.Millisecond, Sticky: true, Parts: []steerer.WeightedService{{Service: "s", Weight: 1}}}},
	}}
	add := func(n int, domain string) {
		for i := range n {
			v.Upstreams = append(v.Upstreams, testUpstream(fmt.Sprint(domain, i), 1, func(u *steerer.Upstream) { u.Domain = domain }))
		}
	}
	add(settled, "a")
	b.Build(v, now)
	add(ramping, "b")
	return b.Build(v, now)
}

// TestRampKeys checks that an upstream that ramps up takes its share of the keys and that all
// keys are served by others meanwhile.
func TestRampKeys(t *testing.T) {
	is := is.New(t)
	now := int64(time.Minute)
	table := rampTable(now, 3, 1)
	is.Equal(table.Ramps(), []Ramp{{Service: "s", Domain: "b", Upstreams: 1, Share: rampShare}})
	route, taken := table.Route("h", "/"), 0
	for key := range uint64(8000) {
		r := &Request{Route: route, Pool: route.Pools[0].Pool, Key: (key + 1) * hashMultiplier, Now: now, Deadline: now + int64(time.Second)}
		d := Choose(r)
		if d.Upstream.Domain == "b" {
			taken++
		}
		d.Done(r, Answered, 10*time.Millisecond, now)
	}
	is.True(taken > 200 && taken < 300) // an eighth of a quarter
}

// TestRampOfMost checks that upstreams do not ramp up if the others have too few slots.
func TestRampOfMost(t *testing.T) {
	is := is.New(t)
	is.Equal(len(rampTable(1, 3, 3).Ramps()), 1)
	is.Equal(len(rampTable(1, 3, 4).Ramps()), 0)
	none := (*Table)(nil)
	is.Equal(len(none.Ramps()), 0)
}

// TestRampSteps checks how the share follows the answers within an interval.
func TestRampSteps(t *testing.T) {
	const since = int64(time.Minute)
	tests := []struct {
		name          string
		load, settled float64
		answered      bool
		harmed        bool
		want          float64
	}{
		{"no answers", 0, 0.5, false, false, 0.48},
		{"good answers", 0.5, 0.5, true, false, 0.6},
		{"as busy as the others", 1.2, 1.22, true, false, 0.6},
		{"busier than the others", 1.4, 1.3, true, false, 0.4},
		{"busier than the others, with free slots", 0.9, 0.5, true, false, 0.6},
		{"the others are full", 0.5, 1.6, true, false, 0.8},
		{"all are full", 1.8, 1.7, true, false, 0.4},
		{"refusals and failures", 0.5, 0.5, true, true, 0.2},
		{"refusals while the others are full", 0.5, 1.6, true, true, 0.2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := &rampGroup{minShare: rampShare, settled: &movingAverage{}}
			g.load.add(tt.load, 1)
			g.settled.add(tt.settled, 1)
			if tt.answered {
				g.answeredAt.Store(since + 1)
			}
			if tt.harmed {
				g.harmedAt.Store(since + 1)
			}
			is.True(g.nextShare(0.4, since)-tt.want < 1e-9 && tt.want-g.nextShare(0.4, since) < 1e-9)
			is.True(g.nextShare(rampShare, since) >= rampShare)
		})
	}
}

// TestRampBounds plays any order of answers and pauses: an upstream is never left without a
// share of its keys, and one that nobody hears from takes all of them after three seconds.
func TestRampBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := int64(time.Minute)
		u := rampTable(now, 2, 1).Pool("s").Upstreams[2]
		r := &Request{Key: 1, Now: now}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now += int64(rapid.IntRange(1, 600).Draw(t, "ms")) * int64(time.Millisecond)
			u.ramp.observe(rapid.SampledFrom([]Result{Answered, Failed, Shed, Canceled}).Draw(t, "result"), now)
			u.ramp.observeLoad(rapid.Float64Range(0, 4).Draw(t, "load"))
			r.Now = now
			u.takes(r)
			if share := u.ramp.share(); share < rampShare {
				t.Fatal("share", share)
			}
		}
		u.ramp.start(now)
		r.Now = now + int64(3*time.Second)
		u.takes(r)
		if u.ramp.active.Load() {
			t.Fatal("still ramps up, share", u.ramp.share())
		}
	})
}
