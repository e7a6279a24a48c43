package forwarder_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// zeros returns a reader of n bytes.
func zeros(n int64) io.Reader { return io.LimitReader(zero{}, n) }

type zero struct{}

func (zero) Read(p []byte) (int, error) { return len(p), nil }

// Guards against buffering large bodies, on one instance and across two.
func TestLargeBodies(t *testing.T) {
	const size = 48 << 20
	u := newUpstream(t, func(c net.Conn, a received) bool {
		if a.method == "POST" {
			return reply(c, a.id, "ok")
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nHorn-Id: %s\r\nContent-Length: %d\r\n\r\n", a.id, size)
		_, err := io.Copy(c, zeros(size))
		return err == nil
	})
	b := newInstance(t, "b", newService("statement", false, u))
	a := newProxyInstance(t, "statement", false, b)
	is := is.New(t)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	got := sendBody(a.front, "POST", "/s/statement/", &sizedReader{zeros(size), size}, "Horn-Id", "up")
	is.Equal(got.outcome, "ran")
	is.Equal(u.requests()[0].body, int64(size))
	resp, err := client.Get("http://" + a.front + "/s/statement/")
	is.NoErr(err)
	n, err := io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.Equal(n, int64(size))
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < size/4) // all allocations together are far less than one body
}

// sizedReader is a body of known length.
type sizedReader struct {
	io.Reader
	size int64
}

// Guards against a slot that stays taken, and an upstream that goes on, after the
// caller disconnects in the middle of a large response.
func TestCancelDownload(t *testing.T) {
	upstreamErr := make(chan error, 1)
	u := newUpstream(t, func(c net.Conn, a received) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nHorn-Id: %s\r\nContent-Length: %d\r\n\r\n", a.id, 1<<40)
		_, err := io.Copy(c, zeros(1<<40))
		upstreamErr <- err
		return false
	})
	n := newInstance(t, "a", newService("statement", false, u))
	is := is.New(t)
	resp, err := client.Get("http://" + n.front + "/s/statement/")
	is.NoErr(err)
	_, err = io.CopyN(io.Discard, resp.Body, 1<<20)
	is.NoErr(err)
	is.Equal(n.Table().Services["statement"].Targets[0].Gate.InFlight(), 1)
	_ = resp.Body.Close()
	is.True(<-upstreamErr != nil) // the upstream's connection was closed
	waitSlotsFree(t, n.Table().Services["statement"])
}

// Guards against requests that go on across two instances after the caller has
// disconnected, and against cancelling a once-request.
func TestCallerGone(t *testing.T) {
	for _, once := range []bool{false, true} {
		t.Run(strconv.FormatBool(once), func(t *testing.T) {
			is := is.New(t)
			cancelled := make(chan bool, 1)
			u := newUpstream(t, func(c net.Conn, _ received) bool {
				_ = c.SetReadDeadline(time.Now().Add(700 * time.Millisecond))
				_, err := c.Read(make([]byte, 1))
				cancelled <- !errors.Is(err, os.ErrDeadlineExceeded)
				return false
			})
			b := newInstance(t, "b", newService("lookup", once, u))
			a := newProxyInstance(t, "lookup", once, b)
			c, err := net.Dial("tcp", a.front)
			is.NoErr(err)
			_, _ = io.WriteString(c, "GET /s/lookup/ HTTP/1.1\r\nHost: x\r\n\r\n")
			waitFor(t, "request runs", func() bool { return len(u.requests()) == 1 })
			_ = c.Close()
			is.Equal(<-cancelled, !once)
		})
	}
}

// Guards against lost and duplicated requests when established connections stop
// responding while new ones work.
func TestSilentConns(t *testing.T) {
	for _, once := range []bool{true, false} {
		t.Run(strconv.FormatBool(once), func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, respondTogether(8))
			n := newInstance(t, "a", addRetries(newService("posting", once, u), 10))
			n.openIdleConns(t, "/s/posting/", 8)
			u.silentConns.Store(8)
			waitFor(t, "a fresh connection is used", func() bool {
				got := sendRequest(n.front, "POST", "/s/posting/", "", "Horn-Id", fmt.Sprint("try", time.Now().UnixNano()))
				return got.outcome == "ran"
			})
			is.True(u.swallowed.Load() <= 2) // the first request, and perhaps a concurrent probe
			for i := range 20 {
				is.Equal(sendRequest(n.front, "POST", "/s/posting/", "", "Horn-Id", fmt.Sprint("after", i)).outcome, "ran")
			}
			ids := map[string]int{}
			for _, a := range u.requests() {
				ids[a.id]++
				is.Equal(ids[a.id], 1)
			}
		})
	}
}

// Guards against an unknown outcome when the upstream is only slow: refusals must
// not shorten the suspicion timeout, and a second try that is refused must not
// end the first one.
func TestSlowUpstream(t *testing.T) {
	for _, quick := range []bool{false, true} {
		t.Run(strconv.FormatBool(quick), func(t *testing.T) {
			is := is.New(t)
			first := newUpstream(t, func(c net.Conn, a received) bool {
				switch {
				case a.id == "slow":
					time.Sleep(400 * time.Millisecond)
				case !quick:
					return refuse(c, a.id)
				}
				return reply(c, a.id, "first")
			})
			second := newUpstream(t, func(c net.Conn, a received) bool { return refuse(c, a.id) })
			s := newService("statement", false, first, second)
			n := newInstance(t, "a", s)
			for i := range 40 {
				sendRequest(n.front, "GET", "/s/statement/", "", "Horn-Id", fmt.Sprint(i))
			}
			before := len(second.requests())
			addRetries(s, 5)
			got := sendRequest(n.front, "GET", "/s/statement/", "", "Horn-Id", "slow")
			is.Equal(got.outcome, "ran")
			is.Equal(got.body, "first")
			is.Equal(len(second.requests())-before > 0, quick) // suspected only if responses are usually fast
			waitSlotsFree(t, s)
		})
	}
}

// Guards against dead connections that are detected only by requests: without any
// request, one probe detects them all.
func TestProbe(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, respondTogether(8))
	n := newInstance(t, "a", newService("posting", true, u))
	n.openIdleConns(t, "/s/posting/", 8)
	waitFor(t, "an idle connection is probed", func() bool { return u.probes.Load() > 0 })
	u.silentConns.Store(8)
	waitFor(t, "silent connections are closed", func() bool { return n.fwd.IdleConns() == 0 })
	is.True(u.swallowed.Load() <= 2) // the probe, and perhaps one already in flight
	is.Equal(sendRequest(n.front, "POST", "/s/posting/", "", "Horn-Id", "next").outcome, "ran")
	is.Equal(u.accepted(), 9)
}

// Guards against retries that multiply the load in a full outage.
func TestOutageRetries(t *testing.T) {
	const requests = 300
	tests := []struct {
		name   string
		answer func(c net.Conn, a received) bool
	}{
		{"refusing", func(c net.Conn, a received) bool { return refuse(c, a.id) }},
		{"closing", func(net.Conn, received) bool { return false }},
	}
	for _, tt := range tests {
		for _, once := range []bool{true, false} {
			t.Run(fmt.Sprint(tt.name, once), func(t *testing.T) {
				is := is.New(t)
				ups := []*upstream{newUpstream(t, tt.answer), newUpstream(t, tt.answer), newUpstream(t, tt.answer)}
				b := newInstance(t, "b", addRetries(newService("posting", once, ups...), 2))
				s := addRetries(newService("posting", once), 2)
				s.Peers = append(s.Peers, b.peer("posting"))
				for range requests {
					s.Peers[0].Credits["posting"].Update(100, 1)
				}
				a := newInstance(t, "a", s)
				for i := range requests {
					got := sendRequest([]string{a.front, b.front}[i%2], "POST", "/s/posting/", "", "Horn-Id", fmt.Sprint(i))
					is.True(got.outcome != "ran")
				}
				tries := 0
				for _, u := range ups {
					tries += len(u.requests())
				}
				is.True(tries <= requests*11/10)
				is.True(tries >= requests)
			})
		}
	}
}

// Guards against taking a truncated request body for a complete one.
func TestTruncatedUpload(t *testing.T) {
	for _, size := range []int{100, 30 << 10, 1 << 20} {
		is := is.New(t)
		u := newUpstream(t, nil)
		n := newInstance(t, "a", newService("posting", true, u))
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
		for _, a := range u.requests() {
			is.True(a.body < int64(size))
		}
	}
}

// Guards against hedged tries that are not cancelled, leak slots or repeat a
// once-request.
func TestHedge(t *testing.T) {
	for _, once := range []bool{false, true} {
		t.Run(strconv.FormatBool(once), func(t *testing.T) {
			is := is.New(t)
			var slow atomic.Bool
			canceled := make(chan struct{}, 100)
			first := newUpstream(t, func(c net.Conn, a received) bool {
				if slow.Load() {
					_, _ = c.Read(make([]byte, 1)) // until the connection is closed
					canceled <- struct{}{}
					return false
				}
				return reply(c, a.id, "first")
			})
			second := newUpstream(t, func(c net.Conn, a received) bool { return reply(c, a.id, "second") })
			s := addRetries(newService("posting", once, first, second), 5)
			s.Timeout = int64(500 * time.Millisecond)
			n := newHedgingInstance(t, s)
			is.True(s.Targets[1].Gate.TryAcquire(1)) // prevents hedged tries, however busy the machine
			for i := range 20 {
				is.Equal(sendRequest(n.front, "POST", "/s/posting/", "", "Horn-Id", fmt.Sprint(i)).body, "first")
			}
			s.Targets[1].Gate.Release()
			before := len(second.requests())
			slow.Store(true)
			for i := range 3 {
				got := sendRequest(n.front, "POST", "/s/posting/", "", "Horn-Id", fmt.Sprint("h", i))
				if once {
					is.Equal(got.outcome, "unknown")
				} else {
					is.Equal(got.body, "second")
				}
				<-canceled // the slow try is cancelled
			}
			if once {
				is.Equal(len(second.requests()), before)
			}
			waitSlotsFree(t, s)
		})
	}
}

// Guards against forwarding any part of a body that exceeds the service's limit,
// with or without Content-Length.
func TestBodyLimit(t *testing.T) {
	u := newUpstream(t, nil)
	s := newService("posting", true, u)
	s.MaxBodyBytes = 100 << 10
	n := newInstance(t, "a", s)
	for i, tt := range []struct {
		name   string
		body   io.Reader
		status int
	}{
		{"limit", &sizedReader{zeros(100 << 10), 100 << 10}, 200},
		{"above", &sizedReader{zeros(100<<10 + 1), 100<<10 + 1}, 413},
		{"chunked", zeros(1000), 200},
		{"chunked, largest", zeros(64 << 10), 200},
		{"chunked, above", zeros(64<<10 + 1), 413},
		{"chunked, far above", zeros(10 << 20), 413},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			before := len(u.requests())
			got := sendBody(n.front, "POST", "/s/posting/", tt.body, "Horn-Id", strconv.Itoa(i))
			if tt.status == 200 {
				is.Equal(got.outcome, "ran")
				return
			}
			is.Equal(len(u.requests()), before)
			if got.status != 0 { // the response may be lost while the body is still being sent
				is.Equal(got.status, tt.status)
				is.Equal(got.outcome, "notrun")
			}
		})
	}
}

// Guards against a caller that holds a slot by stalling in the middle of its
// body, and against an unknown outcome when a peer rejects a request.
func TestStalledUpload(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, nil)
	s := newService("posting", true, u)
	s.Timeout = int64(300 * time.Millisecond)
	n := newInstance(t, "a", s)
	c, err := net.Dial("tcp", n.front)
	is.NoErr(err)
	defer c.Close()
	_, _ = fmt.Fprintf(c, "POST /s/posting/ HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", 1<<20)
	_, _ = io.Copy(c, zeros(1<<19))
	waitFor(t, "slot taken", func() bool { return s.Targets[0].Gate.InFlight() == 1 })
	waitSlotsFree(t, s)
	m := newProxyInstance(t, "other", true, n) // n does not know the service
	is.Equal(sendRequest(m.front, "POST", "/s/other/", "").outcome, "notrun")
}

// Guards against a hedged try that goes on after the original one has responded.
func TestHedgeCancelled(t *testing.T) {
	is := is.New(t)
	var slow atomic.Bool
	started, readErr := make(chan struct{}), make(chan error, 1)
	first := newUpstream(t, func(c net.Conn, a received) bool {
		if slow.Load() {
			<-started
		}
		return reply(c, a.id, "first")
	})
	second := newUpstream(t, func(c net.Conn, _ received) bool {
		close(started)
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, err := c.Read(make([]byte, 1))
		readErr <- err
		return false
	})
	s := addRetries(newService("lookup", false, first, second), 5)
	n := newHedgingInstance(t, s)
	is.True(s.Targets[1].Gate.TryAcquire(1)) // prevents hedged tries
	for range 20 {
		is.Equal(sendRequest(n.front, "GET", "/s/lookup/", "").body, "first")
	}
	s.Targets[1].Gate.Release()
	slow.Store(true)
	is.Equal(sendRequest(n.front, "GET", "/s/lookup/", "").body, "first")
	is.True(errors.Is(<-readErr, syscall.ECONNRESET))
	waitSlotsFree(t, s)
}
