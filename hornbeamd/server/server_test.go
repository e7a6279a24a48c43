package server

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/router"
	"hornbeamstream.example/hornbeamd/forwarder"
)

const nowMillis = 1_700_000_000_000 // Unix ms

// fake implements Tables, Handler and Resolver.
type fake struct {
	forwarded []forwarder.Request
	hold      chan struct{}
	// starting simulates an instance without configuration.
	starting bool
}

func (f *fake) Table() *router.Table {
	if f.starting {
		return &router.Table{}
	}
	return &router.Table{Version: 1, Services: map[string]*router.Service{
		"posting": {Name: "posting", AtMostOnce: true, Priority: 2, Timeout: int64(2 * time.Second), MaxBodyBytes: 10},
	}}
}

func (f *fake) HomeRegion(netip.Addr) string { return "north" }

func (f *fake) AppendAnswer(dst []byte, addr netip.Addr, until int64) []byte {
	return fmt.Appendf(dst, `{"entries":["10.0.0.1:80",%q],"until":%d}`, addr.String(), until)
}

func (f *fake) Forward(ctx *fasthttp.RequestCtx, r *forwarder.Request) {
	if f.hold != nil {
		<-f.hold
	} else {
		r.ID = bytes.Clone(r.ID)
		f.forwarded = append(f.forwarded, *r)
	}
	ctx.SetBodyString("done")
}

func newServer(f *fake, hops bool) *Server {
	return New(Config{Tables: f, Handler: f, Resolver: f, Hops: hops, Now: func() int64 { return nowMillis * 1e6 }})
}

// wire is an in-memory connection with all input available.
type memoryConn struct {
	io.Reader
	bytes.Buffer
}

func (w *memoryConn) Read(p []byte) (int, error)       { return w.Reader.Read(p) }
func (*memoryConn) Close() error                       { return nil }
func (*memoryConn) LocalAddr() net.Addr                { return &net.TCPAddr{} }
func (*memoryConn) RemoteAddr() net.Addr               { return &net.TCPAddr{IP: net.IPv4(127, 20, 1, 9)} }
func (*memoryConn) SetDeadline(time.Time) error        { return nil }
func (*memoryConn) SetReadDeadline(time.Time) error    { return nil }
func (*memoryConn) SetWriteDeadline(_ time.Time) error { return nil }

func exchange(s *Server, input string) *http.Response {
	w := &memoryConn{Reader: strings.NewReader(input)}
	_ = s.http.ServeConn(w)
	resp, err := http.ReadResponse(bufio.NewReader(&w.Buffer), nil)
	if err != nil {
		return nil
	}
	return resp
}

// TestBadRequests guards against forwarding malformed, oversized or unknown requests.
func TestBadRequests(t *testing.T) {
	tests := []struct {
		name, path, headers string
		hops                bool
		status              int
	}{
		{"good", "/s/posting/a?b=c", "Horn-Id: a\r\n", false, 200},
		{"good without path", "/s/posting", "", false, 200},
		{"unknown service", "/s/other/", "", false, 404},
		{"no service", "/s//", "", false, 404},
		{"no path", "/x", "", false, 404},
		{"absolute", "http://h/s/posting/", "", false, 404},
		{"empty id", "/s/posting/", "Horn-Id:\r\n", false, 400},
		{"long id", "/s/posting/", "Horn-Id: " + strings.Repeat("x", 65) + "\r\n", false, 400},
		{"id with space", "/s/posting/", "Horn-Id: a b\r\n", false, 400},
		{"two ids", "/s/posting/", "Horn-Id: a\r\nhorn-id: b\r\n", false, 400},
		{"deadline", "/s/posting/", "Horn-Deadline: soon\r\n", false, 400},
		{"deadline overflow", "/s/posting/", "Horn-Deadline: 9999999999999999999\r\n", false, 400},
		{"negative deadline", "/s/posting/", "Horn-Deadline: -1\r\n", false, 400},
		{"past deadline", "/s/posting/", "Horn-Deadline: 1700000000000\r\n", false, 503},
		{"past deadline of a hop", "/s/posting/", "Horn-Hop: 7\r\nHorn-Attempt: 2\r\nHorn-Deadline: 1700000000000\r\n", true, 503},
		{"past deadline of a repeat", "/s/posting/", "Horn-Attempt: 2\r\nHorn-Deadline: 1700000000000\r\n", false, 504},
		{"attempt", "/s/posting/", "Horn-Attempt: 0\r\n", false, 400},
		{"priority", "/s/posting/", "Horn-Priority: 10\r\n", false, 400},
		{"sent", "/s/posting/", "Horn-Sent: x\r\n", false, 400},
		{"space in path", "/s/posting/a b", "", false, 400},
		{"large header", "/s/posting/", "X: " + strings.Repeat("x", 9000) + "\r\n", false, 431},
		{"malformed header", "/s/posting/", "X\r\n", false, 400},
		{"two lengths", "/s/posting/", "Content-Length: 1\r\nContent-Length: 2\r\n", false, 400},
		{"hop", "/s/posting/", "Horn-Hop: 7\r\nHorn-Block: 127.20.2.1\r\n", true, 200},
		{"no hop", "/s/posting/", "", true, 400},
		{"hop without version", "/s/posting/", "Horn-Hop: x\r\n", true, 400},
		{"hop with bad block", "/s/posting/", "Horn-Hop: 7\r\nHorn-Block: x\r\n", true, 400},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &fake{}
			resp := exchange(newServer(f, tt.hops), "GET "+tt.path+" HTTP/1.1\r\nHost: x\r\n"+tt.headers+"\r\n")
			is.True(resp != nil)
			is.Equal(resp.StatusCode, tt.status)
			if tt.status == 200 {
				is.Equal(len(f.forwarded), 1)
				return
			}
			is.Equal(resp.Header.Get("Horn-Outcome") == "notrun", tt.status != 504) // an earlier attempt may have run
			is.Equal(len(f.forwarded), 0)
			b, _ := io.ReadAll(resp.Body)
			is.Equal(strings.Count(string(b), ".\n"), 1) // one sentence
		})
	}
}

// TestStarting guards against final responses from an instance without
// configuration, and against a refused hop not reported as notrun to its origin.
func TestStarting(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct {
		path, attempt, outcome string
		hops                   bool
		status                 int
	}{
		{"/s/posting/", "1", "notrun", false, 503},
		{"/s/other/", "1", "notrun", false, 503},
		{"/s/posting/", "2", "unknown", false, 504}, // an earlier attempt may have run elsewhere
		{"/s/posting/", "2", "notrun", true, 503},
		{"/v1/lookup", "1", "", false, 200},
		{"/health", "1", "", false, 200},
	} {
		f := &fake{starting: true}
		resp := exchange(newServer(f, tt.hops), "POST "+tt.path+" HTTP/1.1\r\nHost: x\r\nHorn-Hop: 7\r\nHorn-Id: a\r\nHorn-Attempt: "+tt.attempt+"\r\n\r\n")
		is.Equal(resp.StatusCode, tt.status)
		is.Equal(resp.Header.Get("Horn-Outcome"), tt.outcome)
		if tt.outcome != "" {
			is.Equal(resp.Header.Get("Horn-Reason"), "starting")
			is.Equal(resp.Header.Get("Horn-Id"), "a")
			is.True(resp.Header.Get("Horn-Retry") > strconv.Itoa(nowMillis))
		}
		is.Equal(len(f.forwarded), 0)
	}
}

// TestDefaults guards against callers that raise their priority, exceed the limit
// or set their own block.
func TestDefaults(t *testing.T) {
	is := is.New(t)
	f := &fake{}
	limit := int64(nowMillis+2000) * 1e6
	for _, tt := range []struct {
		headers  string
		hops     bool
		deadline int64
		sent     int64
		priority int
		block    string
	}{
		{"", false, limit, 0, 2, "127.20.1.9"},
		{"Horn-Priority: 1\r\nHorn-Deadline: 1900000000000\r\n", false, limit, nowMillis * 1e6, 2, "127.20.1.9"},
		{"Horn-Priority: 5\r\nHorn-Deadline: 1700000000100\r\nHorn-Sent: 1699999999999\r\n", false, (nowMillis + 100) * 1e6, (nowMillis - 1) * 1e6, 5, "127.20.1.9"},
		{"Horn-Hop: 1\r\nHorn-Block: 127.20.2.1\r\n", false, limit, 0, 2, "127.20.1.9"},
		{"Horn-Hop: 1\r\nHorn-Block: 127.20.2.1\r\n", true, limit, 0, 2, "127.20.2.1"},
		{"Horn-Hop: 1\r\nHorn-Deadline: 1900000000000\r\n", true, limit, nowMillis * 1e6, 2, "127.20.1.9"},
	} {
		resp := exchange(newServer(f, tt.hops), "POST /s/posting/ HTTP/1.1\r\nHost: x\r\n"+tt.headers+"\r\n")
		is.Equal(resp.StatusCode, 200)
		r := f.forwarded[len(f.forwarded)-1]
		is.Equal(r.Deadline, tt.deadline)
		is.Equal(r.FirstSent, tt.sent)
		is.Equal(r.Priority, tt.priority)
		is.Equal(r.Block.String(), tt.block)
		is.Equal(r.HomeRegion, "north")
		is.Equal(len(r.ID), 32)
		is.True(!r.IDFromCaller)
	}
}

// TestLookup checks the format of look-up and health responses.
func TestLookup(t *testing.T) {
	is := is.New(t)
	s := newServer(&fake{}, false)
	for path, want := range map[string]string{
		"/v1/lookup":                   `{"entries":["10.0.0.1:80","127.20.1.9"],"until":1700000005000}` + "\n",
		"/v1/lookup?block=127.20.3.1":  `{"entries":["10.0.0.1:80","127.20.3.1"],"until":1700000005000}` + "\n",
		"/v1/lookup?block=example.com": "The block is not an IP address.\n",
		"/health":                      `{"state":"ready"}` + "\n",
	} {
		resp := exchange(s, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
		b, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(b), want)
	}
}

// TestShutdown guards against a shutdown that aborts requests or refuses callers
// which still have the instance in a cached look-up.
func TestShutdown(t *testing.T) {
	is := is.New(t)
	f := &fake{hold: make(chan struct{})}
	s := newServer(f, false)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	answers := make(chan error, 2)
	ask := func(path string) (resp *http.Response, err error) {
		resp, err = http.Get("http://" + ln.Addr().String() + path)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		return resp, err
	}
	go func() {
		_, err := ask("/s/posting/")
		answers <- err
	}()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background(), time.Now().Add(50*time.Millisecond)) }()
	closes := func() bool {
		resp, err := ask("/health")
		is.NoErr(err)
		return resp.Close && resp.Header.Get("Horn-State") == "leaving"
	}
	for !closes() {
		time.Sleep(time.Millisecond)
	}
	go func() {
		_, err := ask("/s/posting/")
		answers <- err
	}()
	is.NoErr(<-served) // no new connections
	select {
	case <-stopped:
		t.Fatal("stopped while requests were in flight")
	default:
	}
	close(f.hold)
	is.NoErr(<-answers)
	is.NoErr(<-answers)
	is.NoErr(<-stopped)
}

// TestShutdownServesSilentConns guards against a shutdown that ends while a request can still
// arrive: on a connection that was silent, or behind a part of the header.
func TestShutdownServesSilentConns(t *testing.T) {
	const request = "GET /s/posting/ HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, early := range map[string]string{"silent": "", "part of a header": request[:20]} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := &fake{hold: make(chan struct{})}
			s := newServer(f, false)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			served, stopped := make(chan error, 1), make(chan error, 1)
			go func() { served <- s.Serve(ln) }()
			c, err := net.Dial("tcp", ln.Addr().String())
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, early)
			is.NoErr(err)
			go func() { stopped <- s.Shutdown(context.Background(), time.Now()) }()
			is.NoErr(<-served) // no new connections
			_, err = io.WriteString(c, request[len(early):])
			is.NoErr(err)
			time.Sleep(300 * time.Millisecond) // several looks of the shutdown
			is.Equal(len(stopped), 0)
			close(f.hold)
			response, err := io.ReadAll(c)
			is.NoErr(err)
			is.True(strings.HasPrefix(string(response), "HTTP/1.1 200 "))
			is.NoErr(<-stopped)
		})
	}
}

// FuzzRequest guards against headers that make the server forward a request
// with an invalid id, deadline, attempt or priority.
func FuzzRequest(f *testing.F) {
	f.Add("/s/posting/", "a", "1700000000100", "2", "3")
	f.Add("/s/posting", "", "-1", "0", "10")
	f.Add("/s/posting/\x7f?", "a b", "99999999999999999999", "+1", "")
	f.Fuzz(func(t *testing.T, path, id, deadline, attempt, priority string) {
		h := &fake{}
		resp := exchange(newServer(h, false), "GET "+path+" HTTP/1.1\r\nHorn-Id: "+id+"\r\nHorn-Deadline: "+deadline+
			"\r\nHorn-Attempt: "+attempt+"\r\nHorn-Priority: "+priority+"\r\n\r\n")
		for _, r := range h.forwarded {
			if forwarder.ValidateID(r.ID) != nil || r.Attempt < 1 || r.Priority < 2 || r.Priority > 9 {
				t.Fatalf("forwarded %+v", r)
			}
			if r.Deadline <= r.Arrived || r.Deadline > r.Arrived+r.Service.Timeout || r.FirstSent < 0 {
				t.Fatalf("times of %+v", r)
			}
		}
		if len(h.forwarded) == 0 && resp != nil && strings.HasPrefix(path, "/s/") && resp.StatusCode != 504 && resp.Header.Get("Horn-Outcome") != "notrun" {
			t.Fatalf("refused without outcome: %d", resp.StatusCode)
		}
	})
}

// FuzzNumber guards against parsing numbers differently from strconv.ParseInt.
func FuzzNumber(f *testing.F) {
	f.Add("0")
	f.Add("9223372036854775807")
	f.Add("18446744073709551616")
	f.Fuzz(func(t *testing.T, text string) {
		got, err := forwarder.ParseNumber([]byte(text), 1<<63-1)
		want, werr := strconv.ParseInt(text, 10, 64)
		plain := strings.Trim(text, "0123456789") == "" && len(text) <= 19
		if (err == nil) != (werr == nil && plain) || err == nil && got != want {
			t.Fatalf("%q: %d, %v; want %d, %v", text, got, err, want, werr)
		}
	})
}
