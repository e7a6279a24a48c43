package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/steerer"
)

// buildTable builds a table with upstreams of one service and failure domain.
func buildTable(b *Builder, now int64, upstreams ...steerer.Upstream) *Table {
	return b.Build(steerer.View{Ready: true, Upstreams: upstreams, Config: &steerer.Config{
		Version:  1,
		Services: []steerer.Service{{Name: "s", Conns: 100}},
		Routes:   []steerer.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Aim: 100 * time.Millisecond, Attempts: 2, Parts: []steerer.WeightedService{{Service: "s", Weight: 1}}}},
	}}, now)
}

func testUpstream(id string, born int64, edit ...func(*steerer.Upstream)) steerer.Upstream {
	u := steerer.Upstream{ID: id, Born: born, Service: "s", Address: id + ":1", Domain: "a", Slots: 4}
	for _, f := range edit {
		f(&u)
	}
	return u
}

// TestPauseLifetime checks what ends a pause and what does not.
func TestPauseLifetime(t *testing.T) {
	const asked, now = 10 * time.Second, int64(time.Minute)
	moved := func(u *steerer.Upstream) { u.Address = "elsewhere:1" }
	tests := []struct {
		name string
		// after lists the upstreams of the views that follow.
		after [][]steerer.Upstream
		want  bool
	}{
		{"goes on", [][]steerer.Upstream{{testUpstream("u", 1)}}, true},
		{"outlives an absence", [][]steerer.Upstream{nil, {testUpstream("u", 1)}}, true},
		{"outlives a new address", [][]steerer.Upstream{{testUpstream("u", 1, moved)}}, true},
		{"ends with the incarnation", [][]steerer.Upstream{{testUpstream("u", 2)}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := &Builder{Self: steerer.Instance{Name: "i", Domain: "a", Region: "r"}, Regions: map[string]string{"a": "r"}}
			table := buildTable(b, now, testUpstream("u", 1))
			table.Pool("s").Upstreams[0].Pause(asked, now)
			for _, all := range tt.after {
				table = buildTable(b, now+int64(time.Second), all...)
			}
			u := table.Pool("s").Upstreams[0]
			is.Equal(u.Paused(now+int64(asked)-1), tt.want)
			is.True(!u.Paused(now + int64(asked)))
		})
	}
}

// TestPauseIsBounded checks that the longest pause asked for is kept, up to
// maxPauseTime.
func TestPauseIsBounded(t *testing.T) {
	is := is.New(t)
	u := &Upstream{flow: &flowControl{}}
	is.Equal(u.Pause(time.Minute, 1), 1+int64(time.Minute))
	is.Equal(u.Pause(time.Second, 2), 1+int64(time.Minute)) // a shorter pause does not end it
	is.Equal(u.Pause(1000*time.Hour, 3), 3+int64(maxPauseTime))
}

// TestPauseStateExpires checks that the state kept for incarnations that have left
// the view is bounded.
func TestPauseStateExpires(t *testing.T) {
	is := is.New(t)
	b := &Builder{Self: steerer.Instance{Name: "i", Domain: "a", Region: "r"}, Regions: map[string]string{"a": "r"}}
	for n := range 500 {
		buildTable(b, int64(n)*int64(time.Second), testUpstream(fmt.Sprint("u", n), 1))
	}
	is.True(len(b.flows) < 100)
}

// TestAllUpstreamsPaused checks that callers are told to retry when the first pause
// ends, with jitter.
func TestAllUpstreamsPaused(t *testing.T) {
	is := is.New(t)
	b := &Builder{Self: steerer.Instance{Name: "i", Domain: "a", Region: "r"}, Regions: map[string]string{"a": "r"}}
	now := int64(time.Minute)
	table := buildTable(b, now, testUpstream("u1", 1), testUpstream("u2", 1))
	for i, u := range table.Pool("s").Upstreams {
		u.Pause(time.Duration(3+i)*time.Second, now)
	}
	route := table.Route("h", "/")
	delays := map[time.Duration]bool{}
	for key := range uint64(20) {
		d := Choose(&Request{Route: route, Pool: route.Pools[0].Pool, Key: key + 1, Now: now, Deadline: now + int64(time.Second)})
		is.Equal(d.Reason, Paused)
		is.True(d.RetryAfter >= 3*time.Second && d.RetryAfter < 4*time.Second)
		delays[d.RetryAfter] = true
	}
	is.True(len(delays) > 10) // callers do not retry together
	d := Choose(&Request{Route: route, Pool: route.Pools[0].Pool, Key: 1, Now: now + int64(3*time.Second), Deadline: now + int64(5*time.Second)})
	is.Equal(d.Upstream.ID, "u1")
}
