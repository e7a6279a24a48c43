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
		w := newWorld(uint64(n), n)
		w.run(time.Second)
		l := w.leader()
		is.True(l >= 0)
		is.Equal(len(w.nodes[l].uses.Reserve), 2) // a slot of each service
		w.down = true
		w.run(time.Minute)
		is.Equal(len(w.nodes[l].uses.Reserve), 2)
		w.heal()
		w.run(30 * time.Second)
		for _, o := range w.nodes {
			is.True(len(o.uses.Reserve) > 0)
		}
		is.Equal(w.faults, nil)
	}
}

// Guards against a reserve at once for a process that has heard of a leader, whose
// grants may contain the slots although the lease object is absent.
func TestNoInitialReserveAfterLeader(t *testing.T) {
	is := is.New(t)
	s := New(Member{Name: "a", Incarnation: 1}, epoch)
	s.Step(ConfigChanged{Now: epoch, Config: plan})
	is.Equal(len(s.firstLease().Reserve), 2)
	s.Step(HeartbeatResponseReceived{Now: epoch, From: Member{Name: "b"}, Leader: "b", Epoch: 1})
	is.Equal(len(s.firstLease().Reserve), 0)
}
