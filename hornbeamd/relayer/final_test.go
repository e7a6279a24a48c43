package relayer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// notFinal are heads of responses that are no final ones by HTTP, also if they are signed.
var notFinal = []string{
	"HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.1 001 X", "HTTP/1.1 099 X", "HTTP/1.1 101 Switching Protocols",
	"HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1 20 X", "HTTP/1.1 2000 X", "HTTP/1.1 -20 X", "HTTP/1.1 2x0 X",
	"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.1  200 OK", "\r\nHTTP/1.1 200 OK",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 600 X",
	"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 OK\x7f", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 OK\r",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked",
}

// respondNotFinal returns a handler that runs a request and answers with the given head.
func respondNotFinal(head string) func(*upstreamStub, net.Conn, *http.Request, string) {
	return func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.recordRun(r)
		_, _ = fmt.Fprintf(c, "%s\r\nId: %s\r\nSign: %s\r\nUpstream: %s\r\n", head, r.Header.Get("Id"), s.id, s.id)
		if r.Method == http.MethodHead {
			_, _ = io.WriteString(c, "Content-Length: 2\r\n\r\n")
			return
		}
		_, _ = io.WriteString(c, "Content-Length: 2\r\n\r\nok")
	}
}

// TestResponseWithoutFinalStatus guards against passing on as a success what is no final
// response, such as one with the status 000. What must not run twice ends as a request that
// may have run; what may is sent to another upstream.
func TestResponseWithoutFinalStatus(t *testing.T) {
	for _, head := range notFinal {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodHead} {
			t.Run(fmt.Sprintf("%q %s", head, method), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				h := startHarness(t, startStub(t, "u1", respondNotFinal(head)))
				for _, path := range []string{"/once/x", "/safe/x"} {
					a := h.do(method, path, "")
					is.NoErr(a.err)
					is.Equal(a.status, 502)
					is.Equal(a.header.Get("Sign"), "")
				}
				is.Equal(h.runs(), 2) // of the two paths
				h.stubs = append(h.stubs, startStub(t, "u2", respondOK))
				h.publish()
				a := h.do(method, "/safe/x", "")
				is.Equal(a.status, 200)
				is.Equal(a.header.Get("Sign"), "u2")
			})
		}
	}
}

// TestPipelinedResponseWithoutFinalStatus is the same for requests that are sent before
// their turn on the caller's connection.
func TestPipelinedResponseWithoutFinalStatus(t *testing.T) {
	is := is.New(t)
	h := startHarness(t, startStub(t, "u1", respondNotFinal(notFinal[0])))
	c, err := net.Dial("tcp", h.address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, strings.Repeat("GET /once/x HTTP/1.1\r\nHost: h\r\nId: q1\r\n\r\n", 2)+"GET /once/x HTTP/1.1\r\nHost: h\r\nId: q1\r\nConnection: close\r\n\r\n")
	is.NoErr(err)
	data, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(strings.Count(string(data), "HTTP/1.1 502 "), 3)
	is.Equal(strings.Count(string(data), "Sign:"), 0)
}

// TestProbeWithoutFinalStatus guards against a health check that takes such a response for
// the upstream's.
func TestProbeWithoutFinalStatus(t *testing.T) {
	for _, head := range notFinal {
		t.Run(fmt.Sprintf("%q", head), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := startHarness(t, startStub(t, "u1", respondNotFinal(head)))
			_, err := h.relayer.Probe(h.tables.Load().Pool("s").Upstreams[0], "/health")
			is.True(err != nil)
		})
	}
}

// TestInterimResponseIsSkipped sends interim responses before the final one.
func TestInterimResponseIsSkipped(t *testing.T) {
	is := is.New(t)
	h := startHarness(t, startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
		respondOK(s, c, r, body)
	}))
	for range 2 {
		a := h.do("GET", "/once/x", "")
		is.Equal(a.status, 200)
		is.Equal(a.header.Get("Link"), "")
	}
	is.Equal(h.stubs[0].conns.Load(), int64(1)) // the connection stays usable
}
