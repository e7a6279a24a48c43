package relayer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/steerer"
)

// respondLimited returns a handler that runs requests, after a delay, and states a
// limit.
func respondLimited(limit string, delay time.Duration) func(*upstreamStub, net.Conn, *http.Request, string) {
	return func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.recordRun(r)
		time.Sleep(delay)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSign: %s\r\nLimit: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Id"), s.id, limit)
	}
}

// respondStatus returns a handler that fails each request with a status of its own.
func respondStatus(status int) func(*upstreamStub, net.Conn, *http.Request, string) {
	return func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
		s.recordRun(r)
		s.reply(c, r, status, body)
	}
}

// withPeers lets the instance share bounds with three others.
func withPeers(v *steerer.View) {
	for _, name := range []string{"i", "j", "k", "l"} {
		v.Peers = append(v.Peers, steerer.Instance{Name: name, Domain: "a", Region: "r"})
	}
}

// TestRateLimitHoldsOnEveryPath guards against requests that bypass an upstream's limit:
// repeats after a failure or silence of another upstream, pipelined requests, and
// concurrent ones. One of four instances may send a limit of 2 a second at most 4.25
// requests in two seconds: 1.5 times its share, and its share of 5 requests.
func TestRateLimitHoldsOnEveryPath(t *testing.T) {
	const duration, limit = 2 * time.Second, "2"
	const most = 1.5*2*2/4 + 5.0/4
	for name, tt := range map[string]struct {
		// delay is how long the limited upstream takes, other what the other upstream
		// does.
		delay time.Duration
		other func(*upstreamStub, net.Conn, *http.Request, string)
		load  func(t *testing.T, h *harness)
	}{
		"first sends": {0, respondOK, func(_ *testing.T, h *harness) { h.do("GET", "/once/x", "") }},
		"repeats after failures": {0, respondStatus(500), func(_ *testing.T, h *harness) {
			h.do("GET", "/safe/x", "")
			time.Sleep(20 * time.Millisecond)
		}},
		"repeats after silence": {0, func(_ *upstreamStub, _ net.Conn, _ *http.Request, _ string) { time.Sleep(time.Second) }, func(_ *testing.T, h *harness) {
			var group sync.WaitGroup
			for range 8 {
				group.Go(func() { h.do("GET", "/safe/x", "") })
			}
			group.Wait()
		}},
		"pipelined requests": {10 * time.Millisecond, respondOK, func(t *testing.T, h *harness) {
			p := h.pipelineConn(t)
			defer func() { _ = p.Close() }()
			for n := range 4 {
				p.send(t, "GET", "/safe/x", fmt.Sprint("p", n))
			}
			for range 4 {
				p.readResponse(t)
			}
		}},
		"concurrent requests": {30 * time.Millisecond, respondOK, func(_ *testing.T, h *harness) {
			var group sync.WaitGroup
			for range 16 {
				group.Go(func() { h.do("POST", "/once/x", "body") })
			}
			group.Wait()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			limited := startStub(t, "u1", respondLimited(limit, tt.delay))
			h := startHarness(t, limited, startStub(t, "u2", tt.other))
			h.publish(withPeers)
			for end := time.Now().Add(5 * time.Second); limited.requestCount() == 0 && time.Now().Before(end); {
				tt.load(t, h)
			}
			time.Sleep(500 * time.Millisecond)
			before := limited.requestCount()
			for end := time.Now().Add(duration); time.Now().Before(end); {
				tt.load(t, h)
			}
			got := limited.requestCount() - before
			t.Logf("%d requests in %v, at most %.1f", got, duration, most)
			is.True(float64(got) <= most)
		})
	}
}

// TestRateLimitStatedWhileDialing guards against requests that were on their way when
// the upstream first stated its limit: they waited for a connection meanwhile, and were
// sent without regard to the limit.
func TestRateLimitStatedWhileDialing(t *testing.T) {
	is := is.New(t)
	stub := startStub(t, "u1", respondLimited("2", 0))
	h := startHarness(t, stub)
	h.publish(withPeers)
	// The first answer states the limit while the other requests are in prepared
	// exchanges.
	u := h.tables.Load().Pool("s").Upstreams[0]
	var prepared []*exchange
	for range 8 {
		prepared = append(prepared, h.exchange(u))
	}
	is.Equal(h.do("GET", "/once/x", "").status, 200)
	sent := 0
	for _, x := range prepared {
		if _ = x.run(); x.sent {
			sent++
		}
		x.abort()
	}
	is.True(sent <= 1)
}

// TestRateLimitEnds checks that an upstream gets its usual requests again once its
// answers no longer state a limit, and that an answer that was requested before the
// limit was stated does not end it.
func TestRateLimitEnds(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	field := ""
	hold := make(chan struct{})
	stub := startStub(t, "u1", func(_ *upstreamStub, c net.Conn, r *http.Request, _ string) {
		mu.Lock()
		f := field
		mu.Unlock()
		if r.URL.Path == "/once/slow" {
			<-hold
			f = ""
		}
		_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 X\r\nId: %s\r\nSign: 1\r\n%sContent-Length: 2\r\n\r\nok", r.Header.Get("Id"), f))
	})
	h := startHarness(t, stub)
	set := func(s string) {
		mu.Lock()
		field = s
		mu.Unlock()
	}
	set("Limit: 1\r\n")
	slow := make(chan callerResponse)
	go func() { slow <- h.do("GET", "/once/slow", "") }()
	for stub.requestCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(h.do("GET", "/once/x", "").status, 200) // states the limit
	close(hold)
	is.Equal((<-slow).status, 200)
	is.Equal(h.do("GET", "/once/x", "").status, 503) // the limit holds
	set("")
	for end := time.Now().Add(10 * time.Second); h.do("GET", "/once/x", "").status != 200; {
		is.True(time.Now().Before(end))
	}
	for range 20 {
		is.Equal(h.do("GET", "/once/x", "").status, 200)
	}
}
