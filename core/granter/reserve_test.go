package granter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a domain without any reserve when the platform is lost soon
// after the start, and against first reserve slots that a part contains, too.
func TestReserveFromStart(t *testing.T) {
	for n := 1; n <= 3; n++ {
		is := is.New(t)
		w := newCluster(uint64(n), n)
		w.run(time.Second)
		l := w.leader()
		is.True(l >= 0)
		is.Equal(len(w.nodes[l].holdings.Reserve), 2) // a slot of each service
		w.platformDown = true
		w.run(time.Minute)
		is.Equal(len(w.nodes[l].holdings.Reserve), 2)
		w.heal()
		w.run(30 * time.Second)
		for _, o := range w.nodes {
			is.True(len(o.holdings.Reserve) > 0)
		}
		is.Equal(w.violations, nil)
	}
}

// Guards against a reserve at once for a process that has heard of a leader, whose
// grants may contain the slots although the lease object is absent.
func TestNoFirstReserveAfterLeader(t *testing.T) {
	is := is.New(t)
	s := New(Member{Name: "a", Incarnation: 1}, startTime)
	s.Step(ConfigChanged{Now: startTime, Config: testConfig})
	is.Equal(len(s.initialLease().Reserve), 2)
	s.Step(HeartbeatResponseReceived{Now: startTime, From: Member{Name: "b"}, Leader: "b", Epoch: 1})
	is.Equal(len(s.initialLease().Reserve), 0)
}
