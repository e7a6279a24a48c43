package dispatcher

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/steerer"
)

// weightStage is a number of requests under one set of weights.
type weightStage struct {
	requests int
	// weights are those of the services a, b, c and so on; 0 leaves a service out.
	weights []float64
}

// weightCase is a load on a split route.
type weightCase struct {
	name      string
	instances int
	stages    []weightStage
}

var weightCases = []weightCase{
	{"steady weights", 1, []weightStage{{20000, []float64{1, 1}}, {20000, []float64{4, 1}}, {20000, []float64{5, 3, 2}}}},
	{"weights that change", 1, []weightStage{{1000, []float64{4, 1}}, {400, []float64{1, 1}}, {400, []float64{1, 4}}, {400, []float64{1, 1}}}},
	{"a part that is added", 1, []weightStage{{1000, []float64{1, 1, 0}}, {400, []float64{1, 1, 1}}}},
	{"a part that comes back", 1, []weightStage{{1000, []float64{1, 1, 1}}, {1000, []float64{1, 1, 0}}, {400, []float64{1, 1, 1}}}},
	{"many instances", 71, []weightStage{{710, []float64{1, 1}}, {710, []float64{1, 4}}, {710, []float64{7, 2, 1}}, {710, []float64{9, 1}}}},
	{"few instances", 9, []weightStage{{900, []float64{1, 1}}, {900, []float64{1, 4}}}},
}

// build returns the tables of all instances for a stage.
func (s weightStage) build(builders []*Builder) (routes []*Route) {
	c := &steerer.Config{}
	r := steerer.Route{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Sticky: true}
	for i, w := range s.weights {
		name := string(rune('a' + i))
		c.Services = append(c.Services, steerer.Service{Name: name})
		if w > 0 {
			r.Parts = append(r.Parts, steerer.WeightedService{Service: name, Weight: w})
		}
	}
	c.Routes = []steerer.Route{r}
	for _, b := range builders {
		routes = append(routes, b.Build(steerer.View{Config: c}, 1).Route("h", "/x"))
	}
	return routes
}

// worstShare returns the largest difference between a part's share of the requests and that
// of its weight, over all windows of the given length.
func worstShare(picked []string, weights []float64, length int) (worst float64) {
	total, counts := 0.0, map[string]int{}
	for _, w := range weights {
		total += w
	}
	for i, name := range picked {
		counts[name]++
		if i >= length {
			counts[picked[i-length]]--
		}
		for j, w := range weights {
			if i+1 >= length {
				worst = max(worst, math.Abs(float64(counts[string(rune('a'+j))])/float64(length)-w/total))
			}
		}
	}
	return worst
}

// TestWeightsAreKept guards against parts of a split route that get more or fewer requests
// than their weights say: after a change of the weights, after many requests, and over many
// instances that each serve few requests.
func TestWeightsAreKept(t *testing.T) {
	// The bounds of the platform: any 200 requests within 0.2, any 300 within 0.1.
	const (
		window, maxOff               = 200, 0.2
		longWindow, maxOffLong       = 300, 0.1
		spacing                int64 = 1e6
	)
	text := ""
	for _, c := range weightCases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			var builders []*Builder
			for i := range c.instances {
				builders = append(builders, &Builder{Self: steerer.Instance{Name: fmt.Sprint("i", i)}})
			}
			for i, s := range c.stages {
				routes := s.build(builders)
				var picked []string
				for range s.requests {
					r := routes[random.IntN(len(routes))]
					picked = append(picked, r.SelectPool().Name)
				}
				off, offLong := worstShare(picked, s.weights, window), worstShare(picked, s.weights, longWindow)
				text += fmt.Sprintf("%s, stage %d, weights %v: off by %.2f in %d requests, %.2f in %d\n", c.name, i+1, s.weights, off, window, offLong, longWindow)
				is.True(off <= maxOff)
				is.True(offLong <= maxOffLong)
			}
		})
	}
	golden(t, "weights", text)
}

// TestServiceTimeIsOfService guards against expected times of one service that are used for
// another: after a route has moved, and on a route with two services.
func TestServiceTimeIsOfService(t *testing.T) {
	is := is.New(t)
	const aim, fast, slow = 100 * time.Millisecond, 50 * time.Millisecond, 400 * time.Millisecond
	b := &Builder{Self: steerer.Instance{Name: "i"}}
	now := int64(1)
	// run sends n requests by weights and returns the last expected time of each service.
	run := func(n int, weights map[string]float64) map[string]time.Duration {
		v := steerer.View{Config: &steerer.Config{Services: []steerer.Service{{Name: "fast"}, {Name: "slow"}}}}
		r := steerer.Route{Name: "r", Host: "h", Prefix: "/", Timeout: 5 * time.Second, Aim: aim, Attempts: 1}
		for _, s := range v.Config.Services {
			v.Upstreams = append(v.Upstreams, steerer.Upstream{ID: s.Name, Service: s.Name, Address: s.Name, Slots: 4})
			if weights[s.Name] > 0 {
				r.Parts = append(r.Parts, steerer.WeightedService{Service: s.Name, Weight: weights[s.Name]})
			}
		}
		v.Config.Routes = []steerer.Route{r}
		route := b.Build(v, now).Route("h", "/")
		expected := map[string]time.Duration{}
		for range n {
			q := &Request{Route: route, Pool: route.SelectPool(), Now: now, Deadline: now + int64(5*time.Second)}
			d := Choose(q)
			expected[q.Pool.Name] = d.ExpectedCold - d.Upstream.RTT
			took := map[string]time.Duration{"fast": fast, "slow": slow}[q.Pool.Name] + d.Upstream.RTT
			now += int64(took)
			d.Done(q, Answered, took, now)
		}
		return expected
	}
	near := func(got, want time.Duration) bool { return got > want*8/10 && got < want*12/10 }
	is.True(near(run(300, map[string]float64{"fast": 1})["fast"], fast))
	is.True(run(1, map[string]float64{"slow": 1})["slow"] >= 90*time.Millisecond) // nothing is known of it
	is.True(near(run(300, map[string]float64{"slow": 1})["slow"], slow))
	both := run(300, map[string]float64{"fast": 1, "slow": 1})
	is.True(near(both["fast"], fast))
	is.True(near(both["slow"], slow))
}
