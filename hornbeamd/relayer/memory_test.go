package relayer

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/limiter"
	"hornbeamstream.example/core/steerer"
)

// TestEvictionOrder checks which connections are closed first when bytes or connections are
// short.
func TestEvictionOrder(t *testing.T) {
	is := is.New(t)
	const kb = 1 << 10
	all := map[string]evictionCandidate{
		"fresh":         {quiet: time.Millisecond},
		"waiting":       {quiet: 2 * time.Second},
		"idle":          {idle: true, quiet: time.Second},
		"idle long":     {idle: true, quiet: 5 * time.Second},
		"large":         {held: 900 * kb, quiet: 10 * time.Millisecond},
		"small":         {held: 4 * kb, quiet: 20 * time.Millisecond},
		"stalled":       {held: 8 * kb, quiet: 2 * time.Second},
		"stalled large": {held: 500 * kb, quiet: 3 * time.Second},
	}
	order := func(precedes func(a, b evictionCandidate) bool) string {
		var names []string
		for name := range all {
			names = append(names, name)
		}
		slices.SortFunc(names, func(a, b string) int {
			switch {
			case precedes(all[a], all[b]):
				return -1
			case precedes(all[b], all[a]):
				return 1
			}
			return strings.Compare(a, b)
		})
		return strings.Join(names, ", ")
	}
	is.Equal(order(evictionCandidate.precedesForBytes), "stalled large, stalled, idle long, idle, large, small, fresh, waiting")
	is.Equal(order(evictionCandidate.precedesForConns), "idle long, idle, stalled large, stalled, waiting, small, large, fresh")
	is.Equal(all["waiting"].rank(), 0)
}

// TestSmallBodiesHaveTheirShare fills the budget with large bodies.
func TestSmallBodiesHaveTheirShare(t *testing.T) {
	is := is.New(t)
	b := &byteBudget{ByteBudget: limiter.ByteBudget{Limit: 16 << 20}}
	large := 0
	for b.reserveFor(limiter.SmallBytes, 1<<20, nil) {
		large++
	}
	is.Equal(large*limiter.SmallBytes, 15<<20)
	is.True(b.reserveFor(limiter.SmallBytes, limiter.SmallBytes, nil))
	b.Release(int64((large + 1) * limiter.SmallBytes))
	is.Equal(b.Used(), int64(0))
}

// TestHeldBytesReturnToZero lets callers send and fetch large bodies, in one piece, pipelined
// and in chunks, and leave at random moments, while memory is short. Bytes that are not
// released would refuse requests for as long as the process runs.
func TestHeldBytesReturnToZero(t *testing.T) {
	is := is.New(t)
	const large = 200 << 10
	answer := strings.Repeat("y", large)
	h := startHarnessWith(t, func(c *Config) { c.MaxHeldBytes = 2 << 20 }, startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		time.Sleep(5 * time.Millisecond)
		s.reply(c, r, 200, answer)
	}))
	body := strings.Repeat("x", large)
	requests := []string{
		"POST /once/a HTTP/1.1\r\nHost: h\r\nId: q\r\nContent-Length: " + fmt.Sprint(large) + "\r\n\r\n" + body,
		"POST /once/b HTTP/1.1\r\nHost: h\r\nId: q\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", large, body),
		strings.Repeat("GET /safe/c HTTP/1.1\r\nHost: h\r\nId: q\r\n\r\n", 6),
	}
	random := rand.New(rand.NewPCG(1, 2))
	var callers sync.WaitGroup
	for range 120 {
		request := requests[random.IntN(len(requests))]
		sent, leaves := len(request), time.Duration(random.IntN(30))*time.Millisecond
		if random.IntN(3) == 0 {
			sent = random.IntN(sent)
		}
		callers.Go(func() {
			c, err := net.Dial("tcp", h.address)
			if err != nil {
				return
			}
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			_, _ = io.WriteString(c, request[:sent])
			time.Sleep(leaves)
			_ = c.Close()
		})
		time.Sleep(time.Millisecond)
	}
	callers.Wait()
	h.awaitReleased(is)
	is.Equal(h.do("GET", "/safe/c", "").status, 200)
}

// awaitReleased waits until no bytes are reserved. Those of a response are released after it
// has been written.
func (h *harness) awaitReleased(is *is.I) {
	for until := time.Now().Add(30 * time.Second); h.relayer.byteBudget.Used() != 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(h.relayer.byteBudget.Used(), int64(0))
}

// respondShort responds with little to any body.
func respondShort(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
	s.recordRun(r)
	s.reply(c, r, 200, "ok")
}

// TestBodyRefusals sends bodies that are refused. None of the requests runs.
func TestBodyRefusals(t *testing.T) {
	is := is.New(t)
	h := startHarnessWith(t, func(c *Config) { c.MaxHeldBytes, c.BodyStallTimeout = 120<<10, 50*time.Millisecond }, startStub(t, "u1", respondShort))
	h.publish(func(v *steerer.View) { v.Config.Limits.BodyBytes = 200 << 10 })
	for _, tt := range []struct {
		name, framing string
		sent          int
		status        int
	}{
		{"announced too large", "Content-Length: 300000", 0, 413},
		{"stalls", "Content-Length: 20000", 10000, 408},
		{"no memory", "Content-Length: 190000", 190000, 503},
		{"no memory for chunks", "Transfer-Encoding: chunked", 190000, 503},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c, err := net.Dial("tcp", h.address)
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(30 * time.Second))
			_, err = fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nId: q1\r\n%s\r\n\r\n", tt.framing)
			is.NoErr(err)
			var out bytes.Buffer
			frame := func(p []byte) { out.Write(p) }
			if strings.HasPrefix(tt.framing, "Transfer") {
				frame = func(p []byte) { fmt.Fprintf(&out, "%x\r\n%s\r\n", len(p), p) }
			}
			frame(bytes.Repeat([]byte("x"), tt.sent))
			go func() { _, _ = c.Write(out.Bytes()) }()
			data, err := io.ReadAll(c)
			is.NoErr(err)
			is.True(strings.HasPrefix(string(data), fmt.Sprintf("HTTP/1.1 %d ", tt.status)))
			is.True(strings.Contains(string(data), "Connection: close"))
			is.Equal(h.relayer.byteBudget.Used(), int64(0))
			is.Equal(h.runs(), 0)
		})
	}
	is.Equal(h.do("POST", "/once/x", strings.Repeat("x", 60<<10)).status, 200)
}

// TestBodyGrowsTooLarge sends a body in chunks that grows beyond the limit.
func TestBodyGrowsTooLarge(t *testing.T) {
	is := is.New(t)
	h := startHarness(t, startStub(t, "u1", respondOK))
	h.publish(func(v *steerer.View) { v.Config.Limits.BodyBytes = 10 << 10 })
	is.Equal(h.do("POST", "/once/x", strings.Repeat("x", 10<<10)).status, 200)
	c, err := net.Dial("tcp", h.address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	_, err = fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nId: q1\r\nTransfer-Encoding: chunked\r\n\r\n2801\r\n%s", strings.Repeat("x", 10<<10+1))
	is.NoErr(err)
	data, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(data), "HTTP/1.1 413 "))
	is.Equal(h.runs(), 1)
}

// TestStalledBodyGivesWay lets a body arrive while a stalled one holds most of the memory.
func TestStalledBodyGivesWay(t *testing.T) {
	is := is.New(t)
	h := startHarnessWith(t, func(c *Config) { c.MaxHeldBytes = 1 << 20 }, startStub(t, "u1", respondShort))
	stalled, err := net.Dial("tcp", h.address)
	is.NoErr(err)
	defer func() { _ = stalled.Close() }()
	_, err = fmt.Fprintf(stalled, "POST /once/x HTTP/1.1\r\nHost: h\r\nId: q1\r\nContent-Length: %d\r\n\r\n%s", 700<<10, strings.Repeat("x", 700<<10-1))
	is.NoErr(err)
	for h.relayer.byteBudget.Used() < 700<<10 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(h.do("POST", "/once/y", strings.Repeat("y", 600<<10)).status, 200)
	_ = stalled.SetDeadline(time.Now().Add(30 * time.Second))
	data, err := io.ReadAll(stalled)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(data), "HTTP/1.1 503 ") && strings.Contains(string(data), "Retry-After: "))
	is.Equal(h.runs(), 1)
}

// TestCallersBeyondTheBound opens more connections than allowed. Idle ones make room.
func TestCallersBeyondTheBound(t *testing.T) {
	is := is.New(t)
	h := startHarnessWith(t, func(c *Config) { c.MaxCallerConns = 8 }, startStub(t, "u1", respondOK))
	for range 40 {
		c, err := net.Dial("tcp", h.address)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "GET /safe/x")
	}
	is.Equal(h.do("GET", "/safe/x", "").status, 200)
	is.True(h.relayer.callerConns.openCount() <= 8)
}
