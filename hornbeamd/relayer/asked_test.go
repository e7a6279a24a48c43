package relayer

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/core/steerer"
)

// says answers every request in the given way, with a further header field.
func says(status int, field string) func(*upstreamStub, net.Conn, *http.Request, string) {
	return func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		notRun := ""
		if status == 503 {
			notRun = "Notrun: 1\r\n"
		} else if status != 421 {
			s.run(r)
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\nSign: %s\r\n%s%s\r\nContent-Length: 2\r\n\r\nok", status, r.Header.Get("Id"), s.id, notRun, field)
	}
}

// requests is the number of requests that reached the upstream.
func (s *upstreamStub) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.seen)
}

// TestLeavingUpstreamIsLeft sends requests to upstreams that say in some answer
// that they leave. Each gets one request at most; the other upstream gets the rest.
func TestLeavingUpstreamGetsNoMoreRequests(t *testing.T) {
	for _, status := range []int{200, 404, 500, 503} {
		for _, kind := range []string{"safe", "once"} {
			t.Run(fmt.Sprint(status, " ", kind), func(t *testing.T) {
				is := is.New(t)
				leaving := startStub(t, "u1", says(status, "Leaving: 1"))
				g := startRig(t, leaving, startStub(t, "u2", good))
				told := 0
				g.relayer.cfg.OnUpstreamLeaving = func(u *dispatcher.Upstream) {
					is.Equal(u.ID, "u1")
					told++
				}
				for range 12 {
					g.ask("GET", "/"+kind+"/x", "")
				}
				is.Equal(leaving.requests(), 1)
				is.Equal(told, 1)
			})
		}
	}
}

// TestLastUpstreamLeaves refuses requests at once when nobody is left.
func TestLastUpstreamLeaves(t *testing.T) {
	is := is.New(t)
	g := startRig(t, startStub(t, "u1", says(200, "Leaving: 1")))
	is.Equal(g.ask("GET", "/once/x", "").status, 200)
	began := time.Now()
	a := g.ask("GET", "/once/x", "")
	is.Equal(a.status, 503)
	is.True(a.header.Get("Retry-After") != "")
	is.True(time.Since(began) < rigTimeout/3)
	is.Equal(g.runs(), 1)
}

// TestWhatIsNotSaid has words of leaving and pauses that are not the upstream's
// own answer to the request.
func TestIgnoresForeignSignals(t *testing.T) {
	for name, write := range map[string]func(c net.Conn, id string){
		"by another incarnation": func(c net.Conn, _ string) {
			_, _ = fmt.Fprint(c, "HTTP/1.1 421 X\r\nLeaving: 1\r\nPause: 60000\r\nContent-Length: 0\r\n\r\n")
		},
		"in the answer to another request": func(c net.Conn, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: other\r\nLeaving: 1\r\nPause: 60000\r\nContent-Length: 0\r\n\r\n")
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSign: 1\r\nContent-Length: 2\r\n\r\nok", id)
		},
		"in an interim answer": func(c net.Conn, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 100 X\r\nLeaving: 1\r\nPause: 60000\r\n\r\n")
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSign: 1\r\nContent-Length: 2\r\n\r\nok", id)
		},
		"in a trailer": func(c net.Conn, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSign: 1\r\nTrailer: Leaving, Pause\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nLeaving: 1\r\nPause: 60000\r\n\r\n", id)
		},
		"in an answer without signature": func(c net.Conn, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nLeaving: 1\r\nPause: 60000\r\nContent-Length: 2\r\n\r\nok", id)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := startRig(t, startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
				s.run(r)
				write(c, r.Header.Get("Id"))
			}))
			g.ask("GET", "/once/x", "")
			u := g.tables.Load().Pool("s").Upstreams[0]
			is.True(!u.Closed())
			is.True(!u.Paused(g.now()))
		})
	}
}

// TestPausedUpstreamRests sends requests to an upstream that wants none for a
// while. It gets no more until then; others take them, without a failure learned.
func TestPausedUpstreamGetsNoRequests(t *testing.T) {
	is := is.New(t)
	const pause = 700 * time.Millisecond
	busy := startStub(t, "u1", says(503, fmt.Sprint("Pause: ", pause.Milliseconds())))
	g := startRig(t, busy, startStub(t, "u2", good))
	for busy.requests() == 0 {
		is.Equal(g.ask("GET", "/once/x", "").status, 200)
	}
	until := time.Now().Add(pause)
	for time.Now().Before(until.Add(-100 * time.Millisecond)) {
		is.Equal(g.ask("GET", "/once/x", "").status, 200)
		is.Equal(busy.requests(), 1)
	}
	time.Sleep(time.Until(until.Add(50 * time.Millisecond)))
	is.True(!g.tables.Load().Pool("s").Upstreams[0].Paused(g.now()))
}

// TestAllUpstreamsPause refuses requests at once, and tells when the first pause
// ends.
func TestAllUpstreamsPause(t *testing.T) {
	is := is.New(t)
	long, short := startStub(t, "u1", says(503, "Pause: 20000")), startStub(t, "u2", says(503, "Pause: 5000"))
	g := startRig(t, long, short)
	for range 12 {
		g.ask("POST", "/once/x", "body")
	}
	is.Equal(long.requests(), 1)
	is.Equal(short.requests(), 1)
	began := time.Now()
	a := g.ask("POST", "/once/x", "body")
	is.True(time.Since(began) < rigTimeout/3)
	is.Equal(a.status, 503)
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 3 && after < 6) // the end of the shorter one
	is.Equal(g.runs(), 0)
}

// TestWithdrawnWhileWaiting does not send a request to an upstream that has left,
// or wants a pause, since it was chosen.
func TestUpstreamWithdrawnBeforeSend(t *testing.T) {
	for name, withdraw := range map[string]func(g *rig, u *dispatcher.Upstream){
		"left":   func(_ *rig, u *dispatcher.Upstream) { u.MarkDraining() },
		"paused": func(g *rig, u *dispatcher.Upstream) { u.Pause(time.Minute, g.now()) },
		"gone":   func(g *rig, _ *dispatcher.Upstream) { g.publish(func(v *steerer.View) { v.Upstreams = nil }) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startStub(t, "u1", good)
			g := startRig(t, s)
			u := g.tables.Load().Pool("s").Upstreams[0]
			c := &call{
				ctx: &fasthttp.RequestCtx{}, table: g.tables.Load(), dialect: plain{}, deadline: g.now() + int64(rigTimeout),
				route: g.tables.Load().Route("h", "/once/"), pool: g.tables.Load().Pool("s"), began: g.now(),
			}
			x := &exchange{relayer: g.relayer, call: c, target: u, pool: g.relayer.pool(u), answer: &fasthttp.Response{}}
			withdraw(g, u)
			err := x.run()
			is.True(errors.Is(err, errWithdrawn))
			is.True(!x.sent)
			is.Equal(s.requests(), 0)
		})
	}
}
