package relayer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"hornbeamstream.example/core/steerer"
)

func testTracker() *connTracker {
	return &connTracker{now: func() int64 { return 1 }}
}

// acceptOne opens a connection and returns both of its ends.
func acceptOne(t *testing.T, tracker *connTracker) (caller net.Conn, server *conn) {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	caller, err = net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	accepted, err := listener{ln, tracker}.Accept()
	is.NoErr(err)
	return caller, accepted.(*conn)
}

// TestCloseIdleKeepsConnWithUnreadRequest closes the idle connections when a
// request has arrived on one of them but has not been read yet.
func TestCloseIdleKeepsConnWithUnreadRequest(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	open := func() (caller, server net.Conn) {
		caller, err := net.Dial("tcp", ln.Addr().String())
		is.NoErr(err)
		server, err = listener{ln, testTracker()}.Accept()
		is.NoErr(err)
		return caller, server
	}
	tracker := testTracker()
	busyCaller, busyServer := open()
	idleCaller, idleServer := open()
	for _, c := range []net.Conn{busyServer, idleServer} {
		tracker.setConnState(c, fasthttp.StateIdle)
	}
	_, err = fmt.Fprint(busyCaller, "GET")
	is.NoErr(err)
	tracker.closeIdle(0)
	_, err = idleCaller.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	buf := make([]byte, 8)
	n, err := busyServer.Read(buf)
	is.NoErr(err)
	is.Equal(string(buf[:n]), "GET")
	_, err = fmt.Fprint(busyServer, "OK")
	is.NoErr(err) // a response can still be written
	is.NoErr(busyServer.Close())
}

// TestCloseIdleKeepsConnWithReadRequest closes the idle connections when the first bytes of
// a request have been read from one, and the server does not yet know. Before, the connection
// was closed and the request lost.
func TestCloseIdleKeepsConnWithReadRequest(t *testing.T) {
	is := is.New(t)
	tracker := testTracker()
	caller, server := acceptOne(t, tracker)
	server.setPhase(idle, 1)
	tracker.setConnState(server, fasthttp.StateIdle)
	_, err := fmt.Fprint(caller, "GET")
	is.NoErr(err)
	buf := make([]byte, 8)
	n, err := server.Read(buf)
	is.NoErr(err)
	is.Equal(string(buf[:n]), "GET")
	tracker.closeIdle(0)
	_, closable := server.candidate(1)
	is.True(!closable) // for other connections either
	_, err = fmt.Fprint(server, "OK")
	is.NoErr(err)
	n, err = caller.Read(buf)
	is.NoErr(err)
	is.Equal(string(buf[:n]), "OK")
	is.NoErr(server.Close())
}

// TestNoSendAfterIdleClose closes a connection as idle between the arrival of a
// request and its handling. The request must not be sent to an upstream, since
// its response would be lost.
func TestNoSendAfterIdleClose(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	caller, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer func() { _ = caller.Close() }()
	server, err := listener{ln, testTracker()}.Accept()
	is.NoErr(err)
	h := startHarness(t, startStub(t, "u1", respondOK))
	is.Equal(h.do("GET", "/once/x", "").status, 200) // leaves an idle connection to the upstream
	h.relayer.setConnState(server, fasthttp.StateIdle)
	h.relayer.CloseIdleConnections()
	ctx := &fasthttp.RequestCtx{}
	ctx.Init2(server, nil, false)
	ctx.Request.Header.SetHost("h")
	ctx.Request.SetRequestURI("/once/x")
	h.relayer.handle(ctx)
	is.Equal(h.runs(), 1)
}

// TestNoSendAfterCallerLeft handles a request late, after its caller has given up and closed
// the connection, also behind a further request.
func TestNoSendAfterCallerLeft(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	h := startHarness(t, startStub(t, "u1", respondOK))
	for _, tt := range []struct {
		leaves bool
		unread string
	}{{}, {leaves: true}, {leaves: true, unread: "GET /safe/y HTTP/1.1\r\nHost: h\r\nId: q2\r\n\r\n"}} {
		caller, err := net.Dial("tcp", ln.Addr().String())
		is.NoErr(err)
		defer func() { _ = caller.Close() }()
		accepted, err := listener{ln, testTracker()}.Accept()
		is.NoErr(err)
		server := accepted.(*conn)
		_, err = io.WriteString(caller, tt.unread)
		is.NoErr(err)
		if tt.leaves {
			is.NoErr(caller.Close())
			is.True(awaitClose(server))
		}
		ctx := &fasthttp.RequestCtx{}
		ctx.Init2(server, nil, false)
		ctx.Request.Header.SetHost("h")
		ctx.Request.Header.Set("Id", "q1")
		ctx.Request.SetRequestURI("/once/x")
		h.relayer.handle(ctx)
		is.Equal(h.runs(), 1) // the one of the caller that stayed
	}
}

// awaitClose waits until the end of the caller's connection has arrived, without reading what
// is before it. It reports whether it has.
func awaitClose(c *conn) (closed bool) {
	for until := time.Now().Add(10 * time.Second); !closed && time.Now().Before(until); time.Sleep(time.Millisecond) {
		_ = c.raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			closed = err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
		})
	}
	return closed
}

// TestCloseWithUnreadRequestSendsNoReset closes a connection with an unread
// request after a response. The caller must receive the response and no reset.
func TestCloseWithUnreadRequestSendsNoReset(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	caller, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	server, err := listener{ln, testTracker()}.Accept()
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

// TestEndReadsAwaitsResponses ends the reads while the last response is on its way to the
// caller. The connection stays open until the caller has closed it.
func TestEndReadsAwaitsResponses(t *testing.T) {
	is := is.New(t)
	tracker := testTracker()
	tracker.draining.Store(true)
	caller, server := acceptOne(t, tracker)
	_, err := fmt.Fprint(caller, "GET")
	is.NoErr(err)
	_, err = server.Read(make([]byte, 8))
	is.NoErr(err)
	_, err = fmt.Fprint(server, "answer")
	is.NoErr(err)
	is.NoErr(server.Close())
	tracker.endReads()
	time.Sleep(20 * time.Millisecond)
	is.Equal(tracker.openCount(), 1)
	data, err := io.ReadAll(caller)
	is.NoErr(err)
	is.Equal(string(data), "answer")
	is.NoErr(caller.Close())
	for tracker.openCount() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestResponseArrivesInDrain writes further bytes behind a request while a connection is
// drained. The connection ends after the first response, most of which is still in the
// kernel's buffers then. The caller must get all of it.
func TestResponseArrivesInDrain(t *testing.T) {
	is := is.New(t)
	const size = 2 << 20
	h := startHarness(t, startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.reply(c, r, 200, strings.Repeat("x", size))
	}))
	h.relayer.StartDrain()
	c, err := (&net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}).Dial("tcp", h.address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	is.NoErr(c.SetDeadline(time.Now().Add(20 * time.Second)))
	_, err = fmt.Fprint(c, "GET /safe/x HTTP/1.1\r\nHost: h\r\nId: q1\r\n\r\n")
	is.NoErr(err)
	reader := bufio.NewReader(c)
	res, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.True(res.Close)
	// Until the response has been handed to the kernel, or the connection is closed.
	for until := time.Now().Add(2 * time.Second); h.relayer.Conns().Active > 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	_, err = fmt.Fprint(c, "GET /safe/y HTTP/1.1\r\nHost: h\r\nId: q2\r\n\r\n")
	is.NoErr(err)
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.Equal(len(body), size)
	is.Equal(h.relayer.Conns().Open, 1) // until the caller has closed
	is.NoErr(c.Close())
	for h.relayer.Conns().Open > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestCallerClosesWithPipelinedRequest closes a connection with an unread
// pipelined request while the first request is in progress at an upstream.
func TestCallerClosesWithPipelinedRequest(t *testing.T) {
	is := is.New(t)
	began, ended := make(chan struct{}), make(chan error, 1)
	h := startHarness(t, startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.recordRun(r)
		close(began)
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, err := c.Read(make([]byte, 1))
		ended <- err
	}))
	c, err := net.Dial("tcp", h.address)
	is.NoErr(err)
	_, err = fmt.Fprint(c, "GET /safe/x HTTP/1.1\r\nHost: h\r\nId: q1\r\n\r\n")
	is.NoErr(err)
	<-began
	_, err = fmt.Fprint(c, "GET /safe/y HTTP/1.1\r\nHost: h\r\nId: q2\r\n\r\n")
	is.NoErr(err)
	is.NoErr(c.Close())
	is.True(errors.Is(<-ended, syscall.ECONNRESET)) // the exchange is canceled and nothing else is sent
	is.Equal(h.runs(), 1)
}

// TestNoRetryAfterCallerCloses closes the connection of a caller whose request
// is about to be sent again after the first upstream has refused it.
func TestNoRetryAfterCallerCloses(t *testing.T) {
	for _, kind := range []string{"safe", "once"} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			received, left := make(chan struct{}, 8), make(chan struct{})
			serve := func(_ *upstreamStub, c net.Conn, r *http.Request, _ string) {
				received <- struct{}{}
				<-left
				_, _ = fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nNotrun: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
			}
			h := startHarness(t, startStub(t, "u1", serve), startStub(t, "u2", serve))
			c, err := net.Dial("tcp", h.address)
			is.NoErr(err)
			_, err = fmt.Fprintf(c, "GET /%s/x HTTP/1.1\r\nHost: h\r\nId: q1\r\n\r\n", kind)
			is.NoErr(err)
			<-received
			is.NoErr(c.Close())
			close(left)
			for h.relayer.Conns().Active > 0 {
				time.Sleep(time.Millisecond)
			}
			is.Equal(len(received), 0) // not sent to the second upstream
		})
	}
}

// TestPausedProcessRefusesRequests resumes a paused process with a table that is
// no longer valid, and with a view that is marked stale. No request is sent by
// either.
func TestPausedProcessRefusesRequests(t *testing.T) {
	is := is.New(t)
	h := startHarness(t, startStub(t, "u1", respondOK))
	validUntil := &atomic.Int64{}
	h.relayer.cfg.TablesValidUntil = validUntil
	validUntil.Store(h.now() - 1)
	a := h.do("POST", "/once/x", "body")
	is.Equal(a.status, 503)
	is.True(a.header.Get("Retry-After") != "")
	validUntil.Store(h.now() + int64(time.Hour))
	h.publish(func(v *steerer.View) { v.Stale = true })
	is.Equal(h.do("POST", "/once/x", "body").status, 503)
	is.Equal(h.runs(), 0)
	h.publish()
	is.Equal(h.do("POST", "/once/x", "body").status, 200)
}
