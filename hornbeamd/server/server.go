// Package server is the HTTP server for callers and other instances. It validates
// requests before they are forwarded.
package server

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/router"
	"hornbeamstream.example/hornbeamd/forwarder"
)

const (
	// maxHeaderBytes bounds the request line and headers, maxHopHeaderBytes those
	// of a request to which another instance has added its headers.
	maxHeaderBytes    = 8 << 10
	maxHopHeaderBytes = maxHeaderBytes + 1<<10
	// readTimeout bounds reading a request with its body, idleTimeout the wait for
	// the next request, writeTimeout writing a response.
	readTimeout  = 60 * time.Second
	idleTimeout  = 90 * time.Second
	writeTimeout = 60 * time.Second
	// closeDelay is how long responses carry "Connection: close" before idle
	// connections are closed, so that active callers close theirs first.
	closeDelay      = time.Second
	writeBufferSize = 16 << 10
)

// Tables returns the current routing table.
type Tables interface{ Table() *router.Table }

// Handler forwards a validated request and writes the response.
type Handler interface {
	Forward(ctx *fasthttp.RequestCtx, r *forwarder.Request)
}

// Resolver maps callers' addresses to regions and instances.
type Resolver interface {
	// Region returns the home region of an address.
	HomeRegion(addr netip.Addr) string
	// Append appends the JSON response to a look-up for addr, which callers may
	// cache until the given Unix time in milliseconds.
	AppendAnswer(dst []byte, addr netip.Addr, until int64) []byte
}

// Config holds the dependencies and settings of a Server.
type Config struct {
	Tables   Tables
	Handler  Handler
	Resolver Resolver
	// Hops makes the server accept requests from other instances instead of
	// callers.
	Hops bool
	// Now returns the time in Unix nanoseconds. The default is the system clock.
	Now func() int64
}

// Server serves one listening address. Use New to create one.
type Server struct {
	cfg     Config
	http    *fasthttp.Server
	leaving atomic.Bool
	closing atomic.Bool
}

// New returns a Server.
func New(cfg Config) *Server {
	if cfg.Now == nil {
		cfg.Now = func() int64 { return time.Now().UnixNano() }
	}
	s := &Server{cfg: cfg}
	size := maxHeaderBytes
	if cfg.Hops {
		size = maxHopHeaderBytes
	}
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 handleReadError,
		ReadBufferSize:               size,
		WriteBufferSize:              writeBufferSize,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		WriteTimeout:                 writeTimeout,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
		Logger:                       discardLogger{},
	}
	return s
}

// Serve serves connections accepted from ln until Shutdown.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// Leave makes the health check report that the instance is leaving.
func (s *Server) Leave() { s.leaving.Store(true) }

// Shutdown keeps serving until the given time, when callers' cached look-ups of
// this instance have expired. It then closes each connection after its next
// response, stops accepting, and returns when all requests have ended or ctx is
// done.
func (s *Server) Shutdown(ctx context.Context, until time.Time) error {
	s.Leave()
	if err := sleep(ctx, time.Until(until)); err != nil {
		return errors.Join(err, s.http.ShutdownWithContext(ctx))
	}
	s.closing.Store(true)
	err := sleep(ctx, closeDelay)
	return errors.Join(err, s.http.ShutdownWithContext(ctx))
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// discardLogger drops fasthttp's log lines, because callers could flood the log.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
