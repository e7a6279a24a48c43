package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/steerer"
)

// TestRoutes looks up the routes of paths in a configuration with many routes.
func TestRoutes(t *testing.T) {
	is := is.New(t)
	c := &steerer.Config{Services: []steerer.Service{{Name: "s"}}}
	add := func(name, host, prefix string) {
		c.Routes = append(c.Routes, steerer.Route{Name: name, Host: host, Prefix: prefix, Parts: []steerer.WeightedService{{Service: "s", Weight: 1}}})
	}
	add("all", "h", "/")
	for i := range 2000 {
		add(fmt.Sprint("r", i), "h", fmt.Sprintf("/a%d/", i))
		add(fmt.Sprint("deep", i), "h", fmt.Sprintf("/a%d/b/", i))
	}
	add("other", "g", "/a1/")
	b := Builder{Self: steerer.Instance{Name: "i"}}
	table := b.Build(steerer.View{Config: c}, 1)
	for path, want := range map[string]string{
		"/a7/x": "r7", "/a7/b/x": "deep7", "/a7/b": "r7", "/a7": "all", "/": "all",
		"/a1999/b/": "deep1999", "/a2000/x": "all", "/a77/": "r77",
	} {
		is.Equal(table.Route("h", path).Name, want)
	}
	is.Equal(table.Route("g", "/a1/x").Name, "other")
	is.True(table.Route("g", "/a2/x") == nil)
	is.True(table.Route("f", "/a1/x") == nil)
}

// TestColdAndRetryLimits checks the sums over all instances of the requests that they
// may send to a cold upstream within a second, and of the retries that they may send
// beyond RetryShare, for several numbers of instances.
func TestColdAndRetryLimits(t *testing.T) {
	is := is.New(t)
	const rate, slack, retries = 15, 5, 58
	domains := map[string]string{"a-1": "a", "a-2": "a", "b-1": "b"}
	names := []string{"a-1", "a-2", "b-1"}
	for _, n := range []int{1, 2, 9, 30, 55} {
		var peers []steerer.Instance
		for i := range n {
			d := names[i%len(names)]
			peers = append(peers, steerer.Instance{Name: fmt.Sprint("i", i), Domain: d, Region: domains[d]})
		}
		view := steerer.View{
			Config:    &steerer.Config{Services: []steerer.Service{{Name: "s", ColdRate: rate}}},
			Upstreams: []steerer.Upstream{{ID: "u", Service: "s", Address: "u:1", Domain: "a-1", Slots: 4, ColdUntil: int64(time.Hour)}},
			Peers:     peers,
		}
		cold, retried := 0, 0
		for _, self := range peers {
			b := Builder{Self: self, Regions: domains, Bounds: steerer.Bounds{ColdSlack: slack, RetryShare: 0.2, RetrySlack: retries}}
			p := b.Build(view, 1).Pool("s")
			for now := int64(1); now < int64(time.Second); now += int64(time.Millisecond) {
				if p.Upstreams[0].admit(now) {
					cold++
				}
			}
			for p.RetryBudget.TryWithdraw() {
				retried++
			}
		}
		is.True(cold > 0 && cold <= rate+slack)
		is.True(retried > 0 && retried <= retries)
	}
}

// TestDoubtfulUpstreams checks that upstreams that may be gone are left out, unless
// they have more than half of the slots, as after a loss of data in the store.
func TestDoubtfulUpstreams(t *testing.T) {
	for doubtful, want := range map[int]int{0: 6, 2: 4, 3: 3, 4: 6, 6: 6} {
		is := is.New(t)
		view := steerer.View{Config: &steerer.Config{Services: []steerer.Service{{Name: "s"}}}}
		for i := range 6 {
			view.Upstreams = append(view.Upstreams, steerer.Upstream{ID: fmt.Sprint("u", i), Service: "s", Slots: 2, Doubtful: i < doubtful})
		}
		b := Builder{Self: steerer.Instance{Name: "i"}}
		is.Equal(len(b.Build(view, 1).Pool("s").Upstreams), want)
	}
}
