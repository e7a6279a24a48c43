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

// newCluster returns an instance that holds all slots and others that forward to
// it.
func newCluster(t *testing.T, u *upstream, size int) []*instance {
	t.Helper()
	nodes := []*instance{newInstance(t, "0", newService("posting", true, u))}
	for i := 1; i < size; i++ {
		s := newService("posting", true)
		s.Peers = []*router.Peer{nodes[0].peer("posting")}
		nodes = append(nodes, newInstance(t, strconv.Itoa(i), s))
	}
	for i, n := range nodes {
		for j, w := range nodes {
			if i != j {
				n.others = append(n.others, w)
			}
		}
	}
	return nodes
}

// firstSentNow returns a Horn-Sent value slightly in the future. It exceeds the
// allowed clock skew, so that dedup tables that were just created cover it.
func firstSentNow() string { return millisFromNow(600 * time.Millisecond) }

// Guards against a second run when a request is sent again, through the same
// instance or another one.
func TestRepeat(t *testing.T) {
	tests := []struct {
		name          string
		first, second int
		attempt       string
		mute          int
		sent          func() string
		outcome       string
		body          string
		runs          int
	}{
		{"same instance", 0, 0, "2", -1, firstSentNow, "ran", "first", 1},
		{"same instance, marked as first attempt", 0, 0, "1", -1, firstSentNow, "ran", "first", 1},
		{"same entry instance, marked as first attempt", 1, 1, "1", -1, firstSentNow, "ran", "first", 1},
		{"other entry instance", 1, 2, "2", -1, firstSentNow, "ran", "first", 1},
		{"slot holder as entry instance", 1, 0, "2", -1, firstSentNow, "ran", "first", 1},
		{"slot holder does not respond", 1, 2, "2", 0, firstSentNow, "unknown", "", 1},
		{"never seen", -1, 2, "2", -1, firstSentNow, "ran", "first", 1},
		{"never seen, another instance does not respond", -1, 2, "2", 1, firstSentNow, "unknown", "", 0},
		{"never seen, sent before the tables existed", -1, 2, "2", -1, func() string { return "1000" }, "unknown", "", 0},
		{"never seen, first send unknown", -1, 2, "2", -1, func() string { return "0" }, "unknown", "", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, func(c net.Conn, a received) bool { return reply(c, a.id, "first") })
			nodes := newCluster(t, u, 3)
			if tt.first >= 0 {
				got := sendRequest(nodes[tt.first].front, "POST", "/s/posting/", "x", "Horn-Id", "one")
				is.Equal(got.outcome, "ran")
			}
			if tt.mute >= 0 {
				nodes[tt.mute].unresponsive.Store(true)
			}
			got := sendRequest(nodes[tt.second].front, "POST", "/s/posting/", "x", "Horn-Id", "one", "Horn-Attempt", tt.attempt, "Horn-Sent", tt.sent())
			is.Equal(got.outcome, tt.outcome)
			if tt.outcome == "ran" {
				is.Equal(got.body, tt.body)
				is.Equal(got.header.Get("Content-Type"), "text/x")
			}
			is.Equal(len(u.requests()), tt.runs)
		})
	}
}

// Guards against an id that can never run again after a refusal.
func TestRepeatAfterRefusal(t *testing.T) {
	is := is.New(t)
	refusing := true
	var mu sync.Mutex
	u := newUpstream(t, func(c net.Conn, a received) bool {
		mu.Lock()
		defer mu.Unlock()
		if refusing {
			return refuse(c, a.id)
		}
		return reply(c, a.id, "ok")
	})
	nodes := newCluster(t, u, 4)
	sent := firstSentNow()
	for i := range 5 {
		got := sendRequest(nodes[1+i%3].front, "POST", "/s/posting/", "x", "Horn-Id", "one", "Horn-Attempt", strconv.Itoa(i+1), "Horn-Sent", sent)
		is.Equal(got.outcome, "notrun")
	}
	mu.Lock()
	refusing = false
	mu.Unlock()
	got := sendRequest(nodes[0].front, "POST", "/s/posting/", "x", "Horn-Id", "one", "Horn-Attempt", "6", "Horn-Sent", sent)
	is.Equal(got.outcome, "ran")
	got = sendRequest(nodes[2].front, "POST", "/s/posting/", "x", "Horn-Id", "one", "Horn-Attempt", "7", "Horn-Sent", sent)
	is.Equal(got.outcome, "ran")
	is.Equal(len(u.requests()), 6) // five refusals and one run
}

// Guards against an unknown outcome for a repeat while the first send still runs
// and will have a response.
func TestRepeatWhileRunning(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	u := newUpstream(t, func(c net.Conn, a received) bool {
		<-release
		return reply(c, a.id, "first")
	})
	nodes := newCluster(t, u, 3)
	answers := make(chan response, 3)
	go func() { answers <- sendRequest(nodes[1].front, "POST", "/s/posting/", "x", "Horn-Id", "one") }()
	waitFor(t, "first send runs", func() bool { return len(u.requests()) == 1 })
	for i := range 2 {
		go func() {
			answers <- sendRequest(nodes[2*i].front, "POST", "/s/posting/", "x", "Horn-Id", "one", "Horn-Attempt", "2", "Horn-Sent", firstSentNow())
		}()
	}
	close(release)
	for range 3 {
		got := <-answers
		is.Equal(got.outcome, "ran")
		is.Equal(got.body, "first")
	}
	is.Equal(len(u.requests()), 1)
}

// Guards against running a forwarded request that arrives twice, or after a repeat
// has fenced its id.
func TestLateDuplicate(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, func(c net.Conn, a received) bool { return reply(c, a.id, "first") })
	nodes := newCluster(t, u, 2)
	for range 2 {
		got := sendRequest(nodes[0].data, "POST", "/s/posting/", "x", "Horn-Id", "twice", "Horn-Hop", "1")
		is.Equal(got.body, "first")
	}
	is.Equal(len(u.requests()), 1)
	nodes[0].fwd.LookupRequest("posting", "late", true, time.Now().UnixMilli())
	for _, addr := range []string{nodes[1].front, nodes[0].front, nodes[0].data} {
		got := sendRequest(addr, "POST", "/s/posting/", "x", "Horn-Id", "late", "Horn-Hop", "1")
		is.Equal(got.outcome, "unknown")
		is.Equal(got.status, 504)
		is.Equal(len(u.requests()), 1)
	}
}

// Guards against a second run at another instance when a caller repeats a request
// without setting Horn-Attempt.
func TestUnmarkedRepeat(t *testing.T) {
	is := is.New(t)
	answer := func(c net.Conn, a received) bool { return reply(c, a.id, "first") }
	u, v := newUpstream(t, answer), newUpstream(t, answer)
	b, c := newInstance(t, "b", newService("posting", true, u)), newInstance(t, "c", newService("posting", true, v))
	a := newProxyInstance(t, "posting", true, b, c)
	a.others = []*instance{b, c}
	for range 2 {
		got := sendRequest(a.front, "POST", "/s/posting/", "x", "Horn-Id", "one", "Horn-Sent", firstSentNow())
		is.Equal(got.body, "first")
		a.Table().Services["posting"].Peers[0].Path.RecordFailure(noExpiry)
	}
	is.Equal(len(u.requests())+len(v.requests()), 1)
}
