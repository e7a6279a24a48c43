package relayer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pipe is a caller's connection on which requests are sent without waiting.
type pipe struct {
	net.Conn
	reader *bufio.Reader
}

func (g *rig) pipe(t *testing.T) *pipe {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", g.address)
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	is.NoErr(c.SetDeadline(time.Now().Add(20 * time.Second)))
	return &pipe{c, bufio.NewReader(c)}
}

func (p *pipe) send(t *testing.T, method, path, id string) {
	t.Helper()
	is := is.New(t)
	_, err := fmt.Fprintf(p, "%s %s HTTP/1.1\r\nHost: h\r\nId: %s\r\n\r\n", method, path, id)
	is.NoErr(err)
}

// answer reads the next answer and returns its status, the request that it names
// and whether the connection closes after it.
func (p *pipe) answer(t *testing.T) (status int, id string, last bool) {
	t.Helper()
	is := is.New(t)
	res, err := http.ReadResponse(p.reader, nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, res.Body)
	is.NoErr(err)
	return res.StatusCode, res.Header.Get("Id"), res.Close
}

// meeting is an upstream that answers a request only when others have arrived
// too, the later ones first.
func meeting(t *testing.T, requests int) (stub *upstreamStub, arrived chan string) {
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
		good(s, c, r, body)
	})
	return stub, arrived
}

// TestPipelinedRunTogether sends requests that may be repeated one behind the
// other, at once and apart. They run at the same time; answers come in order.
func TestPipelinedRunTogether(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "apart": 30 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			stub, _ := meeting(t, 3)
			g := startRig(t, stub)
			p := g.pipe(t)
			for i, path := range []string{"/safe/first", "/safe/x", "/safe/y"} {
				p.send(t, "GET", path, fmt.Sprint("q", i))
				time.Sleep(pause)
			}
			for i := range 3 {
				status, id, _ := p.answer(t)
				is.Equal(status, 200)
				is.Equal(id, fmt.Sprint("q", i))
			}
		})
	}
}

// TestPipelinedOnceWaits keeps a request that must not be repeated until its turn,
// and those behind it.
func TestPipelinedNonIdempotentWaits(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	stub := startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
		if strings.HasSuffix(r.URL.Path, "/first") {
			<-release
		}
		good(s, c, r, body)
	})
	g := startRig(t, stub)
	p := g.pipe(t)
	p.send(t, "GET", "/safe/first", "q0")
	p.send(t, "POST", "/once/x", "q1")
	p.send(t, "GET", "/safe/x", "q2")
	time.Sleep(3 * checkTime) // some looks behind the first request
	is.Equal(g.runs(), 0)
	close(release)
	for i := range 3 {
		status, id, _ := p.answer(t)
		is.Equal(status, 200)
		is.Equal(id, fmt.Sprint("q", i))
	}
	is.Equal(g.runs(), 3)
}

// TestPipelinedStop begins a planned stop while requests are in hand. Those that
// were started are answered and the last answer closes the connection; others are
// not passed on.
func TestPipelinedDrain(t *testing.T) {
	is := is.New(t)
	stub, arrived := meeting(t, 2)
	g := startRig(t, stub)
	p := g.pipe(t)
	p.send(t, "GET", "/safe/first", "q0")
	is.Equal(<-arrived, "q0")
	arrived <- "q0"
	p.send(t, "GET", "/safe/x", "q1")
	for len(arrived) < 2 {
		time.Sleep(time.Millisecond)
	}
	g.relayer.StartDrain()
	p.send(t, "GET", "/safe/y", "q2")
	g.relayer.CloseIdleConnections()
	for i, closes := range []bool{false, true} {
		status, id, last := p.answer(t)
		is.Equal(status, 200)
		is.Equal(id, fmt.Sprint("q", i))
		is.Equal(last, closes)
	}
	_, err := p.reader.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(g.runs(), 2)
}

// TestPipelinedGone closes the connection while two requests run. Both are ended.
func TestPipelinedCallerCloses(t *testing.T) {
	is := is.New(t)
	arrived, ended := make(chan struct{}, 2), make(chan error, 2)
	g := startRig(t, startStub(t, "u1", func(_ *upstreamStub, c net.Conn, _ *http.Request, _ string) {
		arrived <- struct{}{}
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, err := c.Read(make([]byte, 1))
		ended <- err
	}))
	p := g.pipe(t)
	p.send(t, "GET", "/safe/x", "q0")
	p.send(t, "GET", "/safe/y", "q1")
	<-arrived
	<-arrived
	is.NoErr(p.Close())
	is.Equal(<-ended, io.EOF)
	is.Equal(<-ended, io.EOF)
}

// TestPipelinedInPieces sends requests in pieces that do not end where the heads
// do, and one behind them while the first is in hand. Each gets its own answer.
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
	// Heads whose lines end in a line feed alone are read as well.
	bare := func(text string) string { return strings.ReplaceAll(text, "\r", "") }
	pieces["bare line feeds"] = []string{bare(first) + bare(second), third}
	pieces["one bare head"] = []string{bare(first) + second, third}
	pieces["bare head behind"] = []string{first + bare(second) + third}
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
			g := startRig(t, startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
				if strings.HasSuffix(r.URL.Path, "/first") {
					<-release
				}
				good(s, c, r, body)
			}))
			p := g.pipe(t)
			for _, part := range parts {
				_, err := io.WriteString(p, part)
				is.NoErr(err)
				time.Sleep(2 * checkTime)
			}
			close(release)
			for i := range 3 {
				status, id, _ := p.answer(t)
				is.Equal(status, 200)
				is.Equal(id, fmt.Sprint("q", i))
			}
			is.Equal(g.runs(), 3)
		})
	}
}
