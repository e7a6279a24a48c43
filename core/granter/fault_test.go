package granter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a domain that never gets a leader, or whose slots stay unused.
func TestStart(t *testing.T) {
	for n := 1; n <= 5; n++ {
		is := is.New(t)
		w := newWorld(uint64(n), n)
		w.run(15 * time.Second)
		is.Equal(w.faults, nil)
		t.Log(n, w.share(), w.leader(), w.lease.Electors, w.lease.Reserve)
		is.True(w.share() > 0.9)
		w.run(30 * time.Second)
		is.Equal(w.faults, nil)
		t.Log(n, w.share(), w.leader(), w.lease.Electors, w.lease.Reserve)
		is.True(w.share() > 0.9)
	}
}
