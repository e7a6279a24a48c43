package relayer

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/core/quarantiner"
)

// crashRecorder records what a relayer reports of requests that crash upstreams.
type crashRecorder struct {
	relayer *Relayer

	mu       sync.Mutex
	crashes  []quarantiner.Digest
	answered []quarantiner.Digest
}

func recordCrashes(h *harness) *crashRecorder {
	c := &crashRecorder{relayer: h.relayer}
	h.relayer.cfg.OnUpstreamCrashed = func(_ *dispatcher.Upstream, d quarantiner.Digest) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.crashes = append(c.crashes, d)
	}
	h.relayer.cfg.OnRequestAnswered = func(d quarantiner.Digest) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.answered = append(c.answered, d)
	}
	return c
}

// reported returns the crashes once no check is running.
func (c *crashRecorder) reported() []quarantiner.Digest {
	for !c.relayer.crashes.Idle() {
		time.Sleep(time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]quarantiner.Digest(nil), c.crashes...)
}

// endDelay is the time between the end of the connections and that of the listener.
const endDelay = 50 * time.Millisecond

// endAfter ends an upstream after it has received the request.
func endAfter(s *upstreamStub, _ net.Conn, r *http.Request, _ string) {
	s.recordRun(r)
	s.close()
}

// TestCrashDetection guards against crashes that are not noticed, and against taking a
// lost connection for the end of its upstream.
func TestCrashDetection(t *testing.T) {
	tests := []struct {
		name  string
		serve func(*upstreamStub, net.Conn, *http.Request, string)
		want  int
	}{
		{"ends", endAfter, 1},
		{"ends during its response", func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 9\r\n\r\nbegin")
			endAfter(s, c, r, body)
		}, 1},
		{"ends its connections before its listener", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
			s.recordRun(r)
			_ = c.Close()
			time.Sleep(endDelay)
			s.close()
		}, 1},
		{"closes the connection", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
			s.recordRun(r)
			_ = c.Close()
		}, 0},
		{"resets the connection", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
			s.recordRun(r)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}, 0},
		{"answers and ends", func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
			respondOK(s, c, r, body)
			s.close()
		}, 0},
		{"fails", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
			s.recordRun(r)
			s.reply(c, r, 500, "failed")
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := startHarness(t, startStub(t, "u1", tt.serve))
			c := recordCrashes(h)
			h.do("POST", "/once/x", "body")
			is.Equal(len(c.reported()), tt.want)
		})
	}
}

// TestCrashWithSeveralRequests ends an upstream that has several requests in progress.
// Each is reported, and the connection to see whether it has ended is opened once.
func TestCrashWithSeveralRequests(t *testing.T) {
	is := is.New(t)
	const requests = 4
	var arrived sync.WaitGroup
	arrived.Add(requests)
	stub := startStub(t, "u1", func(s *upstreamStub, c net.Conn, _ *http.Request, _ string) {
		arrived.Done()
		arrived.Wait()
		_ = c.Close()
		time.Sleep(endDelay)
		s.close()
	})
	h := startHarness(t, stub)
	c := recordCrashes(h)
	var group sync.WaitGroup
	for n := range requests {
		group.Go(func() { h.do("POST", "/once/"+strconv.Itoa(n), "") })
	}
	group.Wait()
	different := map[quarantiner.Digest]bool{}
	for _, d := range c.reported() {
		different[d] = true
	}
	is.Equal(len(different), requests)
	is.True(stub.conns.Load() <= requests+1)
}

// digestOf returns the digest that the relayer computes for a request to a service whose
// only upstream ends.
func digestOf(t *testing.T, method, uri, body string) quarantiner.Digest {
	t.Helper()
	h := startHarness(t, startStub(t, "u1", endAfter))
	c := recordCrashes(h)
	h.do(method, uri, body)
	is.New(t).Equal(len(c.reported()), 1)
	return c.crashes[0]
}

// crashedBefore returns a set with a request that has crashed a number of upstreams.
func crashedBefore(h *harness, d quarantiner.Digest, crashes int) *quarantiner.Set {
	var l quarantiner.List
	for n := range crashes {
		l.ObserveCrash(h.now()-int64(crashes-n)*int64(time.Second), d, uint32(n))
	}
	return l.Set(nil, 0, 1)
}

// TestQuarantinedRequestIsRefused guards against sending a request in quarantine, or
// refusing another one. Refused requests have not run.
func TestQuarantinedRequestIsRefused(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x"} {
		is := is.New(t)
		h := startHarness(t, startStub(t, "u1", respondOK))
		h.quarantine.Store(crashedBefore(h, digestOf(t, "POST", path, "body"), quarantiner.Threshold))
		a := h.do("POST", path, "body", "Id", "q2")
		is.Equal(a.status, 503)
		is.Equal(a.body, "The request has not run: quarantined.\n")
		seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(seconds > 5) // no instance tries it earlier
		is.Equal(h.runs(), 0)
		is.Equal(h.do("POST", path, "another body").status, 200)
		is.Equal(h.do("POST", path+"y", "body").status, 200)
	}
}

// TestQuarantineDuringDial guards against sending a request that was quarantined while
// its connection was being opened.
func TestQuarantineDuringDial(t *testing.T) {
	is := is.New(t)
	h := startHarness(t, startStub(t, "u1", respondOK))
	x := h.exchange(h.tables.Load().Pool("s").Upstreams[0])
	h.quarantine.Store(crashedBefore(h, x.call.digest(), quarantiner.Threshold))
	err := x.run()
	is.True(errors.Is(err, errQuarantined))
	is.True(!x.sent)
	is.Equal(x.classify(err), dispatcher.Canceled)
	is.Equal(h.runs(), 0)
}

// TestNoResendOfSuspect guards against resends that crash a second upstream each time a
// request comes again that may have crashed one before. Four such resends later than 3 s
// after the third crash broke the bound in the soak, seed 16001.
func TestNoResendOfSuspect(t *testing.T) {
	d := digestOf(t, "GET", "/safe/x", "")
	for crashes, runs := range map[int]int{0: 2, 1: 1, quarantiner.Threshold - 1: 1} {
		is := is.New(t)
		h := startHarness(t, startStub(t, "u1", endAfter), startStub(t, "u2", endAfter), startStub(t, "u3", endAfter))
		h.quarantine.Store(crashedBefore(h, d, crashes))
		is.Equal(h.do("GET", "/safe/x", "").status, 502)
		is.Equal(h.runs(), runs)
	}
}

// TestAnswerOfSuspectIsReported checks that an answer clears a suspected request, once.
func TestAnswerOfSuspectIsReported(t *testing.T) {
	is := is.New(t)
	h := startHarness(t, startStub(t, "u1", respondOK))
	c := recordCrashes(h)
	d := digestOf(t, "GET", "/safe/x", "")
	h.quarantine.Store(crashedBefore(h, d, 1))
	for range 3 {
		is.Equal(h.do("GET", "/safe/x", "").status, 200)
		is.Equal(h.do("GET", "/safe/y", "").status, 200)
	}
	is.Equal(c.answered, []quarantiner.Digest{d})
}
