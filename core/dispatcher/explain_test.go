package dispatcher

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/steerer"
)

// explainTable returns a table with upstreams in each of the states that exclude one.
func explainTable(now int64) (*Builder, *Table) {
	b := &Builder{Self: steerer.Instance{Name: "i", Domain: "a", Region: "r1"}, Regions: map[string]string{"a": "r1", "b": "r2"}, Bounds: steerer.Bounds{ColdSlack: 5, AllowanceSlack: 20}, MinRampShare: rampShare}
	upstream := func(id, domain string) steerer.Upstream {
		return steerer.Upstream{ID: id, Service: "s", Address: id, Domain: domain, Slots: 2}
	}
	v := steerer.View{Ready: true, Peers: []steerer.Instance{{Name: "i", Domain: "a", Region: "r1"}}, Config: &steerer.Config{
		Services:   []steerer.Service{{Name: "s", Conns: 100, ColdRate: 1}, {Name: "other", Conns: 100}},
		Workspaces: []steerer.Workspace{{Name: "w", Keys: []string{"k"}, Rate: 10, Burst: 10, Homes: []string{"r1"}}},
		Routes: []steerer.Route{{
			Name: "r", Host: "h", Prefix: "/", Timeout: 2 * time.Second, Aim: 200 * time.Millisecond, Attempts: 1,
			Parts: []steerer.WeightedService{{Service: "s", Weight: 9}, {Service: "other", Weight: 1}},
		}},
	}}
	for _, id := range []string{"busy", "cold", "free", "leaving", "limited", "paused", "slow"} {
		v.Upstreams = append(v.Upstreams, upstream(id, "a"))
	}
	v.Upstreams[1].ColdUntil = now + int64(3*time.Second)
	v.Upstreams = append(v.Upstreams, upstream("far", "b"))
	b.Build(v, now)
	v.Upstreams = append(v.Upstreams, upstream("new", "a"))
	t := b.Build(v, now)
	now += int64(time.Second) // the next request lets the share of the new one grow
	all := map[string]*Upstream{}
	for _, u := range t.Pool("s").Upstreams {
		all[u.ID] = u
	}
	all["busy"].report(Load{Running: 2, Waiting: 6, Slots: 2}, now)
	all["cold"].admitCold(now) // uses up its share
	all["cold"].ramp.active.Store(false)
	all["leaving"].MarkDraining()
	all["limited"].ObserveRateLimit(RateLimit{Stated: true, Valid: true, PerSecond: 1}, now-1, now)
	all["paused"].Pause(time.Second, now)
	for range 5 {
		all["slow"].observe(now, 5, false)
	}
	return b, t
}

// describeState returns all that decisions change.
func describeState(b *Builder, t *Table) (text string) {
	for _, name := range slices.Sorted(maps.Keys(t.pools)) {
		p := t.pools[name]
		text += fmt.Sprintf("%s budget %+v spillover %+v moves %+v\n", p.Name, p.RetryBudget, p.spillover, b.moveLimiter)
		for _, u := range p.Upstreams {
			text += fmt.Sprintf("%s %d %d %d %v %v %v %+v %+v\n", u.ID, u.Inflight(), u.nextCold.Load(), u.downUntil, u.slowdown, u.failureRate, u.lastAnswer, u.flow.limit.spacedAt, u.path)
			text += fmt.Sprintln(u.ramp.share(), u.ramp.steppedAt.Load())
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.spreads)) {
		text += fmt.Sprintln(b.spreads[name].peek())
	}
	for _, w := range b.workspaces {
		text += fmt.Sprintf("%+v\n", w.Share.Use())
	}
	return text
}

// TestExplain checks the verdict on each upstream, that it agrees with the decision, and that
// explaining changes nothing.
func TestExplain(t *testing.T) {
	is := is.New(t)
	now := int64(time.Minute)
	b, table := explainTable(now)
	route := table.Route("h", "/x")
	w := table.Workspaces()[0]
	before := describeState(b, table)
	request := func() *Request {
		return &Request{Route: route, Pool: table.Pool("s"), Workspace: w, Now: now, Deadline: now + int64(2*time.Second)}
	}
	var x Explanation
	for range 3 {
		x = Explain(request())
		is.True(route.PreviewPool() != nil)
		_, ok := w.Share.Preview(now)
		is.True(ok)
	}
	is.Equal(describeState(b, table), before)
	verdicts := map[string]Verdict{}
	for _, e := range x.Upstreams {
		verdicts[e.Upstream.ID] = e.Verdict
	}
	is.Equal(verdicts, map[string]Verdict{
		"free": Chosen, "slow": Costlier, "busy": TooLate, "cold": ColdUpstream, "far": NotHome,
		"leaving": Leaving, "limited": LimitedUpstream, "new": RampingUp, "paused": PausedUpstream,
	})
	is.Equal(x.Upstreams[0].Upstream.ID, "free")
	is.Equal(x.Reason, Reason(""))
	is.Equal(Choose(request()).Upstream.ID, "free")
	is.True(describeState(b, table) != before)
}

// TestExplainRefusals explains requests that would be refused.
func TestExplainRefusals(t *testing.T) {
	is := is.New(t)
	now := int64(time.Minute)
	_, table := explainTable(now)
	r := &Request{Route: table.Route("h", "/"), Pool: table.Pool("other"), Now: now, Deadline: now + int64(time.Second)}
	is.Equal(Explain(r).Reason, NoUpstream)
	r.Pool, r.Deadline = table.Pool("s"), now+int64(time.Millisecond)
	x := Explain(r)
	is.Equal(x.Reason, Overload)
	is.True(x.RetryAfter > 0)
	is.Equal(Choose(r).Reason, Overload)
}
