package forwarder_test

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/router"
	"hornbeamstream.example/hornbeamd/forwarder"
)

// Guards against more connections than an upstream allows, and against
// requests that wait long for a slot.
func TestFull(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	u := newUpstream(t, func(c net.Conn, a arrival) bool {
		<-hold
		return reply(c, a.id, "ok")
	})
	s := service("posting", true, u)
	s.Targets[0].MaxConns = 3
	n := newNode(t, "a", s)
	var wg sync.WaitGroup
	outcomes := make(chan answer, 12)
	for i := range 12 {
		wg.Go(func() { outcomes <- call(n.front, "POST", "/s/posting/", "", "Horn-Id", fmt.Sprint(i)) })
	}
	for range 9 {
		got := <-outcomes
		is.Equal(got.outcome, "notrun")
		is.Equal(got.status, 503)
		is.Equal(got.header.Get("Retry-After"), "1")
		at, err := strconv.ParseInt(got.header.Get("Horn-Retry"), 10, 64)
		is.NoErr(err)
		is.True(at > time.Now().Add(-time.Minute).UnixMilli())
	}
	close(hold)
	wg.Wait()
	is.Equal(u.open(), 3)
	is.Equal(len(u.arrivals()), 3)
}

// Guards against a rush of one priority that fills the instance, against an
// entry that is kept after the request's end, and against calling a repeat that
// was refused not run.
func TestEntry(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, func(c net.Conn, a arrival) bool {
		if a.method == "GET" {
			return reply(c, a.id, strings.Repeat("x", 200<<10)) // streamed
		}
		return reply(c, a.id, "ok")
	})
	n := newNode(t, "a", service("posting", true, u))
	q := &router.Request{Service: n.Table().Services["posting"]}
	room := 0
	for n.Table().AcquireEntry(q, 1) {
		room++
	}
	got := call(n.front, "POST", "/s/posting/", "")
	is.Equal(got.outcome+got.reason, "notrunbusy")
	is.True(got.header.Get("Horn-Retry") != "")
	is.Equal(call(n.front, "POST", "/s/posting/", "", "Horn-Id", "r", "Horn-Attempt", "2").outcome, "unknown")
	is.Equal(call(n.data, "POST", "/s/posting/", "", "Horn-Hop", "1").outcome, "ran") // hops have entered elsewhere
	n.Table().ReleaseEntry()
	for i := range 5 {
		method := []string{"POST", "GET"}[i%2]
		is.Equal(call(n.front, method, "/s/posting/", "").outcome, "ran")
		until(t, "entry given back", func() bool { return n.Table().AcquireEntry(q, 1) })
		is.True(!n.Table().AcquireEntry(q, 1))
		n.Table().ReleaseEntry()
	}
	is.True(room > 0)
}

// Guards against a queue that lets nobody through: a request that finds no slot
// runs when one becomes free in time.
func TestQueue(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, nil)
	s := service("posting", true, u)
	s.Targets[0].Gate.Set(1, far)
	n := newNode(t, "a", s)
	ran := 0
	for range 50 {
		is.True(s.Targets[0].Gate.TryAcquire(1))
		got := make(chan answer, 1)
		go func() { got <- call(n.front, "POST", "/s/posting/", "") }()
		until(t, "request waits", func() bool { return n.fwd.Queued("posting") == 1 || len(got) > 0 })
		s.Targets[0].Gate.Release()
		n.fwd.Wake("posting")
		if (<-got).outcome == "ran" {
			ran++
		}
	}
	is.True(ran > 0)
}

// Guards against waits that outlast what the service's time and the deadline
// make useful, and against a queue that grows without bound.
func TestWaitTime(t *testing.T) {
	is := is.New(t)
	for _, tt := range [][3]time.Duration{
		{0, 1000, 5}, {4, 1000, 5}, {40, 1000, 20}, {1000, 9000, 50}, {40, 50, 10}, {40, 30, -10}, {0, 4, 2},
	} {
		is.Equal(forwarder.QueueWait(tt[0]*time.Millisecond, tt[1]*time.Millisecond), tt[2]*time.Millisecond)
	}
	s := service("posting", true)
	s.Timeout = int64(time.Hour)
	n := newNode(t, "a", s)
	woken := n.fwd.AddWaiter("posting")
	for range 63 {
		n.fwd.AddWaiter("posting")
	}
	n.fwd.SetServiceP95("posting", 100*time.Millisecond)
	n.fwd.Wake("posting")
	is.Equal(call(n.front, "POST", "/s/posting/", "").reason, "full")
	is.Equal(woken(), 1) // a request that waits would have taken the wake
}

// Guards against giving up while a slot becomes free in time: after three
// refusals for lack of slots the last try follows a wait.
func TestMisses(t *testing.T) {
	is := is.New(t)
	s := service("lookup", false, newUpstream(t, nil))
	gate := s.Targets[0].Gate
	gate.Set(1, far)
	var full []*node
	for _, name := range []string{"b", "c", "d", "e"} {
		full = append(full, newNode(t, name, s))
	}
	a := via(t, "lookup", false, full...)
	peers := a.Table().Services["lookup"].Peers
	ran := 0
	for range 20 {
		a.fwd.SetServiceP95("lookup", 100*time.Millisecond)
		for _, p := range peers {
			p.Credits["lookup"].Update(1, time.Now().UnixNano())
		}
		is.True(gate.TryAcquire(1))
		got := make(chan answer, 1)
		go func() { got <- call(a.front, "GET", "/s/lookup/", "") }()
		until(t, "request waits", func() bool { return a.fwd.Queued("lookup") == 1 || len(got) > 0 })
		gate.Release()
		peers[0].Credits["lookup"].Update(1, time.Now().UnixNano())
		a.fwd.Wake("lookup")
		if (<-got).outcome == "ran" {
			ran++
		}
	}
	is.True(ran > 0)
}

// Guards against requests that no answer of a peer wakes, at an instance without
// own slots, and against asking a peer again that has just refused.
func TestPeerQueue(t *testing.T) {
	is := is.New(t)
	hold, ended := make(chan struct{}), make(chan answer, 2)
	u := newUpstream(t, func(c net.Conn, a arrival) bool {
		if a.id == "first" {
			<-hold
		}
		return reply(c, a.id, "ok")
	})
	s := service("lookup", false, u)
	s.Targets[0].Gate.Set(1, far)
	b := newNode(t, "b", s)
	a := via(t, "lookup", false, b)
	p := a.Table().Services["lookup"].Peers[0]
	p.Credits["lookup"].Update(2, time.Now().UnixNano())
	go func() { ended <- call(a.front, "GET", "/s/lookup/", "", "Horn-Id", "first") }()
	until(t, "the slot is taken", func() bool { return len(u.arrivals()) == 1 })
	is.Equal(call(a.front, "GET", "/s/lookup/", "").reason, "full")
	is.Equal(p.Credits["lookup"].Take(0), false) // a refusal puts the next try off
	woken := a.fwd.AddWaiter("lookup")
	close(hold)
	is.Equal((<-ended).outcome, "ran")
	is.Equal(woken(), 1)
}
