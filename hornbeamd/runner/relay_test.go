package runner

import (
	"context"
	"net"
	"net/http"
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
