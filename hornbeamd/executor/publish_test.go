package executor

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/reducer"
)

// Guards against look-ups that name instances of an older view or
// configuration, and against building 120,000 blocks anew for every grant.
func TestResolverFollowsConfigAndViews(t *testing.T) {
	p := plan{members: 2, domains: 2, upstreams: 1, slots: 4, blocks: 8}
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
			is.Equal(x.resolver.Load() != before, c.rebuilt) // table of look-ups
		})
	}
}
