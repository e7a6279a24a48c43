package granter

import (
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// checkCaches compares what a leader caches between steps with a new computation.
// It guards against a change that leaves a sorted list, a part size, a rate or
// the view out of date.
func (n *node) checkCaches(e Event) {
	if _, ok := e.(Tick); !ok || !n.state.Leading {
		return
	}
	fresh := *n.state
	fresh.sortedMembers, fresh.sortedAllocations = nil, nil
	if !slices.Equal(fresh.membersByName(), n.state.membersByName()) || !slices.Equal(fresh.allocationsByKey(), n.state.allocationsByKey()) {
		n.cluster.violation("%s: sorted members or allocations are out of date", n.state.Self.Name)
	}
	for _, a := range n.state.membersByName() {
		kept := *a
		kept.OutstandingGrants, kept.maxRates = slices.Clone(a.OutstandingGrants), slices.Clone(a.maxRates)
		fresh.updateMaxRates(&kept)
		again := MemberState{OutstandingGrants: slices.Clone(a.OutstandingGrants), AckedSequence: a.AckedSequence}
		fresh.updateMaxRates(&again)
		if !slices.Equal(again.maxRates, kept.maxRates) || len(again.OutstandingGrants) != len(kept.OutstandingGrants) {
			n.cluster.violation("%s: rates of %s are out of date", n.state.Self.Name, a.Member.Name)
		}
	}
	fresh.updateTargets()
	if !maps.Equal(fresh.PartSizes, fresh.partSizes()) {
		n.cluster.violation("%s: part sizes are out of date", n.state.Self.Name)
	}
	view := *n.state
	view.View.Members, view.View.Holdings = nil, nil
	view.publishView()
	if !slices.Equal(view.View.Members, n.state.View.Members) || !slices.Equal(view.View.Holdings, n.state.View.Holdings) {
		n.cluster.violation("%s: view is out of date", n.state.Self.Name)
	}
}

// TestRatesFollowConfig guards against shares that count rates of a quota of the
// former configuration at the same index. Only what another member may still
// use of the quota with the same name counts.
func TestRatesFollowConfig(t *testing.T) {
	is := is.New(t)
	s := New(Member{Name: "a", Incarnation: 1}, startTime)
	s.Step(ConfigChanged{Now: startTime, Config: Config{Quotas: []Quota{{Name: "x", Rate: 90}, {Name: "y", Rate: 8}}}})
	a, b := s.memberState(s.Self), s.memberState(Member{Name: "b", Incarnation: 1})
	b.OutstandingGrants = []Grant{{Sequence: 1, Deadline: startTime.Add(GrantTerm), Quotas: []Quota{{Name: "x", Rate: 90}, {Name: "y", Rate: 5}}}}
	is.Equal(s.outstandingRates(a), []float64{90, 5})
	s.Step(ConfigChanged{Now: startTime, Config: Config{Quotas: []Quota{{Name: "y", Rate: 8}}}})
	is.Equal(s.outstandingRates(a), []float64{5})
	s.Now = startTime.Add(GrantTerm + 2*LeaseMargin)
	is.Equal(s.outstandingRates(a), []float64{0})
}
