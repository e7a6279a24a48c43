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
// requests that wait too long for a slot.
func TestConnLimit(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	u := newUpstream(t, func(c net.Conn, a received) bool {
		<-release
		return reply(c, a.id, "ok")
	})
	s := newService("posting", true, u)
	s.Targets[0].MaxConns = 3
	n := newInstance(t, "a", s)
	var wg sync.WaitGroup
	outcomes := make(chan response, 12)
	for i := range 12 {
		wg.Go(func() { outcomes <- sendRequest(n.front, "POST", "/s/posting/", "", "Horn-Id", fmt.Sprint(i)) })
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
	close(release)
	wg.Wait()
	is.Equal(u.accepted(), 3)
	is.Equal(len(u.requests()), 3)
}

// Guards against admitting more requests than the instance has room for, against
// an admission that is not released after the request's end, and against telling
// that a refused repeat did not run.
func TestAdmission(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, func(c net.Conn, a received) bool {
		if a.method == "GET" {
			return reply(c, a.id, strings.Repeat("x", 200<<10)) // streamed
		}
		return reply(c, a.id, "ok")
	})
	n := newInstance(t, "a", newService("posting", true, u))
	q := &router.Request{Service: n.Table().Services["posting"]}
	room := 0
	for n.Table().AcquireEntry(q, 1) {
		room++
	}
	got := sendRequest(n.front, "POST", "/s/posting/", "")
	is.Equal(got.outcome+got.reason, "notrunbusy")
	is.True(got.header.Get("Horn-Retry") != "")
	is.Equal(sendRequest(n.front, "POST", "/s/posting/", "", "Horn-Id", "r", "Horn-Attempt", "2").outcome, "unknown")
	is.Equal(sendRequest(n.data, "POST", "/s/posting/", "", "Horn-Hop", "1").outcome, "ran") // forwarded requests were admitted by another instance
	n.Table().ReleaseEntry()
	for i := range 5 {
		method := []string{"POST", "GET"}[i%2]
		is.Equal(sendRequest(n.front, method, "/s/posting/", "").outcome, "ran")
		waitFor(t, "entry given back", func() bool { return n.Table().AcquireEntry(q, 1) })
		is.True(!n.Table().AcquireEntry(q, 1))
		n.Table().ReleaseEntry()
	}
	is.True(room > 0)
}

// Guards against queued requests that never run: a request that finds no slot
// runs if one becomes free in time.
func TestQueue(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, nil)
	s := newService("posting", true, u)
	s.Targets[0].Gate.Set(1, noExpiry)
	n := newInstance(t, "a", s)
	ran := 0
	for range 50 {
		is.True(s.Targets[0].Gate.TryAcquire(1))
		got := make(chan response, 1)
		go func() { got <- sendRequest(n.front, "POST", "/s/posting/", "") }()
		waitFor(t, "request waits", func() bool { return n.fwd.Queued("posting") == 1 || len(got) > 0 })
		s.Targets[0].Gate.Release()
		n.fwd.Wake("posting")
		if (<-got).outcome == "ran" {
			ran++
		}
	}
	is.True(ran > 0)
}

// Guards against waits that are too long for the service's latency or the
// deadline, and against a queue that grows without bound.
func TestQueueWait(t *testing.T) {
	is := is.New(t)
	for _, tt := range [][3]time.Duration{
		{0, 1000, 5}, {4, 1000, 5}, {40, 1000, 20}, {1000, 9000, 50}, {40, 50, 10}, {40, 30, -10}, {0, 4, 2},
	} {
		is.Equal(forwarder.QueueWait(tt[0]*time.Millisecond, tt[1]*time.Millisecond), tt[2]*time.Millisecond)
	}
	s := newService("posting", true)
	s.Timeout = int64(time.Hour)
	n := newInstance(t, "a", s)
	woken := n.fwd.AddWaiter("posting")
	for range 63 {
		n.fwd.AddWaiter("posting")
	}
	n.fwd.SetServiceP95("posting", 100*time.Millisecond)
	n.fwd.Wake("posting")
	is.Equal(sendRequest(n.front, "POST", "/s/posting/", "").reason, "full")
	is.Equal(woken(), 1) // a queued request would have consumed the wake-up
}

// Guards against giving up although a slot becomes free in time: after three full
// peers the last try follows a wait.
func TestFullPeers(t *testing.T) {
	is := is.New(t)
	s := newService("lookup", false, newUpstream(t, nil))
	gate := s.Targets[0].Gate
	gate.Set(1, noExpiry)
	var full []*instance
	for _, name := range []string{"b", "c", "d", "e"} {
		full = append(full, newInstance(t, name, s))
	}
	a := newProxyInstance(t, "lookup", false, full...)
	peers := a.Table().Services["lookup"].Peers
	ran := 0
	for range 20 {
		a.fwd.SetServiceP95("lookup", 100*time.Millisecond)
		for _, p := range peers {
			p.Credits["lookup"].Update(1, time.Now().UnixNano())
		}
		is.True(gate.TryAcquire(1))
		got := make(chan response, 1)
		go func() { got <- sendRequest(a.front, "GET", "/s/lookup/", "") }()
		waitFor(t, "request waits", func() bool { return a.fwd.Queued("lookup") == 1 || len(got) > 0 })
		gate.Release()
		peers[0].Credits["lookup"].Update(1, time.Now().UnixNano())
		a.fwd.Wake("lookup")
		if (<-got).outcome == "ran" {
			ran++
		}
	}
	is.True(ran > 0)
}

// Guards against queued requests that a peer's response doesn't wake, at an
// instance without slots of its own, and against retrying a peer that has just
// refused.
func TestPeerQueue(t *testing.T) {
	is := is.New(t)
	release, ended := make(chan struct{}), make(chan response, 2)
	u := newUpstream(t, func(c net.Conn, a received) bool {
		if a.id == "first" {
			<-release
		}
		return reply(c, a.id, "ok")
	})
	s := newService("lookup", false, u)
	s.Targets[0].Gate.Set(1, noExpiry)
	b := newInstance(t, "b", s)
	a := newProxyInstance(t, "lookup", false, b)
	p := a.Table().Services["lookup"].Peers[0]
	p.Credits["lookup"].Update(2, time.Now().UnixNano())
	go func() { ended <- sendRequest(a.front, "GET", "/s/lookup/", "", "Horn-Id", "first") }()
	waitFor(t, "the slot is taken", func() bool { return len(u.requests()) == 1 })
	is.Equal(sendRequest(a.front, "GET", "/s/lookup/", "").reason, "full")
	is.Equal(p.Credits["lookup"].Take(0), false) // a refusal delays the next try
	woken := a.fwd.AddWaiter("lookup")
	close(release)
	is.Equal((<-ended).outcome, "ran")
	is.Equal(woken(), 1)
}
