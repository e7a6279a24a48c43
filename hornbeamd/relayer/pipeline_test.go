package relayer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pipelineConn is a caller's connection for pipelined requests.
type pipelineConn struct {
	net.Conn
	reader *bufio.Reader
}

func (h *harness) pipelineConn(t *testing.T) *pipelineConn {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", h.address)
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	is.NoErr(c.SetDeadline(time.Now().Add(20 * time.Second)))
	return &pipelineConn{c, bufio.NewReader(c)}
}

func (p *pipelineConn) send(t *testing.T, method, path, id string) {
	t.Helper()
	is := is.New(t)
	_, err := fmt.Fprintf(p, "%s %s HTTP/1.1\r\nHost: h\r\nId: %s\r\n\r\n", method, path, id)
	is.NoErr(err)
}

// readResponse reads the next response. It returns the status, the ID of the
// request, and whether the connection closes after it.
func (p *pipelineConn) readResponse(t *testing.T) (status int, id string, last bool) {
	t.Helper()
	is := is.New(t)
	res, err := http.ReadResponse(p.reader, nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, res.Body)
	is.NoErr(err)
	return res.StatusCode, res.Header.Get("Id"), res.Close
}

// startBarrierStub starts an upstream that responds to the first request only
// after the given number of requests has arrived. The later ones finish first.
func startBarrierStub(t *testing.T, requests int) (stub *upstreamStub, arrived chan string) {
	t.Helper()
	arrived = make(chan string, 16)
	all := make(chan struct{})
	stub = startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
		arrived <- r.Header.Get("Id")
		if len(arrived) == requests {
			close(all)
		}
		if strings.HasSuffix(r.URL.Path, "/first") {
			<-all
			time.Sleep(20 * time.Millisecond)
		}
		respondOK(s, c, r, body)
	})
	return stub, arrived
}

// TestPipelinedRunTogether pipelines idempotent requests, at once and with
// pauses. They run concurrently; the responses come in order.
func TestPipelinedRunTogether(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "apart": 30 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			stub, _ := startBarrierStub(t, 3)
			h := startHarness(t, stub)
			p := h.pipelineConn(t)
			for i, path := range []string{"/safe/first", "/safe/x", "/safe/y"} {
				p.send(t, "GET", path, fmt.Sprint("q", i))
				time.Sleep(pause)
			}
			for i := range 3 {
				status, id, _ := p.readResponse(t)
				is.Equal(status, 200)
				is.Equal(id, fmt.Sprint("q", i))
			}
		})
	}
}

// TestPipelinedNonIdempotentWaits checks that a non-idempotent request and
// those after it wait for their turn.
func TestPipelinedNonIdempotentWaits(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	stub := startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
		if strings.HasSuffix(r.URL.Path, "/first") {
			<-release
		}
		respondOK(s, c, r, body)
	})
	h := startHarness(t, stub)
	p := h.pipelineConn(t)
	p.send(t, "GET", "/safe/first", "q0")
	p.send(t, "POST", "/once/x", "q1")
	p.send(t, "GET", "/safe/x", "q2")
	time.Sleep(3 * callerPollInterval) // several polls during the first request
	is.Equal(h.runs(), 0)
	close(release)
	for i := range 3 {
		status, id, _ := p.readResponse(t)
		is.Equal(status, 200)
		is.Equal(id, fmt.Sprint("q", i))
	}
	is.Equal(h.runs(), 3)
}

// TestPipelinedDrain begins a drain with pipelined requests in progress. They
// are answered, and the last response closes the connection. Later requests are
// not relayed.
func TestPipelinedDrain(t *testing.T) {
	is := is.New(t)
	stub, arrived := startBarrierStub(t, 2)
	h := startHarness(t, stub)
	p := h.pipelineConn(t)
	p.send(t, "GET", "/safe/first", "q0")
	is.Equal(<-arrived, "q0")
	arrived <- "q0"
	p.send(t, "GET", "/safe/x", "q1")
	for len(arrived) < 2 {
		time.Sleep(time.Millisecond)
	}
	h.relayer.StartDrain()
	p.send(t, "GET", "/safe/y", "q2")
	h.relayer.CloseIdleConnections()
	for i, closes := range []bool{false, true} {
		status, id, last := p.readResponse(t)
		is.Equal(status, 200)
		is.Equal(id, fmt.Sprint("q", i))
		is.Equal(last, closes)
	}
	_, err := p.reader.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(h.runs(), 2)
}

// TestPipelinedCallerCloses closes the connection during two requests. Both
// exchanges must be canceled.
func TestPipelinedCallerCloses(t *testing.T) {
	is := is.New(t)
	arrived, ended := make(chan struct{}, 2), make(chan error, 2)
	h := startHarness(t, startStub(t, "u1", func(_ *upstreamStub, c net.Conn, _ *http.Request, _ string) {
		arrived <- struct{}{}
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, err := c.Read(make([]byte, 1))
		ended <- err
	}))
	p := h.pipelineConn(t)
	p.send(t, "GET", "/safe/x", "q0")
	p.send(t, "GET", "/safe/y", "q1")
	<-arrived
	<-arrived
	is.NoErr(p.Close())
	is.True(errors.Is(<-ended, syscall.ECONNRESET))
	is.True(errors.Is(<-ended, syscall.ECONNRESET))
}

// TestPipelinedInPieces writes requests in pieces that do not end where the
// headers do, with another request after them. Each gets its own response.
func TestPipelinedInPieces(t *testing.T) {
	get := func(path, id string) string {
		return "GET " + path + " HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n"
	}
	first, second, third := get("/safe/first", "q0"), get("/safe/x", "q1"), get("/safe/y", "q2")
	post := "POST /once/first HTTP/1.1\r\nHost: h\r\nId: q0\r\nContent-Length: 4\r\n\r\nbody"
	pieces := map[string][]string{
		"after a body":       {post + second, third},
		"body in two pieces": {post[:len(post)-2], post[len(post)-2:] + second, third},
	}
	// Lines of a header may end with a line feed alone.
	bare := func(text string) string { return strings.ReplaceAll(text, "\r", "") }
	pieces["bare line feeds"] = []string{bare(first) + bare(second), third}
	pieces["one bare header"] = []string{bare(first) + second, third}
	pieces["bare second header"] = []string{first + bare(second) + third}
	for cut := 1; cut <= 4; cut++ {
		pieces[fmt.Sprint("cut ", cut)] = []string{first[:len(first)-cut], first[len(first)-cut:] + second, third}
	}
	for i := 1; i < len(second); i += 7 {
		pieces[fmt.Sprint("second cut at ", i)] = []string{first + second[:i], second[i:] + third[:i], third[i:]}
	}
	for name, parts := range pieces {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			release := make(chan struct{})
			h := startHarness(t, startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
				if strings.HasSuffix(r.URL.Path, "/first") {
					<-release
				}
				respondOK(s, c, r, body)
			}))
			p := h.pipelineConn(t)
			for _, part := range parts {
				_, err := io.WriteString(p, part)
				is.NoErr(err)
				time.Sleep(2 * callerPollInterval)
			}
			close(release)
			for i := range 3 {
				status, id, _ := p.readResponse(t)
				is.Equal(status, 200)
				is.Equal(id, fmt.Sprint("q", i))
			}
			is.Equal(h.runs(), 3)
		})
	}
}
