package relayer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/core/steerer"
)

// faults are ways in which the first upstream that gets a request fails it.
// Others answer well.
var faults = []struct {
	name  string
	serve func(*upstreamStub, net.Conn, *http.Request, string)
	// safe and once are what callers of the two kinds of route see.
	safe, once int
	// runs bounds how often a request that must not be repeated runs.
	runs int
}{
	{"refuses without running", func(_ *upstreamStub, c net.Conn, r *http.Request, _ string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nNotrun: 1\r\nId: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
	}, 200, 200, 1},
	{"is another incarnation", func(_ *upstreamStub, c net.Conn, _ *http.Request, _ string) {
		_, _ = fmt.Fprint(c, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
	}, 200, 200, 1},
	{"runs and closes without an answer", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.run(r)
		_ = c.Close()
	}, 200, 502, 1},
	{"runs and cuts its answer", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.run(r)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSign: 1\r\nContent-Length: 50\r\n\r\nshort", r.Header.Get("Id"))
		_ = c.Close()
	}, 200, 502, 1},
	{"runs and sends no protocol", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.run(r)
		_, _ = fmt.Fprint(c, "%$&/()=\r\n\r\n")
		_ = c.Close()
	}, 200, 502, 1},
	{"answers without its signature", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.run(r)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Id"))
	}, 200, 502, 1},
	{"answers another request only", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.run(r)
		for range maxStrays {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: other\r\nSign: 1\r\nContent-Length: 2\r\n\r\nno")
		}
	}, 200, 502, 1},
	{"fails with a status of its own", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.run(r)
		s.reply(c, r, 500, "own failure")
	}, 200, 500, 1},
	{"runs and then promises that it has not", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.run(r)
		s.reply(c, r, 503, "false promise")
	}, 200, 502, 1},
}

// TestFaults sends a request of each kind to an upstream with a fault beside one
// without. What must not be repeated runs once at most, and only what has not
// run is refused as such.
func TestFaults(t *testing.T) {
	for _, f := range faults {
		for _, kind := range []string{"safe", "once"} {
			t.Run(f.name+"/"+kind, func(t *testing.T) {
				is := is.New(t)
				var used atomic.Bool
				serve := func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
					if !used.Swap(true) {
						f.serve(s, c, r, body)
						return
					}
					good(s, c, r, body)
				}
				g := startRig(t, startStub(t, "u1", serve), startStub(t, "u2", serve))
				a := g.ask("POST", "/"+kind+"/x?q=%41", "body")
				is.NoErr(a.err)
				want := f.safe
				if kind == "once" {
					want = f.once
					is.True(g.runs() <= f.runs) // runs at most once
				}
				is.Equal(a.status, want)
				is.Equal(a.header.Get("Sign") != "", a.status == 200 || a.status == 500) // only the upstream's own answers are signed
				if a.status == 200 {
					is.True(strings.HasSuffix(a.body, " POST /"+kind+"/x?q=%41 body")) // passed on unchanged
				}
			})
		}
	}
}

// TestStrayAnswerIsSkipped sends an answer twice, so that the second one stands
// where the next request's answer is expected.
func TestStrayResponseIsSkipped(t *testing.T) {
	is := is.New(t)
	s := startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.run(r)
		if r.Header.Get("Id") == "q2" {
			s.reply(c, &http.Request{Header: http.Header{"Id": {"q1"}}}, 200, "for q1")
		}
		s.reply(c, r, 200, "for "+r.Header.Get("Id"))
	})
	g := startRig(t, s)
	is.Equal(g.ask("GET", "/once/x", "").body, "for q1")
	is.Equal(g.ask("GET", "/once/x", "", "Id", "q2").body, "for q2")
	is.Equal(g.ask("GET", "/once/x", "", "Id", "q3").body, "for q3")
	is.Equal(s.conns.Load(), int64(1)) // all on one connection
}

// TestBytesAfterAnAnswerEndTheConnection leaves bytes on the connection that
// belong to no request.
func TestBytesAfterResponseCloseConn(t *testing.T) {
	is := is.New(t)
	s := startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.run(r)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSign: 1\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", r.Header.Get("Id"))
	})
	g := startRig(t, s)
	is.Equal(g.ask("GET", "/once/x", "").body, "ok")
	is.Equal(g.ask("GET", "/once/x", "").body, "ok")
	is.Equal(s.conns.Load(), int64(2)) // a fresh one for the second request
}

// TestEndings sends answers whose end is marked in the ways of the protocol.
func TestResponseFraming(t *testing.T) {
	for name, tail := range map[string]string{
		"length": "Content-Length: 5\r\n\r\nhello",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
		"close":  "\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := startRig(t, startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
				s.run(r)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSign: 1\r\n%s", r.Header.Get("Id"), tail)
				if name == "close" {
					_ = c.Close()
				}
			}))
			a := g.ask("GET", "/once/x", "")
			is.NoErr(a.err)
			is.Equal(a.body, "hello")
		})
	}
}

// TestUnreachableIsRefused tells callers truthfully that nothing has run.
func TestUnreachableIsRefused(t *testing.T) {
	is := is.New(t)
	s := startStub(t, "u1", good)
	_ = s.listener.Close()
	g := startRig(t, s)
	a := g.ask("POST", "/once/x", "body")
	is.Equal(a.status, 503)
	is.True(a.header.Get("Retry-After") != "")
	is.Equal(g.runs(), 0)
}

// TestTimeout answers at the route's time limit, and passes on no more time than
// is left.
func TestTimeout(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	s := startStub(t, "u1", func(s *upstreamStub, _ net.Conn, r *http.Request, _ string) {
		s.run(r)
		<-release
	})
	g := startRig(t, s)
	began := time.Now()
	a := g.ask("POST", "/once/x", "body", "Left", "300")
	is.Equal(a.status, 504)
	is.True(time.Since(began) < rigTimeout) // the caller's time, not the route's
	s.mu.Lock()
	defer s.mu.Unlock()
	is.True(len(s.seen) == 1)
	left := s.seen[0].Header.Get("Left")
	is.True(len(left) == 3 && left < "300") // less than what the caller has
	is.Equal(s.seen[0].Header.Get("Expect"), "u1")
}

// TestSilentUpstreamIsLeft sends a request that may be repeated to another
// upstream once the first one has been silent for long.
func TestSilentUpstreamIsRerouted(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	var used atomic.Bool
	serve := func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
		if !used.Swap(true) {
			<-release
			return
		}
		good(s, c, r, body)
	}
	g := startRig(t, startStub(t, "u1", serve), startStub(t, "u2", serve))
	a := g.ask("GET", "/safe/x", "")
	is.Equal(a.status, 200)
}

// TestRunWithoutTheKeyIsNotBrokenOff gives an upstream a key that it does not
// know yet. Its run takes longer than usual and must not begin again elsewhere.
func TestSlowRunWithUnknownKeyIsNotRerouted(t *testing.T) {
	is := is.New(t)
	serve := func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
		time.Sleep(2300 * time.Millisecond)
		good(s, c, r, body)
	}
	g := startRig(t, startStub(t, "u1", serve), startStub(t, "u2", serve))
	g.publish(func(v *steerer.View) {
		for i := range v.Config.Routes {
			r := &v.Config.Routes[i]
			// The usual work is 0.7 s with the key and 1.8 s without.
			r.Aim, r.Timeout, r.Sticky = 2*time.Second, 10*time.Second, true
		}
	})
	is.Equal(g.ask("GET", "/safe/x", "", "Key", "k").status, 200)
	is.Equal(g.runs(), 1)
}

// TestCallerGone ends the exchange of a request that may be repeated when its
// caller closes the connection, and lets others run on.
func TestCallerCloses(t *testing.T) {
	for _, kind := range []string{"safe", "once"} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			began, ended := make(chan struct{}), make(chan error, 1)
			g := startRig(t, startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
				s.run(r)
				close(began)
				_ = c.SetReadDeadline(time.Now().Add(600 * time.Millisecond))
				_, err := c.Read(make([]byte, 1))
				ended <- err
				s.reply(c, r, 200, "late")
			}))
			ctx, leave := context.WithCancel(context.Background())
			go func() {
				<-began
				leave()
			}()
			is.True(g.askContext(ctx, "GET", "/"+kind+"/x", "").err != nil)
			var timeout net.Error
			err := <-ended
			kept := err != nil && errors.As(err, &timeout) && timeout.Timeout()
			is.Equal(kept, kind == "once")
		})
	}
}

// TestLargeBodyRejectedEarly reads an answer that comes before the body has been
// taken, and does not use the connection again.
func TestLargeBodyRejectedEarly(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	accepted := make(chan struct{}, 8)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			go func() {
				buf := make([]byte, 1024)
				_, _ = c.Read(buf)
				_, _ = fmt.Fprint(c, "HTTP/1.1 400 No\r\nId: q1\r\nSign: 1\r\nContent-Length: 2\r\n\r\nno")
			}()
		}
	}()
	g := startRig(t, &upstreamStub{id: "u1", listener: ln})
	for range 2 {
		a := g.ask("POST", "/once/x", strings.Repeat("b", 8<<20))
		is.Equal(a.status, 400)
		is.Equal(a.body, "no")
	}
	is.Equal(len(accepted), 2)
}

// TestOwnAnswers are those that need no upstream.
func TestLocalResponses(t *testing.T) {
	is := is.New(t)
	g := startRig(t, startStub(t, "u1", good))
	is.Equal(g.ask("GET", "/other/x", "").status, 404)
	is.Equal(g.ask("GET", "/safe", "").status, 404) // the prefix ends with a slash
	is.Equal(g.ask("GET", "/safe/x", "").status, 200)
	g.publish(func(v *steerer.View) { v.Upstreams = nil })
	a := g.ask("GET", "/safe/x", "")
	is.Equal(a.status, 503)
	is.True(a.header.Get("Retry-After") != "")
	g.publish(func(v *steerer.View) { v.Config = nil })
	is.Equal(g.ask("GET", "/safe/x", "").status, 503) // knows no configuration
}

// TestLimits refuses what is larger than the configuration allows and closes
// connections that have been idle for too long.
func TestLimits(t *testing.T) {
	is := is.New(t)
	g := startRig(t, startStub(t, "u1", good))
	g.publish(func(v *steerer.View) {
		v.Config.Limits = steerer.Limits{HeadBytes: 1000, BodyBytes: 2000, IdleTime: time.Nanosecond}
	})
	is.Equal(g.ask("POST", "/once/x", strings.Repeat("b", 2000)).status, 200)
	is.Equal(g.ask("POST", "/once/x", strings.Repeat("b", 2001)).status, 413)
	is.Equal(g.ask("POST", "/once/x", "", "Pad", strings.Repeat("p", 1000)).status, 431)
	c, err := net.Dial("tcp", g.address)
	is.NoErr(err)
	_, err = fmt.Fprint(c, "GET /once/x HTTP/1.1\r\nHost: h\r\nId: q1\r\n\r\n")
	is.NoErr(err)
	reader := bufio.NewReader(c)
	res, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, res.Body)
	is.NoErr(err)
	until := time.Now().Add(10 * time.Second)
	_ = c.SetReadDeadline(until)
	closed := make(chan error, 1)
	go func() {
		_, err := reader.ReadByte()
		closed <- err
	}()
	for {
		g.relayer.Maintain()
		select {
		case err := <-closed:
			is.Equal(err, io.EOF)
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// TestSilentConnectionsAreDropped lets all open connections to an upstream go
// silent at once, while new ones work. Only the first request that is sent on
// one of them may be lost.
func TestSilentConnectionsAreDropped(t *testing.T) {
	is := is.New(t)
	var silent atomic.Bool
	var mu sync.Mutex
	old := map[net.Conn]bool{}
	arrived := make(chan struct{}, 3)
	release := make(chan struct{})
	g := startRig(t, startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
		mu.Lock()
		if !silent.Load() {
			old[c] = true
		}
		lost := silent.Load() && old[c]
		mu.Unlock()
		if lost {
			return
		}
		if !silent.Load() {
			arrived <- struct{}{}
			<-release
		}
		good(s, c, r, body)
	}))
	var group sync.WaitGroup
	for range 3 {
		group.Go(func() { g.ask("GET", "/once/x", "") })
	}
	for range 3 {
		<-arrived
	}
	close(release)
	group.Wait()
	silent.Store(true)
	is.Equal(g.ask("GET", "/once/x", "").status, 504)
	is.Equal(g.ask("GET", "/once/x", "").status, 200)
	is.Equal(g.ask("GET", "/once/x", "").status, 200)
}

// TestForgottenConnections lets an upstream forget idle connections sooner than
// it says: what is sent next on one is reset and has not run. Only the first
// such request is lost; safe ones are not.
func TestStaleConnections(t *testing.T) {
	const kept = 200 * time.Millisecond
	is := is.New(t)
	var mu sync.Mutex
	last := map[net.Conn]time.Time{}
	forgetful := func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
		mu.Lock()
		at, used := last[c]
		mu.Unlock()
		if used && time.Since(at) > kept {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			return
		}
		good(s, c, r, body)
		mu.Lock()
		last[c] = time.Now()
		mu.Unlock()
	}
	g := startRig(t, startStub(t, "u1", forgetful))
	is.Equal(g.ask("GET", "/once/x", "").status, 200)
	time.Sleep(2 * kept)
	is.Equal(g.ask("GET", "/once/x", "").status, 502)
	for range 3 {
		is.Equal(g.ask("GET", "/once/x", "").status, 200)
		time.Sleep(2 * kept)
	}
	is.Equal(g.runs(), 4)
}

// TestHeadTime sends the head of a first and of a later request slowly.
func TestHeaderTimeout(t *testing.T) {
	const limit = 300 * time.Millisecond
	for name, before := range map[string]string{"first": "", "later": "GET /once/x HTTP/1.1\r\nHost: h\r\nId: q1\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := startRig(t, startStub(t, "u1", good))
			g.publish(func(v *steerer.View) { v.Config.Limits.HeadTime = limit })
			c, err := net.Dial("tcp", g.address)
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			_ = c.SetReadDeadline(time.Now().Add(headTime - time.Second))
			time.Sleep(limit + limit/2) // silence before a head counts as idle time
			reader := bufio.NewReader(c)
			if before != "" {
				_, err = fmt.Fprint(c, before)
				is.NoErr(err)
				res, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				_, err = io.Copy(io.Discard, res.Body)
				is.NoErr(err)
			}
			began := time.Now()
			_, err = fmt.Fprint(c, "GET /once/x HTTP/1.1\r\nHost: h\r\n")
			is.NoErr(err)
			_, err = io.Copy(io.Discard, reader)
			is.NoErr(err) // closed by the relayer, not by the own deadline
			is.True(time.Since(began) >= limit)
			is.Equal(g.runs(), min(1, len(before)))
		})
	}
}

// TestBodyMayTakeLongerThanItsHead sends a body slowly after its head.
func TestBodyOutlastsHeaderTimeout(t *testing.T) {
	const limit = 100 * time.Millisecond
	is := is.New(t)
	g := startRig(t, startStub(t, "u1", good))
	g.publish(func(v *steerer.View) { v.Config.Limits.HeadTime = limit })
	body, w := io.Pipe()
	go func() {
		for range 4 {
			_, _ = fmt.Fprint(w, "b")
			time.Sleep(limit)
		}
		_ = w.Close()
	}()
	r, err := http.NewRequest(http.MethodPost, "http://"+g.address+"/once/x", body)
	is.NoErr(err)
	r.Host, r.ContentLength = "h", 4
	r.Header.Set("Id", "q1")
	res, err := http.DefaultTransport.(*http.Transport).Clone().RoundTrip(r)
	is.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	is.Equal(res.StatusCode, 200)
}

// TestPipelining writes several requests before the first answer is read. The
// answers come in order, each to its request, and each runs once.
func TestPipelining(t *testing.T) {
	get := func(id string) string { return "GET /once/" + id + " HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n" }
	post := func(id, head, body string) string {
		return "POST /once/" + id + " HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n" + head + "\r\n\r\n" + body
	}
	for _, c := range []struct {
		name, sent string
		want       []string
	}{
		{"without bodies", get("q1") + get("q2") + get("q3"), []string{"u1 GET /once/q1 ", "u1 GET /once/q2 ", "u1 GET /once/q3 "}},
		{"after a body", post("q1", "Content-Length: 3", "abc") + get("q2"), []string{"u1 POST /once/q1 abc", "u1 GET /once/q2 "}},
		{"after chunks", post("q1", "Transfer-Encoding: chunked", "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n") + get("q2"), []string{"u1 POST /once/q1 abc", "u1 GET /once/q2 "}},
		{"after a refusal of our own", strings.Replace(get("q1"), "/once/", "/other/", 1) + get("q2"), []string{"", "u1 GET /once/q2 "}},
		{"after an empty body", post("q1", "Content-Length: 0", "") + get("q2"), []string{"u1 POST /once/q1 ", "u1 GET /once/q2 "}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := startRig(t, startStub(t, "u1", good))
			conn, err := net.Dial("tcp", g.address)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			_, err = fmt.Fprint(conn, c.sent)
			is.NoErr(err)
			reader := bufio.NewReader(conn)
			runs := 0
			for _, want := range c.want {
				res, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				body, err := io.ReadAll(res.Body)
				is.NoErr(err)
				if want == "" {
					is.Equal(res.StatusCode, 404)
					continue
				}
				runs++
				is.Equal(res.StatusCode, 200)
				is.Equal(string(body), want)
			}
			is.Equal(g.runs(), runs)
		})
	}
}

// TestUnreachableNeedsNoBudget sends requests on after connections were refused:
// nothing has reached an upstream, so that nothing is repeated.
func TestUnreachableNeedsNoBudget(t *testing.T) {
	is := is.New(t)
	down, up := startStub(t, "u1", good), startStub(t, "u2", good)
	_ = down.listener.Close()
	g := startRig(t, down, up)
	pool := g.tables.Load().Pool("s")
	for pool.RetryBudget.TryWithdraw() {
	}
	for range 3 {
		is.Equal(g.ask("POST", "/once/x", "body").status, 200)
	}
}

// TestActiveUntilTheAnswerIsWritten counts a request until its caller has taken
// a large answer, so that a planned stop does not cut it.
func TestActiveUntilResponseIsWritten(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("b", answerSize-1)
	g := startRig(t, startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.run(r)
		s.reply(c, r, 200, body)
	}))
	c, err := net.Dial("tcp", g.address)
	is.NoErr(err)
	_, err = fmt.Fprint(c, "GET /once/x HTTP/1.1\r\nHost: h\r\nId: q1\r\nConnection: close\r\n\r\n")
	is.NoErr(err)
	reader := bufio.NewReader(c)
	res, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(g.relayer.ActiveConns(), 1) // most of the answer has not been taken
	n, err := io.Copy(io.Discard, res.Body)
	is.NoErr(err)
	is.Equal(n, int64(len(body)))
	for until := time.Now().Add(10 * time.Second); g.relayer.ActiveConns() > 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(until)) // ends with the answer
	}
}

// TestChosenPlaceIsGivenBack ends a request after its next upstream was chosen
// and before anything was sent there.
func TestUnusedDecisionIsReleased(t *testing.T) {
	is := is.New(t)
	g := startRig(t, startStub(t, "u1", good))
	table := g.tables.Load()
	route := table.Route("h", "/safe/x")
	q := dispatcher.Request{Route: route, Pool: table.Pool("s"), Now: g.now(), Deadline: g.now() + int64(time.Minute)}
	d := dispatcher.Choose(&q)
	is.Equal(d.Upstream.Inflight(), 1)
	c := &call{ctx: &fasthttp.RequestCtx{}, table: table, route: route, pool: q.Pool, req: q, next: &d}
	g.relayer.finish(c)
	is.Equal(d.Upstream.Inflight(), 0)
}
