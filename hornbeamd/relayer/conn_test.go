package relayer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/steerer"
)

// TestIdleCloseSparesRequests closes the idle connections when a request has just
// arrived on one of them that nobody has read yet.
func TestCloseIdleKeepsConnWithUnreadRequest(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	open := func() (caller, server net.Conn) {
		caller, err := net.Dial("tcp", ln.Addr().String())
		is.NoErr(err)
		server, err = listener{ln}.Accept()
		is.NoErr(err)
		return caller, server
	}
	idle := &callers{now: func() int64 { return 1 }}
	asking, asked := open()
	silent, quiet := open()
	for _, c := range []net.Conn{asked, quiet} {
		idle.note(c, fasthttp.StateIdle)
	}
	_, err = fmt.Fprint(asking, "GET")
	is.NoErr(err)
	idle.closeIdle(0)
	_, err = silent.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	buf := make([]byte, 8)
	n, err := asked.Read(buf)
	is.NoErr(err)
	is.Equal(string(buf[:n]), "GET")
	_, err = fmt.Fprint(asked, "OK")
	is.NoErr(err) // the answer can still be written
	is.NoErr(asked.Close())
}

// TestClosedWhileRead closes a connection as idle between the arrival of a request
// and its handling. It must not be passed on, since its answer would be lost.
func TestNoSendAfterIdleClose(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	caller, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer func() { _ = caller.Close() }()
	server, err := listener{ln}.Accept()
	is.NoErr(err)
	g := startRig(t, startStub(t, "u1", good))
	is.Equal(g.ask("GET", "/once/x", "").status, 200) // leaves a connection to the upstream
	g.relayer.note(server, fasthttp.StateIdle)
	g.relayer.CloseIdleConnections()
	ctx := &fasthttp.RequestCtx{}
	ctx.Init2(server, nil, false)
	ctx.Request.Header.SetHost("h")
	ctx.Request.SetRequestURI("/once/x")
	g.relayer.handle(ctx)
	is.Equal(g.runs(), 1)
}

// TestCloseWithUnreadRequests answers a request on a connection on which another
// one waits unread, and closes it. The caller gets the answer and no reset.
func TestCloseWithUnreadRequestSendsNoReset(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	caller, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	server, err := listener{ln}.Accept()
	is.NoErr(err)
	_, err = fmt.Fprint(caller, "GET")
	is.NoErr(err)
	_, err = fmt.Fprint(server, "answer")
	is.NoErr(err)
	is.NoErr(server.Close())
	data, err := io.ReadAll(caller)
	is.NoErr(err)
	is.Equal(string(data), "answer")
	is.NoErr(caller.Close())
}

// TestPipeliningCallerGone closes a connection on which a further request waits
// unread behind the one that is with an upstream.
func TestCallerClosesWithPipelinedRequest(t *testing.T) {
	is := is.New(t)
	began, ended := make(chan struct{}), make(chan error, 1)
	g := startRig(t, startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.run(r)
		close(began)
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, err := c.Read(make([]byte, 1))
		ended <- err
	}))
	c, err := net.Dial("tcp", g.address)
	is.NoErr(err)
	_, err = fmt.Fprint(c, "GET /safe/x HTTP/1.1\r\nHost: h\r\nId: q1\r\n\r\n")
	is.NoErr(err)
	<-began
	_, err = fmt.Fprint(c, "GET /safe/y HTTP/1.1\r\nHost: h\r\nId: q2\r\n\r\n")
	is.NoErr(err)
	is.NoErr(c.Close())
	is.Equal(<-ended, io.EOF) // the exchange ends, nothing else is sent
	is.Equal(g.runs(), 1)
}

// TestNoSendForACallerGone lets the caller leave while its request waits for
// another exchange, after a refusal by the first upstream.
func TestNoRetryAfterCallerCloses(t *testing.T) {
	for _, kind := range []string{"safe", "once"} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			asked, left := make(chan struct{}, 8), make(chan struct{})
			serve := func(_ *upstreamStub, c net.Conn, r *http.Request, _ string) {
				asked <- struct{}{}
				<-left
				_, _ = fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nNotrun: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
			}
			g := startRig(t, startStub(t, "u1", serve), startStub(t, "u2", serve))
			c, err := net.Dial("tcp", g.address)
			is.NoErr(err)
			_, err = fmt.Fprintf(c, "GET /%s/x HTTP/1.1\r\nHost: h\r\nId: q1\r\n\r\n", kind)
			is.NoErr(err)
			<-asked
			is.NoErr(c.Close())
			close(left)
			for g.relayer.ActiveConns() > 0 {
				time.Sleep(time.Millisecond)
			}
			is.Equal(len(asked), 0) // no second upstream was asked
		})
	}
}

// TestPausedProcess lets a process wake from a pause with an old table, and with
// one that says that it is old. Nothing is sent by them.
func TestPausedProcessRefusesRequests(t *testing.T) {
	is := is.New(t)
	g := startRig(t, startStub(t, "u1", good))
	alive := &atomic.Int64{}
	g.relayer.cfg.Heartbeat = alive
	alive.Store(g.now() - int64(pauseTime) - 1)
	a := g.ask("POST", "/once/x", "body")
	is.Equal(a.status, 503)
	is.True(a.header.Get("Retry-After") != "")
	alive.Store(g.now() + int64(time.Hour))
	g.publish(func(v *steerer.View) { v.Stale = true })
	is.Equal(g.ask("POST", "/once/x", "body").status, 503)
	is.Equal(g.runs(), 0)
	g.publish()
	is.Equal(g.ask("POST", "/once/x", "body").status, 200)
}
