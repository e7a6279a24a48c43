package runner

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"hornbeamstream.example/hornbeamd/acceptor"
	"hornbeamstream.example/hornbeamd/exporter"
)

// listenTCP opens a listener that is closed when the context is done. Name stands
// for the address in errors.
func listenTCP(ctx context.Context, name, address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s address: %w", name, err)
	}
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	return ln, nil
}

// startServers opens the listeners and starts the servers. It returns the front
// listener.
func (r *Runner) startServers(ctx context.Context, group *errgroup.Group) (net.Listener, error) {
	front, err := listenTCP(ctx, "front", r.cfg.Self.Front)
	if err != nil {
		return nil, err
	}
	group.Go(func() error {
		// Serve returns during a graceful shutdown, when the listener is closed,
		// and must not end the group.
		_ = r.relayer.Serve(front)
		close(r.frontClosed)
		return nil
	})
	lookup := r.cfg.Directory.Handler(r.validView)
	handler := func(ctx *fasthttp.RequestCtx) {
		if !r.recoverer.Do("look-up", func() { lookup(ctx) }) {
			ctx.Error("unexpected error\n", fasthttp.StatusInternalServerError)
		}
	}
	for _, address := range []string{r.cfg.DirectoryAddress, r.cfg.ReadyAddress} {
		if address == "" {
			continue
		}
		ln, err := listenTCP(ctx, "look-up", address)
		if err != nil {
			return nil, err
		}
		s := &fasthttp.Server{
			Handler: handler, NoDefaultServerHeader: true, NoDefaultDate: true, DisablePreParseMultipartForm: true,
			IdleTimeout: time.Minute, ReadTimeout: lookupTimeout, WriteTimeout: lookupTimeout, MaxRequestBodySize: maxLookupBytes,
		}
		group.Go(func() error { return s.Serve(r.bounded(ln)) })
	}
	if r.cfg.AdminAddress == "" {
		return front, nil
	}
	ln, err := listenTCP(ctx, "admin", r.cfg.AdminAddress)
	if err != nil {
		// The instance can serve without metrics.
		r.cfg.Log.Info("can't listen on the admin address; metrics are not served", "cause", err.Error())
		return front, nil
	}
	admin := exporter.Admin{Registry: r.registry, Timeline: r.timeline, Status: r.status, Explain: r.explain, Ready: func() bool { return r.validView().Ready }}
	group.Go(func() error { return admin.Server().Serve(r.bounded(ln)) })
	return front, nil
}

const (
	// lookupTimeout limits the time in which a look-up or readiness check arrives, and
	// that in which it is answered. maxLookupBytes limits its body, which is not used.
	lookupTimeout  = 5 * time.Second
	maxLookupBytes = 1 << 10
)

// bounded returns a listener with a bound on its open connections.
func (r *Runner) bounded(ln net.Listener) net.Listener {
	return &acceptor.Listener{Listener: ln, Max: r.cfg.MaxLookupConns, OnShortage: func(err error) {
		r.cfg.Log.Info("shortage", "what", "descriptors", "address", ln.Addr().String(), "cause", err.Error())
	}}
}
