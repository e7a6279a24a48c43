package executor

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/reducer"
)

// Guards against a retried request that is taken for a new one although an
// instance that has since left or restarted may have run it.
func TestWitnessCandidates(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	config := loader.State{Upstreams: map[string]loader.Upstream{"u": {Service: "posting", Domain: "d"}}}
	views := func(members ...granter.Member) reducer.Publish {
		return reducer.Publish{Config: config, Views: []granter.View{{Domain: "d", Members: members}}}
	}
	a, b := granter.Member{Name: "a", Incarnation: 1, Domain: "d"}, granter.Member{Name: "b", Incarnation: 1, Domain: "d"}
	restarted := b
	restarted.Incarnation = 2
	self := granter.Member{Name: "self", Incarnation: 1, Domain: "d"}
	w := (&witnesses{}).update(views(a, b, self), "self", start)
	w = w.update(views(a, restarted, self), "self", start.Add(10*time.Second))
	tests := []struct {
		name    string
		service string
		sent    time.Time
		want    []string
	}{
		{"sent before the restart", "posting", start.Add(9 * time.Second), []string{"a1", "b1 departed", "b2"}},
		{"sent after the restart", "posting", start.Add(11 * time.Second), []string{"a1", "b2"}},
		{"another service", "lookup", start.Add(9 * time.Second), nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var got []string
			for _, m := range w.candidates(tt.service, tt.sent) {
				text := m.member.Name + string('0'+rune(m.member.Incarnation))
				if !m.departedAt.IsZero() {
					text += " departed"
				}
				got = append(got, text)
			}
			slices.Sort(got)
			is.Equal(got, tt.want)
		})
	}
}
