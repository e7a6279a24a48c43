package relayer

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/steerer"
)

// TestProbe checks what a health check tells, and that a connection on which it has failed
// is not used again.
func TestProbe(t *testing.T) {
	answer := func(header string) func(*upstreamStub, net.Conn, *http.Request, string) {
		return func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
			if r.RequestURI != "/health" {
				respondOK(s, c, r, body)
				return
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: 0\r\n\r\n", r.Header.Get("Id"), header)
		}
	}
	tests := []struct {
		name  string
		serve func(*upstreamStub, net.Conn, *http.Request, string)
		left  time.Duration
		ok    bool
		// conns is the number of connections that a check and a request need.
		conns int64
	}{
		{"cold", answer("Upstream: u1\r\nCold: 2500\r\n"), 2500 * time.Millisecond, true, 1},
		{"warm", answer("Upstream: u1\r\n"), 0, true, 1},
		{"another upstream", answer("Upstream: u2\r\nCold: 2500\r\n"), 0, false, 2},
		{"another request", func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
			if r.RequestURI == "/health" {
				r.Header.Set("Id", "q0")
			}
			answer("Upstream: u1\r\n")(s, c, r, body)
		}, 0, false, 2},
		{"closes", answer("Upstream: u1\r\nCold: 7\r\nConnection: close\r\n"), 7 * time.Millisecond, true, 2},
		{"says nothing", answer(""), 0, false, 2},
		{"misdirected", func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
			if r.Header.Get("Expect") != "u1" || r.RequestURI == "/health" {
				_, _ = fmt.Fprint(c, "HTTP/1.1 421 X\r\nUpstream: u2\r\nCold: 9\r\nContent-Length: 0\r\n\r\n")
				return
			}
			respondOK(s, c, r, body)
		}, 0, false, 2},
		{"is silent", func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
			if r.RequestURI == "/health" {
				time.Sleep(probeTimeout + 500*time.Millisecond)
				return
			}
			respondOK(s, c, r, body)
		}, 0, false, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			stub := startStub(t, "u1", tt.serve)
			h := startHarness(t, stub)
			left, err := h.relayer.Probe(h.tables.Load().Pool("s").Upstreams[0], "/health")
			is.Equal(left, tt.left)
			is.Equal(err == nil, tt.ok)
			is.Equal(h.do("GET", "/safe/x", "").status, 200)
			is.Equal(stub.conns.Load(), tt.conns)
		})
	}
}

// TestProbeRunsNowhere guards against a health check that runs as a request. While the store
// is down, the address of an upstream that has ended may go to another service's upstream,
// whose health checks have another path and which runs each request that has an ID.
func TestProbeRunsNowhere(t *testing.T) {
	is := is.New(t)
	stub := startStub(t, "u2", func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
		switch expected := r.Header.Get("Expect"); {
		case expected != "" && expected != s.id:
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 X\r\nUpstream: %s\r\nContent-Length: 0\r\n\r\n", s.id)
		case r.Header.Get("Id") == "":
			_, _ = fmt.Fprint(c, "HTTP/1.1 400 X\r\nNotrun: 1\r\nContent-Length: 0\r\n\r\n")
		default:
			respondOK(s, c, r, body)
		}
	})
	h := startHarness(t, stub)
	// The registration is that of the upstream which had the address before.
	h.publish(func(v *steerer.View) { v.Upstreams[0].ID = "u1" })
	u := h.tables.Load().Pool("s").Upstreams[0]
	_, err := h.relayer.Probe(u, "/health")
	is.True(errors.Is(err, errGone))
	is.True(u.Unreachable(h.now()))
	is.Equal(stub.runCount(), 0)
	is.True(stub.seen[0].Header.Get("Expect") == "u1" && stub.seen[0].Header.Get("Id") == "")
}
