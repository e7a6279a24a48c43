package dispatcher

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hornbeamstream.example/core/steerer"
)

const (
	// limitContactTime is the time after a limit was first stated in which it may be
	// exceeded, limitToldTime the time after which an instance that was told counts.
	limitContactTime = 3 * time.Second
	limitToldTime    = 500 * time.Millisecond
)

// excess returns the largest number of requests in a window of the limit, less what is
// allowed. Only instances that were told of the limit count.
func (u *simUpstream) excess(limit float64) float64 {
	var counted []int64
	for _, a := range u.limitedArrivals {
		told := u.limitSentAt[a.instance]
		if told != 0 && a.at-told >= int64(limitToldTime) && a.at-u.limitedAt >= int64(limitContactTime) {
			counted = append(counted, a.at)
		}
	}
	most, first := 0, 0
	for i, at := range counted {
		for at-counted[first] >= int64(limitWindow) {
			first++
		}
		most = max(most, i-first+1)
	}
	return float64(most) - (limitFactor*limit*limitWindow.Seconds() + limitSlack)
}

// limitScenario is a scenario in which some upstreams state a limit from second 8 on.
type limitScenario struct {
	scenario
	limit float64
	// limited is the number of upstreams that state it.
	limited int
	// used is the part of the limit that is used at least if there is enough demand.
	used float64
}

func limitScenarios() []limitScenario {
	base := baseScenario("one of twelve upstreams limits its rate")
	few := base
	few.name = "a third of the upstreams limits its rate to half a request"
	all := base
	all.name = "all upstreams limit their rate"
	burst := base
	burst.name = "upstreams limit their rate in a burst"
	burst.rateFactor = func(now time.Duration) float64 {
		if now > 12*time.Second && now < 20*time.Second {
			return 1.8
		}
		return 1
	}
	cut := base
	cut.name = "a region is cut off from upstreams that limit their rate"
	cut.partitioned = func(a, b int, now time.Duration) bool {
		return a != b && (a == 0 || b == 0) && now > 10*time.Second && now < 16*time.Second
	}
	large := base
	large.name = "300 instances share the limits of four upstreams"
	large.instances = 100
	large.regions = []simRegion{{upstreams: 20, rate: 500, keys: 300}, {upstreams: 20, rate: 500, keys: 300}, {upstreams: 20, rate: 500, keys: 300}}
	large.duration = 20 * time.Second
	alone := base
	alone.name = "one instance has the whole limit"
	alone.instances = 1
	alone.regions = []simRegion{{upstreams: 6, rate: 126, keys: 94}}
	return []limitScenario{
		{base, 4.2, 1, 0.5}, {few, 0.5, 4, 0.5}, {all, 7.3, 12, 0.5}, {burst, 5, 3, 0.5}, {cut, 5, 3, 0.5}, {large, 4.2, 4, 0}, {alone, 4.2, 2, 0.5},
	}
}

// simulateLimit runs a scenario in which upstreams limit their rate from second 8 until
// the given time, or for ever if that is 0.
func simulateLimit(s limitScenario, p policy, until time.Duration) *simulation {
	s.onTick = func(m *simulation, now time.Duration) {
		limit := s.limit
		if now < 8*time.Second || until > 0 && now >= until {
			limit = 0
		}
		// The limited upstreams are spread over the regions.
		for i := range s.limited {
			m.upstreams[i*len(m.upstreams)/s.limited].limit = limit
		}
	}
	return simulate(s.scenario, p, 1)
}

// TestRateLimitHoldsOverAllInstances guards against more requests than an upstream has
// limited itself to: each instance kept sending its usual load.
func TestRateLimitHoldsOverAllInstances(t *testing.T) {
	for _, s := range limitScenarios() {
		for _, gossipDelay := range []time.Duration{0, 700 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, told after %v", s.name, gossipDelay), func(t *testing.T) {
				t.Parallel()
				is := is.NewRelaxed(t)
				p := newDispatcherPolicy(s.scenario)
				p.gossipDelay = gossipDelay
				m := simulateLimit(s, p, 0)
				for _, u := range m.upstreams {
					if u.limitedAt == 0 {
						continue
					}
					t.Logf("%s: excess %.1f, %d requests since the limit", u.registration.ID, u.excess(s.limit), len(u.limitedArrivals))
					is.True(u.excess(s.limit) <= 0) // at most 1.5 times the limit, and 5 requests, in 4 s
				}
			})
		}
	}
}

// TestRateLimitHoldsInUnseenDeployments plays generated deployments with their loads and
// faults, in which upstreams limit their rates and two instances are restarted. A
// restarted instance counts again once it has been told of a limit anew.
func TestRateLimitHoldsInUnseenDeployments(t *testing.T) {
	const deployments = 50
	for seed := range uint64(deployments) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.NewRelaxed(t)
			s := randomScenario(seed)
			rng := rand.New(rand.NewPCG(seed, 28))
			p := newDispatcherPolicy(s)
			p.gossipDelay = time.Duration(rng.IntN(3)) * 700 * time.Millisecond
			share, fault := rng.IntN(4), s.onTick
			limits := map[int]float64{}
			restarts := map[time.Duration][2]int{}
			for range 2 {
				region := rng.IntN(len(s.regions))
				restarts[time.Duration(80+rng.IntN(100))*100*time.Millisecond] = [2]int{region, rng.IntN(s.instancesPerRegion())}
			}
			s.onTick = func(m *simulation, now time.Duration) {
				if fault != nil {
					fault(m, now)
				}
				for i, u := range m.upstreams {
					if now == 6*time.Second && rng.IntN(4) <= share {
						u.limit = 0.1 + 12*rng.Float64()
						limits[i] = u.limit
					}
				}
				if instance, ok := restarts[now]; ok {
					p.restart(m, instance, int64(now))
				}
			}
			m := simulate(s, p, seed)
			for i, limit := range limits {
				is.True(m.upstreams[i].excess(limit) <= 0) // at most 1.5 times the limit, and 5 requests, in 4 s
			}
		})
	}
}

// restart replaces an instance, given by region and index, by a process that knows
// nothing of limits.
func (p *dispatcherPolicy) restart(m *simulation, instance [2]int, now int64) {
	old := p.builders[instance[0]][instance[1]]
	p.builders[instance[0]][instance[1]] = &Builder{Self: old.Self, Bounds: old.Bounds, Regions: old.Regions}
	p.publish(m, now)
	m.restartedAt[instance] = now
	for _, u := range m.upstreams {
		delete(u.limitSentAt, instance)
	}
	if p.gossipDelay == 0 {
		return
	}
	// The next beacons tell it what the others have observed.
	m.schedule(now+int64(p.gossipDelay), func(later int64) {
		for id, o := range p.observed {
			p.builders[instance[0]][instance[1]].ApplyRateLimit(steerer.Incarnation{ID: id}, o.state, o.at, later)
		}
	})
}

// arrivalsBetween returns the number of requests that arrived in the given seconds.
func (u *simUpstream) arrivalsBetween(from, to int64) (n int) {
	for second := from; second < to; second++ {
		n += u.arrivals[second]
	}
	return n
}

// TestRateLimitIsUsed checks that the shares serve what the limit allows, and that an
// upstream gets its usual load again when its limit ends. Instances without a share
// learn of the end from the others.
func TestRateLimitIsUsed(t *testing.T) {
	for _, s := range limitScenarios() {
		if s.partitioned != nil || s.rateFactor != nil {
			continue
		}
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			is := is.NewRelaxed(t)
			p := newDispatcherPolicy(s.scenario)
			p.gossipDelay = 700 * time.Millisecond
			s.duration = 36 * time.Second
			m := simulateLimit(s, p, 20*time.Second)
			// After any absence, keys are cached by other upstreams as well.
			absent := simulateAbsence(s, 20*time.Second)
			for i := range s.limited {
				u := m.upstreams[i*len(m.upstreams)/s.limited]
				during, after := u.arrivalsBetween(12, 20), u.arrivalsBetween(28, 36)
				want := absent.upstreams[u.index].arrivalsBetween(28, 36)
				t.Logf("%s: %d requests in 8 s of a limit of %.1f, %d in 8 s after it, %d after a pause", u.registration.ID, during, s.limit, after, want)
				is.True(during > 0 && float64(during) >= s.used*s.limit*8)
				is.True(float64(after) >= 0.8*float64(want))
			}
		})
	}
}

// simulateAbsence runs a scenario in which the upstreams that would limit their rate
// pause from second 8 until the given time.
func simulateAbsence(s limitScenario, until time.Duration) *simulation {
	s.onTick = func(m *simulation, now time.Duration) {
		for i := range s.limited {
			if now >= 8*time.Second {
				m.upstreams[i*len(m.upstreams)/s.limited].pausedUntil = int64(until)
			}
		}
	}
	return simulate(s.scenario, newDispatcherPolicy(s.scenario), 1)
}

// TestSharesFitIntoWindow checks that all instances with a share, each sending as much as
// it may, stay within what an upstream accepts, with the reserve.
func TestSharesFitIntoWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond, n := rapid.Float64Range(0, 500).Draw(t, "perSecond"), rapid.IntRange(1, 1000).Draw(t, "instances")
		s := divideLimit(perSecond, n)
		rate := max(perSecond, minSharedRate)
		if float64(s.count*s.mostInWindow()) > (1-limitReserve)*(limitFactor*rate*limitWindow.Seconds()+limitSlack) {
			t.Fatalf("%d shares of %d requests in a window", s.count, s.mostInWindow())
		}
		if s.count < 1 || s.count > n || float64(s.count)/s.interval.Seconds() > rate {
			t.Fatalf("%d shares with an interval of %v", s.count, s.interval)
		}
		// Requests under one share are never closer than mostInWindow says.
		u := &Upstream{flow: &flowControl{}}
		u.ObserveRateLimit(RateLimit{Stated: true, Valid: true, PerSecond: perSecond}, 1, 1)
		var sent []int64
		now := int64(1)
		for range 200 {
			now += int64(rapid.IntRange(0, int(time.Second)).Draw(t, "gap"))
			if u.useLimit(now) {
				sent = append(sent, now)
			}
		}
		one := divideLimit(perSecond, 1)
		for i, first := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at-first < int64(limitWindow) {
					n++
				}
			}
			if n > one.mostInWindow() {
				t.Fatalf("%d requests in a window, at most %d", n, one.mostInWindow())
			}
		}
	})
}

// TestDivideExtremeLimits guards against limits that cannot be divided, such as one from
// a malformed beacon, which would block the control goroutine.
func TestDivideExtremeLimits(t *testing.T) {
	is := is.New(t)
	for _, perSecond := range []float64{-1, 0, 5e-324, math.MaxInt64, math.MaxFloat64, math.Inf(1), math.NaN()} {
		for _, n := range []int{0, 1, 9, 300} {
			s := divideLimit(perSecond, n)
			is.True(s.count >= 1 && s.count <= max(1, n))
			is.True(s.interval > 0)
		}
	}
}

// TestPeersAgreeOnRanks checks that the instances rank each other alike, those of the
// upstream's region first.
func TestPeersAgreeOnRanks(t *testing.T) {
	is := is.New(t)
	regions := map[string]bool{"a": true, "b": true, "c": true}
	for _, n := range []int{1, 2, 9, 300} {
		var peers []steerer.Instance
		for i := range n {
			peers = append(peers, steerer.Instance{Name: fmt.Sprint("i", i), Region: string(rune('a' + i%3))})
		}
		for hash := range uint64(5) {
			ranks, unknown := map[int]bool{}, map[int]bool{}
			for _, self := range peers {
				s := newPeerSet(self, peers, regions, false)
				rank := s.rank("b", hash*hashMultiplier)
				is.Equal(self.Region == "b", rank < (n+1)/3)
				is.True(rank < n)
				ranks[rank] = true
				unknown[s.rank("of a new domain", hash*hashMultiplier)] = true
			}
			is.Equal(len(ranks), n)
			is.Equal(len(unknown), n)
		}
	}
}

// TestRanksFollowRegions guards against ranks of regions that the settings have only
// named later: all instances would have the first rank there.
func TestRanksFollowRegions(t *testing.T) {
	is := is.New(t)
	peers := []steerer.Instance{{Name: "i", Region: "r"}, {Name: "j", Region: "q"}}
	b := &Builder{Self: peers[0]}
	b.Build(steerer.View{Peers: peers}, 1)
	b.Regions = map[string]string{"a": "r", "b": "q"}
	b.Build(steerer.View{Peers: peers}, 2)
	is.Equal(b.peers.rank("q", 7), 1)
	is.Equal(b.peers.rank("r", 7), 0)
}

// TestRateLimitOfUnregisteredInstance guards against an instance that has just started
// and uses a share of a limit, of a cold upstream's rate, of its connections and of the
// retry slack before the others count it.
func TestRateLimitOfUnregisteredInstance(t *testing.T) {
	is := is.New(t)
	now := int64(time.Minute)
	view := steerer.View{
		Config: &steerer.Config{
			Services: []steerer.Service{{Name: "s", Conns: 100, ColdRate: 15}},
			Routes:   []steerer.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Aim: 100 * time.Millisecond, Parts: []steerer.WeightedService{{Service: "s", Weight: 1}}}},
		},
		Upstreams: []steerer.Upstream{testUpstream("u", 1)},
		Peers:     []steerer.Instance{{Name: "i", Domain: "a", Region: "r"}},
	}
	b := &Builder{Self: view.Peers[0], Regions: map[string]string{"a": "r"}, Bounds: steerer.Bounds{ColdSlack: 5, RetryShare: 0.2, RetrySlack: 58}}
	for _, incomplete := range []bool{true, false} {
		view.PeersIncomplete = incomplete
		table := b.Build(view, now)
		u := table.Pool("s").Upstreams[0]
		if incomplete {
			u.ObserveRateLimit(RateLimit{Stated: true, Valid: true, PerSecond: 4}, now, now)
		}
		is.Equal(u.Available(now+int64(time.Hour)), !incomplete)
		is.Equal(u.coldInterval.Load() == 0, incomplete)
		is.Equal(u.Conns() == 2, incomplete)
		retries := 0
		for table.Pool("s").RetryBudget.TryWithdraw() {
			retries++
		}
		is.Equal(retries <= 1, incomplete)
		r := &Request{Route: table.Route("h", "/"), Pool: table.Pool("s"), Key: 1, Now: now + 1, Deadline: now + int64(time.Second)}
		d := Choose(r)
		is.Equal(d.Reason, Limited) // refused at once
		is.True(d.RetryAfter <= 2*maxRetryAfter)
	}
}

// TestStandInsFindTheEndOfALimit checks that instances without a share send a request
// now and then if nobody else does, in turn.
func TestStandInsFindTheEndOfALimit(t *testing.T) {
	is := is.New(t)
	var peers []steerer.Instance
	for i := range 300 {
		peers = append(peers, steerer.Instance{Name: fmt.Sprint("i", i), Domain: "a", Region: "r"})
	}
	now := int64(time.Minute)
	sends, senders := map[int64]int{}, 0
	for _, self := range peers {
		b := &Builder{Self: self, Regions: map[string]string{"a": "r"}}
		b.Build(steerer.View{Config: &steerer.Config{Services: []steerer.Service{{Name: "s"}}}, Upstreams: []steerer.Upstream{testUpstream("u", 1)}, Peers: peers}, now)
		var u *Upstream
		for _, u = range b.upstreams {
			u.ObserveRateLimit(RateLimit{Stated: true, Valid: true, PerSecond: 0.5}, now, now)
		}
		sent := false
		for at := now; at < now+int64(5*time.Minute); at += int64(100 * time.Millisecond) {
			if u.useLimit(at) {
				sends[(at-now)/int64(limitWindow)]++
				sent = true
			}
		}
		if sent {
			senders++
		}
	}
	for _, n := range sends {
		is.True(float64(n) <= limitFactor*0.5*limitWindow.Seconds()+limitSlack)
	}
	is.True(senders >= divideLimit(0.5, 300).count+25)
}
