package forwarder_test

import (
	"testing"

	"github.com/matryer/is"
)

// Guards the plain path: local upstream, hop to another instance, outcome
// headers, free slots.
func TestForward(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, nil)
	b := newNode(t, "b", service("lookup", false, u))
	s := service("lookup", false)
	s.Peers = append(s.Peers, b.peer("lookup"))
	a := newNode(t, "a", s)
	for _, addr := range []string{b.front, a.front} {
		got := call(addr, "GET", "/s/lookup/x?y=1", "", "Horn-Id", "one")
		is.NoErr(got.err)
		is.Equal(got.status, 200)
		is.Equal(got.outcome, "ran")
		is.Equal(got.id, "one")
		is.Equal(got.body, "ok")
		is.Equal(got.header.Get("Horn-Free"), "")
	}
	got := call(b.data, "POST", "/s/lookup/x", "body", "Horn-Id", "two", "Horn-Hop", "1")
	is.Equal(got.header.Get("Horn-Free"), "8")
	is.Equal(len(u.arrivals()), 3)
	is.Equal(u.arrivals()[2].body, int64(4))
}
