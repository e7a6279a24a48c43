package relayer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/core/quarantiner"
	"hornbeamstream.example/core/steerer"
)

// testCodec is a HeaderCodec with short field names.
type testCodec struct{}

func (testCodec) ReadRequest(h *fasthttp.RequestHeader) RequestInfo {
	left, err := strconv.Atoi(string(h.Peek("Left")))
	if err != nil {
		left = 0
	}
	return RequestInfo{ID: h.Peek("Id"), CallerTimeout: time.Duration(left) * time.Millisecond, Key: h.Peek("Key"), Credential: h.Peek("Credential")}
}

func (testCodec) IsIdentity(name []byte) bool {
	return string(name) == "Credential" || string(name) == "Workspace"
}

func (testCodec) WriteRequest(h *fasthttp.RequestHeader, upstream, workspace string, left time.Duration) {
	if workspace != "" {
		h.Set("Workspace", workspace)
	}
	h.Set("Left", strconv.Itoa(int(left.Milliseconds())))
	h.Set("Expect", upstream)
}

func (testCodec) WriteProbe(h *fasthttp.RequestHeader, upstream string) {
	h.Set("Expect", upstream)
}

func (testCodec) ReadResponse(h *fasthttp.ResponseHeader) ResponseInfo {
	pause, err := strconv.Atoi(string(h.Peek("Pause")))
	if err != nil {
		pause = 0
	}
	cold, err := strconv.Atoi(string(h.Peek("Cold")))
	if err != nil {
		cold = 0
	}
	limit, err := strconv.ParseFloat(string(h.Peek("Limit")), 64)
	return ResponseInfo{
		RateLimit:  dispatcher.RateLimit{Stated: len(h.Peek("Limit")) > 0, Valid: err == nil, PerSecond: limit},
		UpstreamID: h.Peek("Upstream"), ColdLeft: time.Duration(cold) * time.Millisecond,
		RequestID: h.Peek("Id"), NotRun: len(h.Peek("Notrun")) > 0, Signed: len(h.Peek("Sign")) > 0,
		Leaving: len(h.Peek("Leaving")) > 0, Pause: time.Duration(pause) * time.Millisecond,
	}
}

func (testCodec) RemoveSignature(h *fasthttp.ResponseHeader) { h.Del("Sign") }

// noMetrics discards all metrics.
type noMetrics struct{}

func (noMetrics) RequestDone(string, string, time.Duration) {}
func (noMetrics) ExchangeDone(string, string)               {}
func (noMetrics) ProbeDone(string, string)                  {}
func (noMetrics) Dialed(string)                             {}
func (noMetrics) PoolSelected(string, string)               {}
func (noMetrics) UpstreamSignal(string, string)             {}
func (noMetrics) LimitedSend(string, bool)                  {}
func (noMetrics) CallerEvicted(string)                      {}

// upstreamStub is an upstream whose handler writes raw bytes, so that it can
// violate the protocol. It records the requests that it has run.
type upstreamStub struct {
	id       string
	listener net.Listener
	serve    func(s *upstreamStub, c net.Conn, r *http.Request, body string)

	mu   sync.Mutex
	runs []string
	seen []*http.Request
	// open holds the accepted connections.
	open []net.Conn
	// conns counts the accepted connections, cut those that ended while a
	// request was in progress.
	conns, cut atomic.Int64
}

func startStub(t *testing.T, id string, serve func(*upstreamStub, net.Conn, *http.Request, string)) *upstreamStub {
	t.Helper()
	return startStubConns(t, &upstreamStub{id: id, serve: serve}, (*upstreamStub).serveConn)
}

// startStubConns starts an upstream that serves each connection with the given function.
func startStubConns(t *testing.T, s *upstreamStub, serveConn func(*upstreamStub, net.Conn)) *upstreamStub {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s.listener = ln
	t.Cleanup(s.close)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			s.mu.Lock()
			s.open = append(s.open, c)
			s.mu.Unlock()
			go serveConn(s, c)
		}
	}()
	return s
}

// close closes the listener and the connections, so that many stubs leave none
// open.
func (s *upstreamStub) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.open {
		_ = c.Close()
	}
}

func (s *upstreamStub) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.seen = append(s.seen, r)
		s.mu.Unlock()
		s.serve(s, c, r, string(body))
	}
}

func (s *upstreamStub) recordRun(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, r.Header.Get("Id"))
}

func (s *upstreamStub) runCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// reply writes a signed response to a request that has run.
func (s *upstreamStub) reply(c io.Writer, r *http.Request, status int, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\nSign: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, r.Header.Get("Id"), s.id, len(body), body)
}

// respondOK responds at once.
func respondOK(s *upstreamStub, c net.Conn, r *http.Request, body string) {
	s.recordRun(r)
	s.reply(c, r, 200, s.id+" "+r.Method+" "+r.RequestURI+" "+body)
}

// harness is a relayer with stub upstreams. All requests go to the service s.
// Those on /safe/ are idempotent, those on /once/ are not.
type harness struct {
	relayer *Relayer
	tables  atomic.Pointer[dispatcher.Table]
	// quarantine has the requests that the relayer refuses.
	quarantine atomic.Pointer[quarantiner.Set]
	builder    dispatcher.Builder
	address    string
	began      time.Time
	stubs      []*upstreamStub
}

func startHarness(t *testing.T, stubs ...*upstreamStub) *harness {
	t.Helper()
	return startHarnessWith(t, func(*Config) {}, stubs...)
}

// startHarnessWith starts a harness with other settings.
func startHarnessWith(t *testing.T, edit func(*Config), stubs ...*upstreamStub) *harness {
	t.Helper()
	is := is.New(t)
	h := &harness{began: time.Now(), stubs: stubs}
	h.builder = dispatcher.Builder{Self: steerer.Instance{Name: "i", Domain: "a", Region: "r"}, Regions: map[string]string{"a": "r"}, Bounds: steerer.Bounds{ColdSlack: 5}}
	cfg := Config{Tables: &h.tables, Quarantine: &h.quarantine, HeaderCodec: testCodec{}, Metrics: noMetrics{}, Log: logr.Discard(), Now: h.now, ReuseAge: 10 * time.Second, NonIdempotentReuseAge: 4 * time.Second}
	edit(&cfg)
	h.relayer = New(cfg)
	h.publish()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	h.address = ln.Addr().String()
	go func() { _ = h.relayer.Serve(ln) }()
	t.Cleanup(func() {
		_ = ln.Close()
		h.publish(func(v *steerer.View) { v.Upstreams = nil })
		// Closes the connections to the removed upstreams.
		h.relayer.Maintain()
	})
	return h
}

func (h *harness) now() int64 { return int64(time.Since(h.began)) + 1 }

const routeTimeout = 1500 * time.Millisecond

func (h *harness) publish(edit ...func(*steerer.View)) {
	route := func(name string, idempotent bool) steerer.Route {
		return steerer.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: idempotent, Timeout: routeTimeout,
			Aim: 100 * time.Millisecond, Attempts: 2, Parts: []steerer.WeightedService{{Service: "s", Weight: 1}},
		}
	}
	v := steerer.View{Ready: true, Config: &steerer.Config{
		Version:  1,
		Services: []steerer.Service{{Name: "s", Conns: 100, ColdRate: 10}},
		Routes:   []steerer.Route{route("safe", true), route("once", false)},
	}}
	for _, s := range h.stubs {
		v.Upstreams = append(v.Upstreams, steerer.Upstream{ID: s.id, Service: "s", Address: s.listener.Addr().String(), Domain: "a", Slots: 4})
	}
	for _, f := range edit {
		f(&v)
	}
	h.tables.Store(h.builder.Build(v, h.now()))
}

// callerResponse is the response that a caller gets.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a callerResponse) String() string {
	if a.err != nil {
		return "no answer"
	}
	return fmt.Sprintf("%d signed %t %q", a.status, a.header.Get("Sign") != "", a.body)
}

// do sends a request on a new connection.
func (h *harness) do(method, uri, body string, header ...string) callerResponse {
	return h.doContext(context.Background(), method, uri, body, header...)
}

func (h *harness) doContext(ctx context.Context, method, uri, body string, header ...string) (a callerResponse) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DisableKeepAlives = true
	return h.doWith(ctx, transport, method, uri, body, header...)
}

// doWith sends a request over the given transport.
func (h *harness) doWith(ctx context.Context, transport *http.Transport, method, uri, body string, header ...string) (a callerResponse) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.address+uri, strings.NewReader(body))
	if err != nil {
		return callerResponse{err: err}
	}
	r.Host = "h"
	r.Header.Set("Id", "q1")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	res, err := transport.RoundTrip(r)
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return callerResponse{res.StatusCode, res.Header, string(data), err}
}

// runs returns how many times the upstreams have run a request.
func (h *harness) runs() (n int) {
	for _, s := range h.stubs {
		n += s.runCount()
	}
	return n
}

// exchange returns an exchange with an upstream that was chosen just now and has not
// begun.
func (h *harness) exchange(u *dispatcher.Upstream) *exchange {
	t := h.tables.Load()
	c := &call{
		ctx: &fasthttp.RequestCtx{}, table: t, codec: testCodec{}, deadline: h.now() + int64(routeTimeout),
		route: t.Route("h", "/once/"), pool: t.Pool("s"), start: h.now(),
	}
	return &exchange{relayer: h.relayer, call: c, target: u, pool: h.relayer.pool(u), response: &fasthttp.Response{}, admittedAt: h.now(), rerouteAt: c.deadline}
}
