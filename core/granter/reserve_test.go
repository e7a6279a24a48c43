package granter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReserveFromStart guards against a domain without any reserve if the
// platform fails soon after the start, and against initial reserve slots that
// are part of a grant, too.
func TestReserveFromStart(t *testing.T) {
	for n := 1; n <= 3; n++ {
		is := is.New(t)
		c := newCluster(uint64(n), n)
		c.run(time.Second)
		l := c.leader()
		is.True(l >= 0)
		is.Equal(len(c.nodes[l].holdings.Reserve), 2) // a slot of each service
		c.platformDown = true
		c.run(time.Minute)
		is.Equal(len(c.nodes[l].holdings.Reserve), 2)
		c.heal()
		c.run(30 * time.Second)
		for _, o := range c.nodes {
			is.True(len(o.holdings.Reserve) > 0)
		}
		is.Equal(c.violations, nil)
	}
}

// TestNoInitialReserveAfterLeader guards against an initial reserve for a process
// that has heard of a leader, whose grants may contain the slots although the
// lease object is absent.
func TestNoInitialReserveAfterLeader(t *testing.T) {
	is := is.New(t)
	s := New(Member{Name: "a", Incarnation: 1}, startTime)
	s.Step(ConfigChanged{Now: startTime, Config: testConfig})
	is.Equal(len(s.initialLease().Reserve), 2)
	s.Step(HeartbeatResponseReceived{Now: startTime, From: Member{Name: "b"}, Leader: "b", Epoch: 1})
	is.Equal(len(s.initialLease().Reserve), 0)
}
