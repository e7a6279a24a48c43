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
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"hornbeamstream.example/hornbeamd/guarder"
)

// writeEndlessly writes piece repeatedly until the peer closes.
func writeEndlessly(c io.Writer, first, piece string, pause time.Duration) {
	_, err := fmt.Fprint(c, first)
	for err == nil {
		_, err = fmt.Fprint(c, piece)
		if pause > 0 {
			time.Sleep(pause)
		}
	}
}

// TestUnendingResponse uses an upstream whose bytes never become a complete
// response. The request fails at its deadline at the latest, as one that may
// have run, and other requests are served.
func TestUnendingResponse(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nSign: 1\r\n"
	for _, c := range []struct{ name, first, piece string }{
		{"header", "HTTP/1.1 200 OK\r\n", "Pad: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n"},
		{"line", "HTTP/1.1 200 ", "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"},
		{"interim", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"body", header + "\r\n", strings.Repeat("x", 1000)},
		{"chunks", header + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nxxxxx\r\n"},
		{"extension", header + "Transfer-Encoding: chunked\r\n\r\n5;", "xxxxxxxxxxxxxxxxxxxxx"},
		{"trailer", header + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Pad: xxxxxxxxxxxxxxxxxxxxx\r\n"},
		{"not HTTP", "", "\x00\x01\x02\x03 nothing like an answer \r\n"},
	} {
		for speed, pause := range map[string]time.Duration{"fast": 0, "slow": 20 * time.Millisecond} {
			t.Run(c.name+" "+speed, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				h := startHarness(t, startStub(t, "u1", func(s *upstreamStub, conn net.Conn, r *http.Request, body string) {
					if r.URL.Path == "/once/good" {
						respondOK(s, conn, r, body)
						return
					}
					s.recordRun(r)
					writeEndlessly(conn, c.first, c.piece, pause)
				}))
				began := time.Now()
				a := h.do("POST", "/once/x", "body")
				is.True(a.status == 502 || a.status == 504) // it may have run
				is.True(time.Since(began) < 10*routeTimeout)
				is.Equal(h.runs(), 1)
				is.Equal(h.do("POST", "/once/good", "").status, 200)
				h.awaitReleased(is)
			})
		}
	}
}

// TestBufferedBytesAreBounded requests several large responses at once. The
// buffered bytes stay within the limit, and small responses pass meanwhile.
func TestBufferedBytesAreBounded(t *testing.T) {
	const limit, large = 1 << 20, 600 << 10
	is := is.New(t)
	release := make(chan struct{})
	h := startHarness(t, startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
		if r.URL.Path == "/once/small" {
			respondOK(s, c, r, body)
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSign: 1\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Id"), large)
		_, _ = c.Write(bytes.Repeat([]byte("x"), large-1))
		<-release
		_, _ = c.Write([]byte("x"))
	}))
	h.relayer.byteBudget.Limit = limit
	var group sync.WaitGroup
	statuses := make(chan int, 6)
	request := func() { statuses <- h.do("GET", "/once/large", "").status }
	group.Go(request)
	for h.relayer.byteBudget.Used() < large {
		time.Sleep(time.Millisecond) // otherwise each of the six may be refused for what the others hold
	}
	for range 5 {
		group.Go(request)
	}
	for len(statuses) < 5 {
		time.Sleep(time.Millisecond) // only one of six fits
	}
	is.True(h.relayer.byteBudget.Used() <= limit)
	is.Equal(h.do("GET", "/once/small", "").status, 200)
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
	for h.relayer.byteBudget.Used() != 0 {
		time.Sleep(time.Millisecond) // released when the callers' connections end
	}
}

// panicCodec is a HeaderCodec that panics in the given method.
type panicCodec struct {
	testCodec
	at string
}

func (b panicCodec) ReadRequest(h *fasthttp.RequestHeader) RequestInfo {
	b.panicAt("read")
	return b.testCodec.ReadRequest(h)
}

func (b panicCodec) WriteRequest(h *fasthttp.RequestHeader, upstream, workspace string, left time.Duration) {
	b.panicAt("address")
	b.testCodec.WriteRequest(h, upstream, workspace, left)
}

func (b panicCodec) ReadResponse(h *fasthttp.ResponseHeader) ResponseInfo {
	b.panicAt("judge")
	return b.testCodec.ReadResponse(h)
}

func (b panicCodec) panicAt(at string) {
	if b.at == at {
		panic("unexpected")
	}
}

// TestPanics panics at each stage of a request. The caller is told correctly
// whether the request may have run, and the process continues.
func TestPanics(t *testing.T) {
	for at, want := range map[string]struct{ status, runs int }{
		"read": {503, 0}, "address": {503, 0}, "judge": {502, 1},
	} {
		t.Run(at, func(t *testing.T) {
			is := is.New(t)
			h := startHarness(t, startStub(t, "u1", respondOK))
			counted := make(chan string, 8)
			h.relayer.cfg.Guard = guarder.Recoverer{OnPanic: func(what string) { counted <- what }}
			h.relayer.cfg.HeaderCodec = panicCodec{at: at}
			is.Equal(h.do("POST", "/once/x", "body").status, want.status)
			is.Equal(h.runs(), want.runs)
			is.Equal(<-counted, "request")
			is.Equal(h.tables.Load().Pool("s").Upstreams[0].Inflight(), 0) // the decision was released
			h.relayer.cfg.HeaderCodec = testCodec{}
			is.Equal(h.do("POST", "/once/x", "body").status, 200)
		})
	}
}
