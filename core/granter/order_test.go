package granter

import (
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// checkKept compares what a leader keeps between steps with a new computation.
// It guards against a change that leaves an order, a size or a sum out of date.
func (n *node) checkKept(e Event) {
	if _, ok := e.(Tick); !ok || !n.st.Leading {
		return
	}
	fresh := *n.st
	fresh.roster, fresh.order = nil, nil
	if !slices.Equal(fresh.accounts(), n.st.accounts()) || !slices.Equal(fresh.ordered(), n.st.ordered()) {
		n.w.fault("%s: order of members or records is out of date", n.st.Self.Name)
	}
	for _, a := range n.st.accounts() {
		kept := *a
		kept.OutstandingGrants, kept.rates = slices.Clone(a.OutstandingGrants), slices.Clone(a.rates)
		fresh.count(&kept)
		again := MemberState{OutstandingGrants: slices.Clone(a.OutstandingGrants), AckedSequence: a.AckedSequence}
		fresh.count(&again)
		if !slices.Equal(again.rates, kept.rates) || len(again.OutstandingGrants) != len(kept.OutstandingGrants) {
			n.w.fault("%s: rates of %s are out of date", n.st.Self.Name, a.Member.Name)
		}
	}
	fresh.refresh()
	if !maps.Equal(fresh.PartSizes, fresh.sizes()) {
		n.w.fault("%s: sizes are out of date", n.st.Self.Name)
	}
	view := *n.st
	view.View.Members, view.View.Holdings = nil, nil
	view.publishView()
	if !slices.Equal(view.View.Members, n.st.View.Members) || !slices.Equal(view.View.Holdings, n.st.View.Holdings) {
		n.w.fault("%s: view is out of date", n.st.Self.Name)
	}
}

// Guards against shares that count rates of a former plan's quotas: they must
// leave out what another member may still use of the quota with the same name.
func TestRatesFollowConfig(t *testing.T) {
	is := is.New(t)
	s := New(Member{Name: "a", Incarnation: 1}, epoch)
	s.Step(ConfigChanged{Now: epoch, Config: Config{Quotas: []Quota{{Name: "x", Rate: 90}, {Name: "y", Rate: 8}}}})
	a, b := s.account(s.Self), s.account(Member{Name: "b", Incarnation: 1})
	b.OutstandingGrants = []Grant{{Sequence: 1, Deadline: epoch.Add(GrantTerm), Quotas: []Quota{{Name: "x", Rate: 90}, {Name: "y", Rate: 5}}}}
	is.Equal(s.outstanding(a), []float64{90, 5})
	s.Step(ConfigChanged{Now: epoch, Config: Config{Quotas: []Quota{{Name: "y", Rate: 8}}}})
	is.Equal(s.outstanding(a), []float64{5})
	s.Now = epoch.Add(GrantTerm + 2*LeaseMargin)
	is.Equal(s.outstanding(a), []float64{0})
}
