package relayer

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/core/steerer"
)

// respondWith returns a handler that sends the given status and an extra header
// field.
func respondWith(status int, field string) func(*upstreamStub, net.Conn, *http.Request, string) {
	return func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		notRun := ""
		if status == 503 {
			notRun = "Notrun: 1\r\n"
		} else if status != 421 {
			s.recordRun(r)
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\nSign: %s\r\n%s%s\r\nContent-Length: 2\r\n\r\nok", status, r.Header.Get("Id"), s.id, notRun, field)
	}
}

// requestCount returns the number of requests that reached the upstream.
func (s *upstreamStub) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.seen)
}

// TestLeavingUpstreamGetsNoMoreRequests uses an upstream that announces in a
// response that it is leaving. It gets one request; the other upstream gets the
// rest.
func TestLeavingUpstreamGetsNoMoreRequests(t *testing.T) {
	for _, status := range []int{200, 404, 500, 503} {
		for _, kind := range []string{"safe", "once"} {
			t.Run(fmt.Sprint(status, " ", kind), func(t *testing.T) {
				is := is.New(t)
				leaving := startStub(t, "u1", respondWith(status, "Leaving: 1"))
				h := startHarness(t, leaving, startStub(t, "u2", respondOK))
				notified := 0
				h.relayer.cfg.OnUpstreamLeaving = func(u *dispatcher.Upstream) {
					is.Equal(u.ID, "u1")
					notified++
				}
				for range 12 {
					h.do("GET", "/"+kind+"/x", "")
				}
				is.Equal(leaving.requestCount(), 1)
				is.Equal(notified, 1)
			})
		}
	}
}

// TestLastUpstreamLeaves checks that requests are refused at once when no
// upstream is left.
func TestLastUpstreamLeaves(t *testing.T) {
	is := is.New(t)
	h := startHarness(t, startStub(t, "u1", respondWith(200, "Leaving: 1")))
	is.Equal(h.do("GET", "/once/x", "").status, 200)
	began := time.Now()
	a := h.do("GET", "/once/x", "")
	is.Equal(a.status, 503)
	is.True(a.header.Get("Retry-After") != "")
	is.True(time.Since(began) < routeTimeout/3)
	is.Equal(h.runs(), 1)
}

// TestIgnoresForeignSignals sends leave and pause signals that are not part of
// the upstream's own response to the request.
func TestIgnoresForeignSignals(t *testing.T) {
	for name, write := range map[string]func(c net.Conn, id string){
		"by another incarnation": func(c net.Conn, _ string) {
			_, _ = fmt.Fprint(c, "HTTP/1.1 421 X\r\nLeaving: 1\r\nPause: 60000\r\nContent-Length: 0\r\n\r\n")
		},
		"in the response to another request": func(c net.Conn, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: other\r\nLeaving: 1\r\nPause: 60000\r\nContent-Length: 0\r\n\r\n")
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSign: 1\r\nContent-Length: 2\r\n\r\nok", id)
		},
		"in an interim response": func(c net.Conn, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 100 X\r\nLeaving: 1\r\nPause: 60000\r\n\r\n")
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSign: 1\r\nContent-Length: 2\r\n\r\nok", id)
		},
		"in a trailer": func(c net.Conn, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSign: 1\r\nTrailer: Leaving, Pause\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nLeaving: 1\r\nPause: 60000\r\n\r\n", id)
		},
		"in an unsigned response": func(c net.Conn, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nLeaving: 1\r\nPause: 60000\r\nContent-Length: 2\r\n\r\nok", id)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := startHarness(t, startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
				s.recordRun(r)
				write(c, r.Header.Get("Id"))
			}))
			h.do("GET", "/once/x", "")
			u := h.tables.Load().Pool("s").Upstreams[0]
			is.True(!u.Closed())
			is.True(!u.Paused(h.now()))
		})
	}
}

// TestPausedUpstreamGetsNoRequests uses an upstream that asks for a pause. It
// gets no requests until the pause ends, and the other upstream serves them
// all. The pause is not learned as a failure.
func TestPausedUpstreamGetsNoRequests(t *testing.T) {
	is := is.New(t)
	const pause = 700 * time.Millisecond
	busy := startStub(t, "u1", respondWith(503, fmt.Sprint("Pause: ", pause.Milliseconds())))
	h := startHarness(t, busy, startStub(t, "u2", respondOK))
	for busy.requestCount() == 0 {
		is.Equal(h.do("GET", "/once/x", "").status, 200)
	}
	until := time.Now().Add(pause)
	for time.Now().Before(until.Add(-100 * time.Millisecond)) {
		is.Equal(h.do("GET", "/once/x", "").status, 200)
		is.Equal(busy.requestCount(), 1)
	}
	time.Sleep(time.Until(until.Add(50 * time.Millisecond)))
	is.True(!h.tables.Load().Pool("s").Upstreams[0].Paused(h.now()))
}

// TestAllUpstreamsPause checks that requests are refused at once, with the end
// of the first pause as Retry-After.
func TestAllUpstreamsPause(t *testing.T) {
	is := is.New(t)
	long, short := startStub(t, "u1", respondWith(503, "Pause: 20000")), startStub(t, "u2", respondWith(503, "Pause: 5000"))
	h := startHarness(t, long, short)
	for range 12 {
		h.do("POST", "/once/x", "body")
	}
	is.Equal(long.requestCount(), 1)
	is.Equal(short.requestCount(), 1)
	began := time.Now()
	a := h.do("POST", "/once/x", "body")
	is.True(time.Since(began) < routeTimeout/3)
	is.Equal(a.status, 503)
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 3 && after < 6) // the end of the shorter pause
	is.Equal(h.runs(), 0)
}

// TestPauseBeforeSend pauses the process after an upstream was chosen for a request, which must
// not be sent by what was known before.
func TestPauseBeforeSend(t *testing.T) {
	for name, pause := range map[string]func(h *harness){
		"not noticed yet":   func(h *harness) { h.relayer.cfg.TablesValidUntil.Store(h.now() - 1) },
		"not confirmed yet": func(h *harness) { h.publish(func(v *steerer.View) { v.Stale = true }) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startStub(t, "u1", respondOK)
			h := startHarness(t, s)
			h.relayer.cfg.TablesValidUntil = &atomic.Int64{}
			h.relayer.cfg.TablesValidUntil.Store(h.now() + int64(time.Hour))
			x := h.exchange(h.tables.Load().Pool("s").Upstreams[0])
			pause(h)
			is.True(errors.Is(x.run(), errStaleTable))
			is.True(!x.sent)
			is.Equal(s.requestCount(), 0)
		})
	}
}

// TestUpstreamWithdrawnBeforeSend withdraws an upstream after it was chosen.
// The request must not be sent to it.
func TestUpstreamWithdrawnBeforeSend(t *testing.T) {
	for name, withdraw := range map[string]func(h *harness, u *dispatcher.Upstream){
		"left":   func(_ *harness, u *dispatcher.Upstream) { u.MarkDraining() },
		"paused": func(h *harness, u *dispatcher.Upstream) { u.Pause(time.Minute, h.now()) },
		"gone":   func(h *harness, _ *dispatcher.Upstream) { h.publish(func(v *steerer.View) { v.Upstreams = nil }) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startStub(t, "u1", respondOK)
			h := startHarness(t, s)
			u := h.tables.Load().Pool("s").Upstreams[0]
			x := h.exchange(u)
			withdraw(h, u)
			err := x.run()
			is.True(errors.Is(err, errWithdrawn))
			is.True(!x.sent)
			is.Equal(s.requestCount(), 0)
		})
	}
}
