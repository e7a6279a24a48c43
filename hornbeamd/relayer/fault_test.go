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

// faults are faults of the first upstream that receives a request. Later
// requests succeed.
var faults = []struct {
	name  string
	serve func(*upstreamStub, net.Conn, *http.Request, string)
	// safe and once are the statuses that callers of the two routes get.
	safe, once int
	// runs is the maximum number of runs of a non-idempotent request.
	runs int
}{
	{"refuses without running", func(_ *upstreamStub, c net.Conn, r *http.Request, _ string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nNotrun: 1\r\nId: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
	}, 200, 200, 1},
	{"is another incarnation", func(_ *upstreamStub, c net.Conn, _ *http.Request, _ string) {
		_, _ = fmt.Fprint(c, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
	}, 200, 200, 1},
	{"runs and closes without a response", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.recordRun(r)
		_ = c.Close()
	}, 200, 502, 1},
	{"runs and truncates its response", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.recordRun(r)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSign: 1\r\nContent-Length: 50\r\n\r\nshort", r.Header.Get("Id"))
		_ = c.Close()
	}, 200, 502, 1},
	{"runs and sends bytes that are not HTTP", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.recordRun(r)
		_, _ = fmt.Fprint(c, "%$&/()=\r\n\r\n")
		_ = c.Close()
	}, 200, 502, 1},
	{"responds without a signature", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.recordRun(r)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Id"))
	}, 200, 502, 1},
	{"responds to another request only", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.recordRun(r)
		for range maxStrayResponses {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: other\r\nSign: 1\r\nContent-Length: 2\r\n\r\nno")
		}
	}, 200, 502, 1},
	{"fails with its own status", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.recordRun(r)
		s.reply(c, r, 500, "own failure")
	}, 200, 500, 1},
	{"runs and claims that it has not", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.recordRun(r)
		s.reply(c, r, 503, "false promise")
	}, 200, 502, 1},
}

// TestFaults sends a request to a faulty upstream beside a working one, on each
// route. A non-idempotent request runs at most once, and only a request that
// has not run is refused as not run.
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
					respondOK(s, c, r, body)
				}
				h := startHarness(t, startStub(t, "u1", serve), startStub(t, "u2", serve))
				a := h.do("POST", "/"+kind+"/x?q=%41", "body")
				is.NoErr(a.err)
				want := f.safe
				if kind == "once" {
					want = f.once
					is.True(h.runs() <= f.runs) // runs at most once
				}
				is.Equal(a.status, want)
				is.Equal(a.header.Get("Sign") != "", a.status == 200 || a.status == 500) // only the upstream's own responses are signed
				if a.status == 200 {
					is.True(strings.HasSuffix(a.body, " POST /"+kind+"/x?q=%41 body")) // passed on unchanged
				}
			})
		}
	}
}

// TestStrayResponseIsSkipped sends a response twice, so that the second one
// arrives in place of the response to the next request.
func TestStrayResponseIsSkipped(t *testing.T) {
	is := is.New(t)
	s := startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.recordRun(r)
		if r.Header.Get("Id") == "q2" {
			s.reply(c, &http.Request{Header: http.Header{"Id": {"q1"}}}, 200, "for q1")
		}
		s.reply(c, r, 200, "for "+r.Header.Get("Id"))
	})
	h := startHarness(t, s)
	is.Equal(h.do("GET", "/once/x", "").body, "for q1")
	is.Equal(h.do("GET", "/once/x", "", "Id", "q2").body, "for q2")
	is.Equal(h.do("GET", "/once/x", "", "Id", "q3").body, "for q3")
	is.Equal(s.conns.Load(), int64(1)) // all on one connection
}

// TestBytesAfterResponseCloseConn sends bytes after a response that belong to
// no request.
func TestBytesAfterResponseCloseConn(t *testing.T) {
	is := is.New(t)
	s := startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.recordRun(r)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSign: 1\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", r.Header.Get("Id"))
	})
	h := startHarness(t, s)
	is.Equal(h.do("GET", "/once/x", "").body, "ok")
	is.Equal(h.do("GET", "/once/x", "").body, "ok")
	is.Equal(s.conns.Load(), int64(2)) // a new one for the second request
}

// TestResponseFraming sends responses that end in each of the ways of HTTP/1.1.
func TestResponseFraming(t *testing.T) {
	for name, tail := range map[string]string{
		"length": "Content-Length: 5\r\n\r\nhello",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
		"close":  "\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := startHarness(t, startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
				s.recordRun(r)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSign: 1\r\n%s", r.Header.Get("Id"), tail)
				if name == "close" {
					_ = c.Close()
				}
			}))
			a := h.do("GET", "/once/x", "")
			is.NoErr(a.err)
			is.Equal(a.body, "hello")
		})
	}
}

// TestUnreachableIsRefused checks that a request is refused as not run if no
// upstream can be reached.
func TestUnreachableIsRefused(t *testing.T) {
	is := is.New(t)
	s := startStub(t, "u1", respondOK)
	_ = s.listener.Close()
	h := startHarness(t, s)
	a := h.do("POST", "/once/x", "body")
	is.Equal(a.status, 503)
	is.True(a.header.Get("Retry-After") != "")
	is.Equal(h.runs(), 0)
}

// TestTimeout checks the response at the deadline, and that the upstream is
// given no more than the remaining time.
func TestTimeout(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	s := startStub(t, "u1", func(s *upstreamStub, _ net.Conn, r *http.Request, _ string) {
		s.recordRun(r)
		<-release
	})
	h := startHarness(t, s)
	began := time.Now()
	a := h.do("POST", "/once/x", "body", "Left", "300")
	is.Equal(a.status, 504)
	is.True(time.Since(began) < routeTimeout) // the caller's timeout, not the route's
	s.mu.Lock()
	defer s.mu.Unlock()
	is.True(len(s.seen) == 1)
	left := s.seen[0].Header.Get("Left")
	is.True(len(left) == 3 && left < "300") // less than the caller's timeout
	is.Equal(s.seen[0].Header.Get("Expect"), "u1")
}

// TestSilentUpstreamIsRerouted sends an idempotent request to an upstream that
// stays silent. It must be sent to another one.
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
		respondOK(s, c, r, body)
	}
	h := startHarness(t, startStub(t, "u1", serve), startStub(t, "u2", serve))
	a := h.do("GET", "/safe/x", "")
	is.Equal(a.status, 200)
}

// TestSlowRunWithUnknownKeyIsNotRerouted sends a key that the upstream does not
// know yet. The run takes longer than usual and must not be started again on
// another upstream.
func TestSlowRunWithUnknownKeyIsNotRerouted(t *testing.T) {
	is := is.New(t)
	serve := func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
		time.Sleep(2300 * time.Millisecond)
		respondOK(s, c, r, body)
	}
	h := startHarness(t, startStub(t, "u1", serve), startStub(t, "u2", serve))
	h.publish(func(v *steerer.View) {
		for i := range v.Config.Routes {
			r := &v.Config.Routes[i]
			// The expected time is 0.7 s if the key is known and 1.8 s if not.
			r.Aim, r.Timeout, r.Sticky = 2*time.Second, 10*time.Second, true
		}
	})
	is.Equal(h.do("GET", "/safe/x", "", "Key", "k").status, 200)
	is.Equal(h.runs(), 1)
}

// TestCallerCloses closes the caller's connection during an exchange. The
// exchange is canceled if the request is idempotent, and continues otherwise.
func TestCallerCloses(t *testing.T) {
	for _, kind := range []string{"safe", "once"} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			began, ended := make(chan struct{}), make(chan error, 1)
			h := startHarness(t, startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
				s.recordRun(r)
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
			is.True(h.doContext(ctx, "GET", "/"+kind+"/x", "").err != nil)
			var timeout net.Error
			err := <-ended
			kept := err != nil && errors.As(err, &timeout) && timeout.Timeout()
			is.Equal(kept, kind == "once")
		})
	}
}

// TestLargeBodyRejectedEarly sends a response before the request body has been
// read. The connection must not be reused.
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
	h := startHarness(t, &upstreamStub{id: "u1", listener: ln})
	for range 2 {
		a := h.do("POST", "/once/x", strings.Repeat("b", 8<<20))
		is.Equal(a.status, 400)
		is.Equal(a.body, "no")
	}
	is.Equal(len(accepted), 2)
}

// TestLocalResponses checks the responses that involve no upstream.
func TestLocalResponses(t *testing.T) {
	is := is.New(t)
	h := startHarness(t, startStub(t, "u1", respondOK))
	is.Equal(h.do("GET", "/other/x", "").status, 404)
	is.Equal(h.do("GET", "/safe", "").status, 404) // the prefix ends with a slash
	is.Equal(h.do("GET", "/safe/x", "").status, 200)
	h.publish(func(v *steerer.View) { v.Upstreams = nil })
	a := h.do("GET", "/safe/x", "")
	is.Equal(a.status, 503)
	is.True(a.header.Get("Retry-After") != "")
	h.publish(func(v *steerer.View) { v.Config = nil })
	is.Equal(h.do("GET", "/safe/x", "").status, 503) // no configuration yet
}

// TestLimits sends requests that exceed the configured limits, and leaves a
// connection idle for longer than they allow.
func TestLimits(t *testing.T) {
	is := is.New(t)
	h := startHarness(t, startStub(t, "u1", respondOK))
	h.publish(func(v *steerer.View) {
		v.Config.Limits = steerer.Limits{HeadBytes: 1000, BodyBytes: 2000, IdleTime: time.Nanosecond}
	})
	is.Equal(h.do("POST", "/once/x", strings.Repeat("b", 2000)).status, 200)
	is.Equal(h.do("POST", "/once/x", strings.Repeat("b", 2001)).status, 413)
	is.Equal(h.do("POST", "/once/x", "", "Pad", strings.Repeat("p", 1000)).status, 431)
	c, err := net.Dial("tcp", h.address)
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
		h.relayer.Maintain()
		select {
		case err := <-closed:
			is.Equal(err, io.EOF)
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// TestSilentConnectionsAreDropped makes all open connections to an upstream
// silent at once, while new ones work. Only the first request that is sent on
// one of them may be lost.
func TestSilentConnectionsAreDropped(t *testing.T) {
	is := is.New(t)
	var silent atomic.Bool
	var mu sync.Mutex
	old := map[net.Conn]bool{}
	arrived := make(chan struct{}, 3)
	release := make(chan struct{})
	h := startHarness(t, startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
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
		respondOK(s, c, r, body)
	}))
	var group sync.WaitGroup
	for range 3 {
		group.Go(func() { h.do("GET", "/once/x", "") })
	}
	for range 3 {
		<-arrived
	}
	close(release)
	group.Wait()
	silent.Store(true)
	is.Equal(h.do("GET", "/once/x", "").status, 504)
	is.Equal(h.do("GET", "/once/x", "").status, 200)
	is.Equal(h.do("GET", "/once/x", "").status, 200)
}

// TestStaleConnections uses an upstream that drops idle connections sooner than
// it announces, and resets the next request without running it. Only the first
// non-idempotent request may be lost.
func TestStaleConnections(t *testing.T) {
	const upstreamIdleTimeout = 200 * time.Millisecond
	is := is.New(t)
	var mu sync.Mutex
	last := map[net.Conn]time.Time{}
	dropsIdle := func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
		mu.Lock()
		at, used := last[c]
		mu.Unlock()
		if used && time.Since(at) > upstreamIdleTimeout {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			return
		}
		respondOK(s, c, r, body)
		mu.Lock()
		last[c] = time.Now()
		mu.Unlock()
	}
	h := startHarness(t, startStub(t, "u1", dropsIdle))
	is.Equal(h.do("GET", "/once/x", "").status, 200)
	time.Sleep(2 * upstreamIdleTimeout)
	is.Equal(h.do("GET", "/once/x", "").status, 502)
	for range 3 {
		is.Equal(h.do("GET", "/once/x", "").status, 200)
		time.Sleep(2 * upstreamIdleTimeout)
	}
	is.Equal(h.runs(), 4)
}

// TestHeaderTimeout sends the header of a first and of a later request slowly.
func TestHeaderTimeout(t *testing.T) {
	const limit = 300 * time.Millisecond
	for name, before := range map[string]string{"first": "", "later": "GET /once/x HTTP/1.1\r\nHost: h\r\nId: q1\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := startHarness(t, startStub(t, "u1", respondOK))
			h.publish(func(v *steerer.View) { v.Config.Limits.HeadTime = limit })
			c, err := net.Dial("tcp", h.address)
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			_ = c.SetReadDeadline(time.Now().Add(headerTimeout - time.Second))
			time.Sleep(limit + limit/2) // silence before a header counts as idle time
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
			is.NoErr(err) // closed by the relayer, not the test's deadline
			is.True(time.Since(began) >= limit)
			is.Equal(h.runs(), min(1, len(before)))
		})
	}
}

// TestBodyOutlastsHeaderTimeout sends the body for longer than the header
// timeout.
func TestBodyOutlastsHeaderTimeout(t *testing.T) {
	const limit = 100 * time.Millisecond
	is := is.New(t)
	h := startHarness(t, startStub(t, "u1", respondOK))
	h.publish(func(v *steerer.View) { v.Config.Limits.HeadTime = limit })
	body, w := io.Pipe()
	go func() {
		for range 4 {
			_, _ = fmt.Fprint(w, "b")
			time.Sleep(limit)
		}
		_ = w.Close()
	}()
	r, err := http.NewRequest(http.MethodPost, "http://"+h.address+"/once/x", body)
	is.NoErr(err)
	r.Host, r.ContentLength = "h", 4
	r.Header.Set("Id", "q1")
	res, err := http.DefaultTransport.(*http.Transport).Clone().RoundTrip(r)
	is.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	is.Equal(res.StatusCode, 200)
}

// TestPipelining writes several requests before it reads the first response.
// The responses come in order, and each request runs once.
func TestPipelining(t *testing.T) {
	get := func(id string) string { return "GET /once/" + id + " HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n" }
	post := func(id, header, body string) string {
		return "POST /once/" + id + " HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n" + header + "\r\n\r\n" + body
	}
	for _, c := range []struct {
		name, sent string
		want       []string
	}{
		{"without bodies", get("q1") + get("q2") + get("q3"), []string{"u1 GET /once/q1 ", "u1 GET /once/q2 ", "u1 GET /once/q3 "}},
		{"after a body", post("q1", "Content-Length: 3", "abc") + get("q2"), []string{"u1 POST /once/q1 abc", "u1 GET /once/q2 "}},
		{"after chunks", post("q1", "Transfer-Encoding: chunked", "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n") + get("q2"), []string{"u1 POST /once/q1 abc", "u1 GET /once/q2 "}},
		{"after a local response", strings.Replace(get("q1"), "/once/", "/other/", 1) + get("q2"), []string{"", "u1 GET /once/q2 "}},
		{"after an empty body", post("q1", "Content-Length: 0", "") + get("q2"), []string{"u1 POST /once/q1 ", "u1 GET /once/q2 "}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := startHarness(t, startStub(t, "u1", respondOK))
			conn, err := net.Dial("tcp", h.address)
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
			is.Equal(h.runs(), runs)
		})
	}
}

// TestUnreachableNeedsNoBudget sends requests with an empty retry budget after
// connections were refused. No upstream was reached, so another exchange is no
// retry.
func TestUnreachableNeedsNoBudget(t *testing.T) {
	is := is.New(t)
	down, up := startStub(t, "u1", respondOK), startStub(t, "u2", respondOK)
	_ = down.listener.Close()
	h := startHarness(t, down, up)
	pool := h.tables.Load().Pool("s")
	for pool.RetryBudget.TryWithdraw() {
	}
	for range 3 {
		is.Equal(h.do("POST", "/once/x", "body").status, 200)
	}
}

// TestActiveUntilResponseIsWritten checks that a connection is active until its
// caller has read a large response, so that a planned stop does not truncate
// it.
func TestActiveUntilResponseIsWritten(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("b", maxResponseBytes-1)
	h := startHarness(t, startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.recordRun(r)
		s.reply(c, r, 200, body)
	}))
	c, err := net.Dial("tcp", h.address)
	is.NoErr(err)
	_, err = fmt.Fprint(c, "GET /once/x HTTP/1.1\r\nHost: h\r\nId: q1\r\nConnection: close\r\n\r\n")
	is.NoErr(err)
	reader := bufio.NewReader(c)
	res, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(h.relayer.Conns().Active, 1) // most of the response has not been read
	n, err := io.Copy(io.Discard, res.Body)
	is.NoErr(err)
	is.Equal(n, int64(len(body)))
	for until := time.Now().Add(10 * time.Second); h.relayer.Conns().Active > 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(until)) // ends with the response
	}
}

// TestUnusedDecisionIsReleased ends a request after its next upstream was
// chosen and before anything was sent to it.
func TestUnusedDecisionIsReleased(t *testing.T) {
	is := is.New(t)
	h := startHarness(t, startStub(t, "u1", respondOK))
	table := h.tables.Load()
	route := table.Route("h", "/safe/x")
	q := dispatcher.Request{Route: route, Pool: table.Pool("s"), Now: h.now(), Deadline: h.now() + int64(time.Minute)}
	d := dispatcher.Choose(&q)
	is.Equal(d.Upstream.Inflight(), 1)
	c := &call{ctx: &fasthttp.RequestCtx{}, table: table, route: route, pool: q.Pool, req: q, nextDecision: &d}
	h.relayer.finish(c)
	is.Equal(d.Upstream.Inflight(), 0)
}
