package forwarder_test

import (
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/router"
)

// cluster has an instance that holds all slots and others that forward to it.
func cluster(t *testing.T, u *upstream, size int) []*node {
	t.Helper()
	nodes := []*node{newNode(t, "0", service("posting", true, u))}
	for i := 1; i < size; i++ {
		s := service("posting", true)
		s.Peers = []*router.Peer{nodes[0].peer("posting")}
		nodes = append(nodes, newNode(t, strconv.Itoa(i), s))
	}
	for i, n := range nodes {
		for j, w := range nodes {
			if i != j {
				n.witnesses = append(n.witnesses, w)
			}
		}
	}
	return nodes
}

// now is the present as a header value. Waiting for the skew makes records old
// enough to vouch for requests that are sent from now on.
func now() string { return at(600 * time.Millisecond) }

// Guards against a second run when a request is sent again, through the same
// instance or another one.
func TestRepeat(t *testing.T) {
	tests := []struct {
		name          string
		first, second int
		attempt       string
		mute          int
		sent          string
		outcome       string
		body          string
		runs          int
	}{
		{"same owner", 0, 0, "2", -1, now(), "ran", "first", 1},
		{"same owner, attempt not told", 0, 0, "1", -1, now(), "ran", "first", 1},
		{"same entry, attempt not told", 1, 1, "1", -1, now(), "ran", "first", 1},
		{"other entry", 1, 2, "2", -1, now(), "ran", "first", 1},
		{"owner as entry", 1, 0, "2", -1, now(), "ran", "first", 1},
		{"owner does not answer", 1, 2, "2", 0, now(), "unknown", "", 1},
		{"never seen", -1, 2, "2", -1, now(), "ran", "first", 1},
		{"never seen, other does not answer", -1, 2, "2", 1, now(), "unknown", "", 0},
		{"never seen, sent before the records", -1, 2, "2", -1, "1000", "unknown", "", 0},
		{"never seen, no time", -1, 2, "2", -1, "0", "unknown", "", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, func(c net.Conn, a arrival) bool { return reply(c, a.id, "first") })
			nodes := cluster(t, u, 3)
			if tt.first >= 0 {
				got := call(nodes[tt.first].front, "POST", "/s/posting/", "x", "Horn-Id", "one")
				is.Equal(got.outcome, "ran")
			}
			if tt.mute >= 0 {
				nodes[tt.mute].mute.Store(true)
			}
			got := call(nodes[tt.second].front, "POST", "/s/posting/", "x", "Horn-Id", "one", "Horn-Attempt", tt.attempt, "Horn-Sent", tt.sent)
			is.Equal(got.outcome, tt.outcome)
			if tt.outcome == "ran" {
				is.Equal(got.body, tt.body)
				is.Equal(got.header.Get("Content-Type"), "text/x")
			}
			is.Equal(len(u.arrivals()), tt.runs)
		})
	}
}

// Guards against an id that can never run again after a refusal.
func TestRepeatAfterRefusal(t *testing.T) {
	is := is.New(t)
	refusing := true
	var mu sync.Mutex
	u := newUpstream(t, func(c net.Conn, a arrival) bool {
		mu.Lock()
		defer mu.Unlock()
		if refusing {
			return refuse(c, a.id)
		}
		return reply(c, a.id, "ok")
	})
	nodes := cluster(t, u, 4)
	sent := now()
	for i := range 5 {
		got := call(nodes[1+i%3].front, "POST", "/s/posting/", "x", "Horn-Id", "one", "Horn-Attempt", strconv.Itoa(i+1), "Horn-Sent", sent)
		is.Equal(got.outcome, "notrun")
	}
	mu.Lock()
	refusing = false
	mu.Unlock()
	got := call(nodes[0].front, "POST", "/s/posting/", "x", "Horn-Id", "one", "Horn-Attempt", "6", "Horn-Sent", sent)
	is.Equal(got.outcome, "ran")
	got = call(nodes[2].front, "POST", "/s/posting/", "x", "Horn-Id", "one", "Horn-Attempt", "7", "Horn-Sent", sent)
	is.Equal(got.outcome, "ran")
	is.Equal(len(u.arrivals()), 6) // five refusals and one run
}

// Guards against a repeat that is told "unknown" while the first send still runs
// and will have an answer.
func TestRepeatWhileRunning(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	u := newUpstream(t, func(c net.Conn, a arrival) bool {
		<-hold
		return reply(c, a.id, "first")
	})
	nodes := cluster(t, u, 3)
	answers := make(chan answer, 3)
	go func() { answers <- call(nodes[1].front, "POST", "/s/posting/", "x", "Horn-Id", "one") }()
	until(t, "first send runs", func() bool { return len(u.arrivals()) == 1 })
	for i := range 2 {
		go func() {
			answers <- call(nodes[2*i].front, "POST", "/s/posting/", "x", "Horn-Id", "one", "Horn-Attempt", "2", "Horn-Sent", now())
		}()
	}
	close(hold)
	for range 3 {
		got := <-answers
		is.Equal(got.outcome, "ran")
		is.Equal(got.body, "first")
	}
	is.Equal(len(u.arrivals()), 1)
}

// Guards against a copy that arrives at an owner twice or after a repeat has
// fenced the id there.
func TestLateCopy(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, func(c net.Conn, a arrival) bool { return reply(c, a.id, "first") })
	nodes := cluster(t, u, 2)
	for range 2 {
		got := call(nodes[0].data, "POST", "/s/posting/", "x", "Horn-Id", "twice", "Horn-Hop", "1")
		is.Equal(got.body, "first")
	}
	is.Equal(len(u.arrivals()), 1)
	nodes[0].fwd.LookupRequest("posting", "late", true, time.Now().UnixMilli())
	for _, addr := range []string{nodes[1].front, nodes[0].front, nodes[0].data} {
		got := call(addr, "POST", "/s/posting/", "x", "Horn-Id", "late", "Horn-Hop", "1")
		is.Equal(got.outcome, "unknown")
		is.Equal(got.status, 504)
		is.Equal(len(u.arrivals()), 1)
	}
}

// Guards against a second run at another owner when a caller sends a request
// again without telling.
func TestUntoldRepeat(t *testing.T) {
	is := is.New(t)
	answer := func(c net.Conn, a arrival) bool { return reply(c, a.id, "first") }
	u, v := newUpstream(t, answer), newUpstream(t, answer)
	b, c := newNode(t, "b", service("posting", true, u)), newNode(t, "c", service("posting", true, v))
	a := via(t, "posting", true, b, c)
	a.witnesses = []*node{b, c}
	for range 2 {
		got := call(a.front, "POST", "/s/posting/", "x", "Horn-Id", "one", "Horn-Sent", now())
		is.Equal(got.body, "first")
		a.Table().Services["posting"].Peers[0].Path.RecordFailure(far)
	}
	is.Equal(len(u.arrivals())+len(v.arrivals()), 1)
}
