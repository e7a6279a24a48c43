// Package server answers callers and other instances over HTTP. It checks
// requests before anything is forwarded.
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
	// headSize bounds the head of a request in bytes, hopSize that of one which
	// another instance has added its headers to.
	headSize = 8 << 10
	hopSize  = headSize + 1<<10
	// headTime bounds the arrival of a request's head and body, idleTime the
	// wait for the next request, writeTime the taking of an answer.
	headTime  = 60 * time.Second
	idleTime  = 90 * time.Second
	writeTime = 60 * time.Second
	// closeTime is how long answers carry "Connection: close" before idle
	// connections are closed, so that callers in a request cycle end it
	// themselves.
	closeTime = time.Second
	// chunkSize is the size of the buffer for answers.
	chunkSize = 16 << 10
)

// Tables gives the table in force.
type Tables interface{ Table() *router.Table }

// Handler carries a checked request and writes its answer.
type Handler interface {
	Forward(ctx *fasthttp.RequestCtx, r *forwarder.Request)
}

// Resolver knows callers' blocks.
type Resolver interface {
	// Region returns the home region of an address.
	HomeRegion(addr netip.Addr) string
	// Append appends the JSON answer to a look-up for addr, which callers may
	// keep until the given Unix time in milliseconds.
	AppendAnswer(dst []byte, addr netip.Addr, until int64) []byte
}

// Config has the parts that a Server needs.
type Config struct {
	Tables   Tables
	Handler  Handler
	Resolver Resolver
	// Hops makes the server take requests of other instances instead of
	// callers.
	Hops bool
	// Now gives the time in Unix nanoseconds. The default is the system's clock.
	Now func() int64
}

// Server answers on one address. New makes one.
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
	size := headSize
	if cfg.Hops {
		size = hopSize
	}
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 badRequest,
		ReadBufferSize:               size,
		WriteBufferSize:              chunkSize,
		ReadTimeout:                  headTime,
		IdleTimeout:                  idleTime,
		WriteTimeout:                 writeTime,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
		Logger:                       quiet{},
	}
	return s
}

// Serve answers requests on the connections that ln accepts, until Shutdown.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// Leave makes the health answer say that the instance is leaving.
func (s *Server) Leave() { s.leaving.Store(true) }

// Shutdown keeps serving until the given time, at which callers no longer know
// of this instance. It then closes each connection after its next answer, stops
// accepting, and returns when all requests have ended or ctx is done.
func (s *Server) Shutdown(ctx context.Context, until time.Time) error {
	s.Leave()
	if err := sleep(ctx, time.Until(until)); err != nil {
		return errors.Join(err, s.http.ShutdownWithContext(ctx))
	}
	s.closing.Store(true)
	err := sleep(ctx, closeTime)
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

// quiet drops the codec's log lines, which callers could cause at will.
type quiet struct{}

func (quiet) Printf(string, ...any) {}
