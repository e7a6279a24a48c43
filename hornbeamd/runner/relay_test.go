package runner

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"hornbeamstream.example/core/hornpb/hornpbconnect"
	"hornbeamstream.example/core/steerer"
)

// silencer is a listener whose open connections can go silent for good. The kernel goes on
// acknowledging what arrives on them, and new ones work.
type silencer struct {
	net.Listener

	mu    sync.Mutex
	conns []*silencedConn
}

// silencedConn is a connection that receives and sends nothing once it is silent.
type silencedConn struct {
	net.Conn
	silent atomic.Bool
}

func (s *silencer) Accept() (net.Conn, error) {
	nc, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silencedConn{Conn: nc}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
	return c, nil
}

// silence makes all open connections silent.
func (s *silencer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.silent.Store(true)
	}
}

func (c *silencedConn) Read(p []byte) (n int, err error) {
	for {
		if n, err = c.Conn.Read(p); err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *silencedConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// TestFetchAfterSilentConnection guards against an instance that never again gets changes
// from another one because its connection to it has gone silent for good.
func TestFetchAfterSilentConnection(t *testing.T) {
	is := is.New(t)
	cfg := Config{Self: steerer.Instance{Name: "i"}, Store: newMemoryStore(), Directory: plainDialect{}, Dialect: plainDialect{}, Log: logr.Discard(), Clock: NewClock()}
	from, to := New(cfg), New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = from.runControl(ctx) }()
	from.events <- steerer.Changed{Now: from.now(), Kind: steerer.Configs, Objects: []steerer.Object{{Name: "main", Config: &steerer.Config{Version: 3}}}, Revision: 7}

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := &silencer{Listener: ln}
	mux := http.NewServeMux()
	mux.Handle(hornpbconnect.NewRelayHandler(from.relay))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	fetch := func() uint64 {
		go to.relay.fetch(steerer.Fetch{Kind: steerer.Configs, From: steerer.Instance{Name: "i", Beacon: ln.Addr().String()}})
		return (<-to.events).(steerer.Fetched).Revision
	}
	is.Equal(fetch(), uint64(7))
	listener.silence()
	is.Equal(fetch(), uint64(0)) // ends with its time limit, and the connection with it
	is.Equal(fetch(), uint64(7))
}

// TestUnendingReply guards against keeping what another instance, or whoever has its
// address, sends without end.
func TestUnendingReply(t *testing.T) {
	// maxSent is what the limits and the kernel's buffers take.
	const maxSent = 4 * maxChangesBytes
	for name, text := range map[string][2]string{
		"header":  {"HTTP/1.1 200 OK\r\n", "Pad: " + strings.Repeat("x", 1000) + "\r\n"},
		"interim": {"", "HTTP/1.1 103 Early Hints\r\nPad: x\r\n\r\n"},
		"body":    {"HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n", strings.Repeat("x", 32<<10)},
		"chunks":  {"HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nTransfer-Encoding: chunked\r\n\r\n", "8000\r\n" + strings.Repeat("x", 32<<10) + "\r\n"},
		"error":   {"HTTP/1.1 500 X\r\nContent-Type: application/json\r\n\r\n", strings.Repeat("x", 32<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = ln.Close() })
			sent := make(chan int, 1)
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				n, err := io.WriteString(c, text[0])
				for m := 0; err == nil && n <= maxSent; n += m {
					m, err = io.WriteString(c, text[1])
				}
				sent <- n
			}()
			l := newRelay(&Runner{cfg: Config{Clock: NewClock()}})
			_, err = l.requestChanges(t.Context(), steerer.Fetch{Kind: steerer.Configs, From: steerer.Instance{Beacon: ln.Addr().String()}})
			is.True(err != nil)
			n := <-sent
			t.Logf("%d bytes sent", n)
			is.True(n <= maxSent)
		})
	}
}

// TestFetchWithoutFinalResponse guards against taking for the changes of another instance
// what is no final HTTP response.
func TestFetchWithoutFinalResponse(t *testing.T) {
	for line, want := range map[string]bool{
		"HTTP/1.1 200 OK": true, "HTTP/1.1 000 OK": false, "HTTP/1.1 200 OK\r\nO dd: v": false, "HTTP/1.1 200 OK\r\nOdd : v": false,
	} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = ln.Close() }()
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = c.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(c, line+"\r\nContent-Type: application/proto\r\nContent-Length: 0\r\n\r\n")
				_ = c.Close()
			}()
			r := New(Config{Store: newMemoryStore(), Directory: plainDialect{}, Dialect: plainDialect{}, Log: logr.Discard(), Clock: NewClock()})
			_, err = r.relay.requestChanges(t.Context(), steerer.Fetch{From: steerer.Instance{Beacon: ln.Addr().String()}})
			is.Equal(err == nil, want)
		})
	}
}
