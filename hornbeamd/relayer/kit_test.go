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
	"hornbeamstream.example/core/steerer"
)

// plain is a dialect with short names.
type plain struct{}

func (plain) ReadRequest(h *fasthttp.RequestHeader) RequestInfo {
	left, err := strconv.Atoi(string(h.Peek("Left")))
	if err != nil {
		left = 0
	}
	return RequestInfo{ID: h.Peek("Id"), CallerTimeout: time.Duration(left) * time.Millisecond, Key: h.Peek("Key")}
}

func (plain) WriteRequest(h *fasthttp.RequestHeader, upstream string, left time.Duration) {
	h.Set("Left", strconv.Itoa(int(left.Milliseconds())))
	h.Set("Expect", upstream)
}

func (plain) ReadResponse(h *fasthttp.ResponseHeader) ResponseInfo {
	pause, err := strconv.Atoi(string(h.Peek("Pause")))
	if err != nil {
		pause = 0
	}
	return ResponseInfo{
		RequestID: h.Peek("Id"), NotRun: len(h.Peek("Notrun")) > 0, Signed: len(h.Peek("Sign")) > 0,
		Leaving: len(h.Peek("Leaving")) > 0, Pause: time.Duration(pause) * time.Millisecond,
	}
}

func (plain) RemoveSignature(h *fasthttp.ResponseHeader) { h.Del("Sign") }

// noMetrics counts nothing.
type noMetrics struct{}

func (noMetrics) RequestDone(string, string, time.Duration) {}
func (noMetrics) ExchangeDone(string, string)               {}
func (noMetrics) Dialed(string)                             {}
func (noMetrics) UpstreamSignal(string, string)             {}

// upstreamStub is an upstream whose handler writes raw bytes, so that it can
// break any rule of the protocol. It counts the requests that it has run.
type upstreamStub struct {
	id       string
	listener net.Listener
	serve    func(s *upstreamStub, c net.Conn, r *http.Request, body string)

	mu   sync.Mutex
	runs []string
	seen []*http.Request
	// open has the accepted connections.
	open []net.Conn
	// conns counts accepted connections, cut those that ended while a request
	// was at work.
	conns, cut atomic.Int64
}

func startStub(t *testing.T, id string, serve func(*upstreamStub, net.Conn, *http.Request, string)) *upstreamStub {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := &upstreamStub{id: id, listener: ln, serve: serve}
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
			go s.talk(c)
		}
	}()
	return s
}

// close ends the stub with its connections, so that many of them leave none behind.
func (s *upstreamStub) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.open {
		_ = c.Close()
	}
}

func (s *upstreamStub) talk(c net.Conn) {
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

func (s *upstreamStub) run(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, r.Header.Get("Id"))
}

func (s *upstreamStub) ran() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// reply writes an answer of the upstream to a request that has run.
func (s *upstreamStub) reply(c io.Writer, r *http.Request, status int, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\nSign: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, r.Header.Get("Id"), s.id, len(body), body)
}

// good answers at once.
func good(s *upstreamStub, c net.Conn, r *http.Request, body string) {
	s.run(r)
	s.reply(c, r, 200, s.id+" "+r.Method+" "+r.RequestURI+" "+body)
}

// rig is a relayer before some upstreams. All requests go to the service s, on
// /safe/ routes those that may be repeated, on /once/ the others.
type rig struct {
	relayer *Relayer
	tables  atomic.Pointer[dispatcher.Table]
	builder dispatcher.Builder
	address string
	began   time.Time
	stubs   []*upstreamStub
}

func startRig(t *testing.T, stubs ...*upstreamStub) *rig {
	t.Helper()
	is := is.New(t)
	g := &rig{began: time.Now(), stubs: stubs}
	g.builder = dispatcher.Builder{Self: steerer.Instance{Name: "i", Domain: "a", Region: "r"}, Regions: map[string]string{"a": "r"}, Bounds: steerer.Bounds{ColdSlack: 5}}
	g.relayer = New(Config{Tables: &g.tables, HeaderCodec: plain{}, Metrics: noMetrics{}, Log: logr.Discard(), Now: g.now, ReuseAge: 10 * time.Second, NonIdempotentReuseAge: 4 * time.Second})
	g.publish()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	g.address = ln.Addr().String()
	go func() { _ = g.relayer.Serve(ln) }()
	t.Cleanup(func() {
		_ = ln.Close()
		g.publish(func(v *steerer.View) { v.Upstreams = nil })
		// Closes the connections to the upstreams that are gone.
		g.relayer.Maintain()
	})
	return g
}

func (g *rig) now() int64 { return int64(time.Since(g.began)) + 1 }

const rigTimeout = 1500 * time.Millisecond

func (g *rig) publish(edit ...func(*steerer.View)) {
	route := func(name string, idempotent bool) steerer.Route {
		return steerer.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: idempotent, Timeout: rigTimeout,
			Aim: 100 * time.Millisecond, Attempts: 2, Parts: []steerer.WeightedService{{Service: "s", Weight: 1}},
		}
	}
	v := steerer.View{Ready: true, Config: &steerer.Config{
		Version:  1,
		Services: []steerer.Service{{Name: "s", Conns: 100, ColdRate: 10}},
		Routes:   []steerer.Route{route("safe", true), route("once", false)},
	}}
	for _, s := range g.stubs {
		v.Upstreams = append(v.Upstreams, steerer.Upstream{ID: s.id, Service: "s", Address: s.listener.Addr().String(), Domain: "a", Slots: 4})
	}
	for _, f := range edit {
		f(&v)
	}
	g.tables.Store(g.builder.Build(v, g.now()))
}

// got is what a caller sees.
type got struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a got) String() string {
	if a.err != nil {
		return "no answer"
	}
	return fmt.Sprintf("%d signed %t %q", a.status, a.header.Get("Sign") != "", a.body)
}

// ask sends one request on a connection of its own.
func (g *rig) ask(method, uri, body string, header ...string) got {
	return g.askContext(context.Background(), method, uri, body, header...)
}

func (g *rig) askContext(ctx context.Context, method, uri, body string, header ...string) (a got) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+g.address+uri, strings.NewReader(body))
	if err != nil {
		return got{err: err}
	}
	r.Host, r.Close = "h", true
	r.Header.Set("Id", "q1")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultTransport.(*http.Transport).Clone().RoundTrip(r)
	if err != nil {
		return got{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return got{res.StatusCode, res.Header, string(data), err}
}

// runs is the number of times that upstreams have run the request.
func (g *rig) runs() (n int) {
	for _, s := range g.stubs {
		n += s.ran()
	}
	return n
}
