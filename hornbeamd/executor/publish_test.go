package executor

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/reducer"
)

// Guards against lookups that return instances of an older view or
// configuration, and against rebuilding the table of 120,000 blocks for every
// grant.
func TestResolverFollowsConfigAndViews(t *testing.T) {
	p := deploymentSize{members: 2, domains: 2, upstreams: 1, slots: 4, blocks: 8}
	for _, c := range []struct {
		name    string
		change  func(x *Executor, r *reducer.Publish)
		rebuilt bool
	}{
		{"grant", func(_ *Executor, r *reducer.Publish) { r.Holdings.Deadline = time.Now() }, false},
		{"view", func(_ *Executor, r *reducer.Publish) { r.Views[1].Sequence++ }, true},
		{"epoch", func(_ *Executor, r *reducer.Publish) { r.Views[1].Epoch++ }, true},
		{"fewer views", func(_ *Executor, r *reducer.Publish) { r.Views = r.Views[:1] }, true},
		{"configuration", func(_ *Executor, r *reducer.Publish) { r.Config.Version++ }, true},
		{"lost domain", func(_ *Executor, r *reducer.Publish) { r.Lost = []string{r.Views[1].Domain} }, true},
		{"alone and leaving", func(x *Executor, r *reducer.Publish) {
			r.Views = r.Views[1:]
			x.publish(*r)
			x.state.Self.Leaving = true
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			x := New(Config{Clock: NewClock(), Self: p.member(0, 1), Region: "r0"})
			r := reducer.Publish{Config: p.config(), Views: p.views()}
			x.publish(r)
			before := x.resolver.Load()
			r.Views = p.views()
			c.change(x, &r)
			x.publish(r)
			is.Equal(x.resolver.Load() != before, c.rebuilt) // the resolver's table
		})
	}
}

// Guards against lookups that return the instances of a drained or lost failure
// domain, and against lookups that return none when all domains are drained.
func TestLookupViews(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	views := []granter.View{{Domain: "a"}, {Domain: "b"}}
	config := func(drains map[string]loader.Drain) loader.State {
		return loader.State{
			Domains: map[string]loader.Domain{"a": {Region: "r"}, "b": {Region: "r"}},
			Drains:  drains,
		}
	}
	tests := []struct {
		name   string
		drains map[string]loader.Drain
		lost   []string
		want   string
	}{
		{"no drain", nil, nil, "ab"},
		{"drained", map[string]loader.Drain{"domain/a": {}}, nil, "b"},
		{"drain ended", map[string]loader.Drain{"domain/a": {Until: now}}, nil, "ab"},
		{"lost", nil, []string{"b"}, "a"},
		{"drained and lost", map[string]loader.Drain{"domain/a": {}}, []string{"b"}, "ab"},
		{"region drained", map[string]loader.Drain{"region/r": {}}, nil, "ab"},
		{"upstream drained", map[string]loader.Drain{"upstream/a": {}}, nil, "ab"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := ""
			for _, v := range lookupViews(views, reducer.Publish{Config: config(tt.drains), Lost: tt.lost}, now) {
				got += v.Domain
			}
			is.Equal(got, tt.want)
		})
	}
}
