package relayer

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"hornbeamstream.example/hornbeamd/guarder"
)

// flood writes a piece of an answer again and again until the other end closes.
func flood(c io.Writer, first, piece string, pause time.Duration) {
	_, err := fmt.Fprint(c, first)
	for err == nil {
		_, err = fmt.Fprint(c, piece)
		if pause > 0 {
			time.Sleep(pause)
		}
	}
}

// TestBytesWithoutEnd lets an upstream send bytes that never become an answer.
// The request fails at its time limit at the latest, with a true outcome, and
// others are served.
func TestUnendingResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nSign: 1\r\n"
	for _, c := range []struct{ name, first, piece string }{
		{"head", "HTTP/1.1 200 OK\r\n", "Pad: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n"},
		{"line", "HTTP/1.1 200 ", "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"},
		{"interim", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"body", head + "\r\n", strings.Repeat("x", 1000)},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nxxxxx\r\n"},
		{"extension", head + "Transfer-Encoding: chunked\r\n\r\n5;", "xxxxxxxxxxxxxxxxxxxxx"},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Pad: xxxxxxxxxxxxxxxxxxxxx\r\n"},
		{"no protocol", "", "\x00\x01\x02\x03 nothing like an answer \r\n"},
	} {
		for speed, pause := range map[string]time.Duration{"fast": 0, "slow": 20 * time.Millisecond} {
			t.Run(c.name+" "+speed, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				g := startRig(t, startStub(t, "u1", func(s *upstreamStub, conn net.Conn, r *http.Request, body string) {
					if r.URL.Path == "/once/good" {
						good(s, conn, r, body)
						return
					}
					s.run(r)
					flood(conn, c.first, c.piece, pause)
				}))
				began := time.Now()
				a := g.ask("POST", "/once/x", "body")
				is.True(a.status == 502 || a.status == 504) // it may have run
				is.True(time.Since(began) < 10*rigTimeout)
				is.Equal(g.runs(), 1)
				is.Equal(g.ask("POST", "/once/good", "").status, 200)
				is.Equal(g.relayer.buffers.used.Load(), int64(0))
			})
		}
	}
}

// TestAnswersInHandAreBounded asks for many large answers at once. What is held
// of all of them stays within the bound, and small ones pass meanwhile.
func TestBufferedBytesAreBounded(t *testing.T) {
	const limit, large = 1 << 20, 600 << 10
	is := is.New(t)
	release := make(chan struct{})
	g := startRig(t, startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
		if r.URL.Path == "/once/small" {
			good(s, c, r, body)
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSign: 1\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Id"), large)
		_, _ = c.Write(bytes.Repeat([]byte("x"), large-1))
		<-release
		_, _ = c.Write([]byte("x"))
	}))
	g.relayer.buffers.limit = limit
	var group sync.WaitGroup
	statuses := make(chan int, 6)
	for range 6 {
		group.Go(func() { statuses <- g.ask("GET", "/once/large", "").status })
	}
	for len(statuses) < 5 {
		time.Sleep(time.Millisecond) // five of six do not fit
	}
	is.True(g.relayer.buffers.used.Load() <= limit)
	is.Equal(g.ask("GET", "/once/small", "").status, 200)
	close(release)
	group.Wait()
	close(statuses)
	whole := 0
	for s := range statuses {
		if s == 200 {
			whole++
		}
	}
	is.Equal(whole, 1)
	for g.relayer.buffers.used.Load() != 0 {
		time.Sleep(time.Millisecond) // given back when the callers' connections end
	}
}

// TestBodyReader reads bodies in pieces of all sizes.
func TestBodyReader(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{0, 1, 511, 512, 513, freeSize - 1, freeSize, freeSize + 1, 300 << 10} {
		for _, known := range []int{-1, size} {
			b := &body{buffers: &buffers{limit: 1 << 20}}
			data := bytes.Repeat([]byte("abcde"), size/5+1)[:size]
			is.NoErr(b.read(iotest.HalfReader(bytes.NewReader(data)), known, func() error { return nil }))
			is.True(bytes.Equal(b.data, data))
			b.drop()
			is.Equal(b.buffers.used.Load(), int64(0))
		}
	}
	b := &body{buffers: &buffers{limit: 1 << 20}}
	is.Equal(b.read(strings.NewReader(strings.Repeat("x", 4<<20)), -1, func() error { return nil }), errCrowded)
	is.Equal(b.read(strings.NewReader(""), answerSize+1, nil), errLarge)
}

// brittle is a dialect that panics where it is told to.
type brittle struct {
	plain
	at string
}

func (b brittle) ReadRequest(h *fasthttp.RequestHeader) RequestInfo {
	b.fail("read")
	return b.plain.ReadRequest(h)
}

func (b brittle) WriteRequest(h *fasthttp.RequestHeader, upstream string, left time.Duration) {
	b.fail("address")
	b.plain.WriteRequest(h, upstream, left)
}

func (b brittle) ReadResponse(h *fasthttp.ResponseHeader) ResponseInfo {
	b.fail("judge")
	return b.plain.ReadResponse(h)
}

func (b brittle) fail(at string) {
	if b.at == at {
		panic("unexpected")
	}
}

// TestPanics lets the handling of a request panic at each stage. The caller
// learns truly whether it has run, and the process goes on.
func TestPanics(t *testing.T) {
	for at, want := range map[string]struct{ status, runs int }{
		"read": {503, 0}, "address": {503, 0}, "judge": {502, 1},
	} {
		t.Run(at, func(t *testing.T) {
			is := is.New(t)
			g := startRig(t, startStub(t, "u1", good))
			counted := make(chan string, 8)
			g.relayer.cfg.Guard = guarder.Recoverer{OnPanic: func(what string) { counted <- what }}
			g.relayer.cfg.HeaderCodec = brittle{at: at}
			is.Equal(g.ask("POST", "/once/x", "body").status, want.status)
			is.Equal(g.runs(), want.runs)
			is.Equal(<-counted, "request")
			is.Equal(g.tables.Load().Pool("s").Upstreams[0].Inflight(), 0) // its place is free again
			g.relayer.cfg.HeaderCodec = plain{}
			is.Equal(g.ask("POST", "/once/x", "body").status, 200)
		})
	}
}
