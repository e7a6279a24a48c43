package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// zeros gives n bytes.
func zeros(n int64) io.Reader { return io.LimitReader(zero{}, n) }

type zero struct{}

func (zero) Read(p []byte) (int, error) { return len(p), nil }

// Guards against holding large bodies in memory, on one instance and over a hop.
func TestLargeBodies(t *testing.T) {
	const size = 48 << 20
	u := newUpstream(t, func(c net.Conn, a arrival) bool {
		if a.method == "POST" {
			return reply(c, a.id, "ok")
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nHorn-Id: %s\r\nContent-Length: %d\r\n\r\n", a.id, size)
		_, err := io.Copy(c, zeros(size))
		return err == nil
	})
	b := newNode(t, "b", service("statement", false, u))
	a := via(t, "statement", false, b)
	is := is.New(t)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	got := send(a.front, "POST", "/s/statement/", &sized{zeros(size), size}, "Horn-Id", "up")
	is.Equal(got.outcome, "ran")
	is.Equal(u.arrivals()[0].body, int64(size))
	resp, err := client.Get("http://" + a.front + "/s/statement/")
	is.NoErr(err)
	n, err := io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.Equal(n, int64(size))
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < size/4) // all allocations together are far less than one body
}

// sized is a body of known length.
type sized struct {
	io.Reader
	size int64
}

// Guards against slots that stay taken, and work that goes on, after a caller
// has gone away in the middle of a large answer.
func TestCancelDownload(t *testing.T) {
	gone := make(chan error, 1)
	u := newUpstream(t, func(c net.Conn, a arrival) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nHorn-Id: %s\r\nContent-Length: %d\r\n\r\n", a.id, 1<<40)
		_, err := io.Copy(c, zeros(1<<40))
		gone <- err
		return false
	})
	n := newNode(t, "a", service("statement", false, u))
	is := is.New(t)
	resp, err := client.Get("http://" + n.front + "/s/statement/")
	is.NoErr(err)
	_, err = io.CopyN(io.Discard, resp.Body, 1<<20)
	is.NoErr(err)
	is.Equal(n.Table().Services["statement"].Targets[0].Gate.InFlight(), 1)
	_ = resp.Body.Close()
	is.True(<-gone != nil) // the upstream's connection was closed
	idle(t, n.Table().Services["statement"])
}

// Guards against work that goes on for a caller that has gone away, through two
// instances, and against giving up a once-request.
func TestCallerGone(t *testing.T) {
	for _, once := range []bool{false, true} {
		t.Run(strconv.FormatBool(once), func(t *testing.T) {
			is := is.New(t)
			cancelled := make(chan bool, 1)
			u := newUpstream(t, func(c net.Conn, _ arrival) bool {
				_ = c.SetReadDeadline(time.Now().Add(700 * time.Millisecond))
				_, err := c.Read(make([]byte, 1))
				cancelled <- err == io.EOF
				return false
			})
			b := newNode(t, "b", service("lookup", once, u))
			a := via(t, "lookup", once, b)
			c, err := net.Dial("tcp", a.front)
			is.NoErr(err)
			_, _ = io.WriteString(c, "GET /s/lookup/ HTTP/1.1\r\nHost: x\r\n\r\n")
			until(t, "request runs", func() bool { return len(u.arrivals()) == 1 })
			_ = c.Close()
			is.Equal(<-cancelled, !once)
		})
	}
}

// Guards against lost requests and repeats when established connections go
// silent while new ones work.
func TestSilent(t *testing.T) {
	for _, once := range []bool{true, false} {
		t.Run(strconv.FormatBool(once), func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, together(8))
			n := newNode(t, "a", earn(service("posting", once, u), 10))
			n.warm(t, "/s/posting/", 8)
			u.deaf.Store(8)
			until(t, "a fresh connection is used", func() bool {
				got := call(n.front, "POST", "/s/posting/", "", "Horn-Id", fmt.Sprint("try", time.Now().UnixNano()))
				return got.outcome == "ran"
			})
			is.True(u.swallowed.Load() <= 2) // the first request, and perhaps a probe at the same time
			for i := range 20 {
				is.Equal(call(n.front, "POST", "/s/posting/", "", "Horn-Id", fmt.Sprint("after", i)).outcome, "ran")
			}
			ids := map[string]int{}
			for _, a := range u.arrivals() {
				ids[a.id]++
				is.Equal(ids[a.id], 1)
			}
		})
	}
}

// Guards against requests that end unknown although their upstream is only slow:
// refusals must not shorten the suspicion time, and a second try that is refused
// must not end the first one.
func TestSuspected(t *testing.T) {
	for _, quick := range []bool{false, true} {
		t.Run(strconv.FormatBool(quick), func(t *testing.T) {
			is := is.New(t)
			first := newUpstream(t, func(c net.Conn, a arrival) bool {
				switch {
				case a.id == "slow":
					time.Sleep(400 * time.Millisecond)
				case !quick:
					return refuse(c, a.id)
				}
				return reply(c, a.id, "first")
			})
			second := newUpstream(t, func(c net.Conn, a arrival) bool { return refuse(c, a.id) })
			s := service("statement", false, first, second)
			n := newNode(t, "a", s)
			for i := range 40 {
				call(n.front, "GET", "/s/statement/", "", "Horn-Id", fmt.Sprint(i))
			}
			before := len(second.arrivals())
			earn(s, 5)
			got := call(n.front, "GET", "/s/statement/", "", "Horn-Id", "slow")
			is.Equal(got.outcome, "ran")
			is.Equal(got.body, "first")
			is.Equal(len(second.arrivals())-before > 0, quick) // suspected only if answers are usually quick
			idle(t, s)
		})
	}
}

// Guards against silent connections that are found only by requests: without
// any request, one probe finds them all.
func TestProbe(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, together(8))
	n := newNode(t, "a", service("posting", true, u))
	n.warm(t, "/s/posting/", 8)
	until(t, "an idle connection is probed", func() bool { return u.probes.Load() > 0 })
	u.deaf.Store(8)
	until(t, "silent connections are closed", func() bool { return n.fwd.IdleConns() == 0 })
	is.True(u.swallowed.Load() <= 2) // the probe, and perhaps one that was under way
	is.Equal(call(n.front, "POST", "/s/posting/", "", "Horn-Id", "next").outcome, "ran")
	is.Equal(u.open(), 9)
}

// Guards against retries that multiply load in a full outage.
func TestOutage(t *testing.T) {
	const requests = 300
	tests := []struct {
		name   string
		answer func(c net.Conn, a arrival) bool
	}{
		{"refusing", func(c net.Conn, a arrival) bool { return refuse(c, a.id) }},
		{"closing", func(net.Conn, arrival) bool { return false }},
	}
	for _, tt := range tests {
		for _, once := range []bool{true, false} {
			t.Run(fmt.Sprint(tt.name, once), func(t *testing.T) {
				is := is.New(t)
				ups := []*upstream{newUpstream(t, tt.answer), newUpstream(t, tt.answer), newUpstream(t, tt.answer)}
				b := newNode(t, "b", earn(service("posting", once, ups...), 2))
				s := earn(service("posting", once), 2)
				s.Peers = append(s.Peers, b.peer("posting"))
				for range requests {
					s.Peers[0].Credits["posting"].Update(100, 1)
				}
				a := newNode(t, "a", s)
				for i := range requests {
					got := call([]string{a.front, b.front}[i%2], "POST", "/s/posting/", "", "Horn-Id", fmt.Sprint(i))
					is.True(got.outcome != "ran")
				}
				tries := 0
				for _, u := range ups {
					tries += len(u.arrivals())
				}
				is.True(tries <= requests*11/10)
				is.True(tries >= requests)
			})
		}
	}
}

// Guards against a caller's body that ends early being taken for a whole one.
func TestCutUpload(t *testing.T) {
	for _, size := range []int{100, 30 << 10, 1 << 20} {
		is := is.New(t)
		u := newUpstream(t, nil)
		n := newNode(t, "a", service("posting", true, u))
		c, err := net.Dial("tcp", n.front)
		is.NoErr(err)
		_, _ = fmt.Fprintf(c, "POST /s/posting/ HTTP/1.1\r\nHost: x\r\nHorn-Id: one\r\nContent-Length: %d\r\n\r\n", size)
		_, _ = io.Copy(c, zeros(int64(size-1)))
		_ = c.(*net.TCPConn).CloseWrite()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			is.True(resp.Header.Get("Horn-Outcome") != "ran")
			_ = resp.Body.Close()
		}
		_ = c.Close()
		for _, a := range u.arrivals() {
			is.True(a.body < int64(size))
		}
	}
}

// Guards against hedges that are not cancelled, lose slots or repeat a
// once-request.
func TestHedge(t *testing.T) {
	for _, once := range []bool{false, true} {
		t.Run(strconv.FormatBool(once), func(t *testing.T) {
			is := is.New(t)
			var slow atomic.Bool
			cut := make(chan struct{}, 100)
			first := newUpstream(t, func(c net.Conn, a arrival) bool {
				if slow.Load() {
					_, _ = c.Read(make([]byte, 1)) // until the connection is closed
					cut <- struct{}{}
					return false
				}
				return reply(c, a.id, "first")
			})
			second := newUpstream(t, func(c net.Conn, a arrival) bool { return reply(c, a.id, "second") })
			s := earn(service("posting", once, first, second), 5)
			s.Timeout = int64(500 * time.Millisecond)
			n := hedging(t, s)
			is.True(s.Targets[1].Gate.TryAcquire(1)) // no second tries yet, however busy the machine
			for i := range 20 {
				is.Equal(call(n.front, "POST", "/s/posting/", "", "Horn-Id", fmt.Sprint(i)).body, "first")
			}
			s.Targets[1].Gate.Release()
			before := len(second.arrivals())
			slow.Store(true)
			for i := range 3 {
				got := call(n.front, "POST", "/s/posting/", "", "Horn-Id", fmt.Sprint("h", i))
				if once {
					is.Equal(got.outcome, "unknown")
				} else {
					is.Equal(got.body, "second")
				}
				<-cut // the slow try was cancelled
			}
			if once {
				is.Equal(len(second.arrivals()), before)
			}
			idle(t, s)
		})
	}
}

// Guards against forwarding any part of a body that is larger than the service
// allows, whether or not its length is announced.
func TestBodyLimit(t *testing.T) {
	u := newUpstream(t, nil)
	s := service("posting", true, u)
	s.MaxBodyBytes = 100 << 10
	n := newNode(t, "a", s)
	for i, tt := range []struct {
		name   string
		body   io.Reader
		status int
	}{
		{"limit", &sized{zeros(100 << 10), 100 << 10}, 200},
		{"above", &sized{zeros(100<<10 + 1), 100<<10 + 1}, 413},
		{"chunked", zeros(1000), 200},
		{"chunked, largest", zeros(64 << 10), 200},
		{"chunked, above", zeros(64<<10 + 1), 413},
		{"chunked, far above", zeros(10 << 20), 413},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			before := len(u.arrivals())
			got := send(n.front, "POST", "/s/posting/", tt.body, "Horn-Id", strconv.Itoa(i))
			if tt.status == 200 {
				is.Equal(got.outcome, "ran")
				return
			}
			is.Equal(len(u.arrivals()), before)
			if got.status != 0 { // the answer may be lost when the body is still being sent
				is.Equal(got.status, tt.status)
				is.Equal(got.outcome, "notrun")
			}
		})
	}
}

// Guards against a caller that keeps a slot by stalling in the middle of its
// body, and against an owner that cannot say that it refused.
func TestStalledUpload(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, nil)
	s := service("posting", true, u)
	s.Timeout = int64(300 * time.Millisecond)
	n := newNode(t, "a", s)
	c, err := net.Dial("tcp", n.front)
	is.NoErr(err)
	defer c.Close()
	_, _ = fmt.Fprintf(c, "POST /s/posting/ HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", 1<<20)
	_, _ = io.Copy(c, zeros(1<<19))
	until(t, "slot taken", func() bool { return s.Targets[0].Gate.InFlight() == 1 })
	idle(t, s)
	m := via(t, "other", true, n) // which does not know the service
	is.Equal(call(m.front, "POST", "/s/other/", "").outcome, "notrun")
}

// Guards against a second try that goes on after the first one has answered.
func TestHedgeLoses(t *testing.T) {
	is := is.New(t)
	var slow atomic.Bool
	started, cut := make(chan struct{}), make(chan error, 1)
	first := newUpstream(t, func(c net.Conn, a arrival) bool {
		if slow.Load() {
			<-started
		}
		return reply(c, a.id, "first")
	})
	second := newUpstream(t, func(c net.Conn, _ arrival) bool {
		close(started)
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, err := c.Read(make([]byte, 1))
		cut <- err
		return false
	})
	s := earn(service("lookup", false, first, second), 5)
	n := hedging(t, s)
	is.True(s.Targets[1].Gate.TryAcquire(1)) // no second tries yet
	for range 20 {
		is.Equal(call(n.front, "GET", "/s/lookup/", "").body, "first")
	}
	s.Targets[1].Gate.Release()
	slow.Store(true)
	is.Equal(call(n.front, "GET", "/s/lookup/", "").body, "first")
	is.Equal(<-cut, io.EOF)
	idle(t, s)
}
