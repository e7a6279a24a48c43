package server

import (
	"bytes"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/router"
	"hornbeamstream.example/hornbeamd/forwarder"
)

const (
	servicePrefix = "/s/"
	lookupPath    = "/v1/lookup"
	healthPath    = "/health"
	// lookupTime is how long callers may cache the response to a look-up.
	lookupTTL = 5 * time.Second
)

// reply is the status and message of a response to a bad request.
type rejection struct {
	status  int
	message string
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.closing.Load() {
		defer ctx.Response.SetConnectionClose()
	}
	uri := ctx.Request.Header.RequestURI()
	if bytes.HasPrefix(uri, []byte(servicePrefix)) {
		s.handleRequest(ctx, uri[len(servicePrefix):])
		return
	}
	path := uri
	if i := bytes.IndexByte(uri, '?'); i >= 0 {
		path = uri[:i]
	}
	switch string(path) {
	case healthPath:
		s.handleHealth(ctx)
	case lookupPath:
		s.handleLookup(ctx)
	default:
		forwarder.WriteError(ctx, fasthttp.StatusNotFound, "There is nothing at this path.")
	}
}

func (s *Server) handleHealth(ctx *fasthttp.RequestCtx) {
	state := "ready"
	if s.leaving.Load() {
		state = "leaving"
		ctx.Response.Header.Set(forwarder.HeaderState, state)
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyString(`{"state":"` + state + "\"}\n")
}

// handleLookup returns the instances that a caller should use.
func (s *Server) handleLookup(ctx *fasthttp.RequestCtx) {
	addr := remoteAddr(ctx)
	if v := ctx.QueryArgs().Peek("block"); len(v) > 0 {
		var err error
		if addr, err = netip.ParseAddr(string(v)); err != nil {
			forwarder.WriteError(ctx, fasthttp.StatusBadRequest, "The block is not an IP address.")
			return
		}
	}
	ctx.SetContentType("application/json")
	until := (s.cfg.Now() + int64(lookupTTL)) / int64(time.Millisecond)
	body := s.cfg.Resolver.AppendAnswer(ctx.Response.Body()[:0], addr.Unmap(), until)
	ctx.Response.SetBodyRaw(append(body, '\n'))
}

// remoteAddr returns the remote IP address of the connection.
func remoteAddr(ctx *fasthttp.RequestCtx) netip.Addr {
	if a, ok := ctx.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// pooledRequest is a request with a buffer for a generated ID.
type pooledRequest struct {
	forwarder.Request
	id [32]byte
}

var requestPool = sync.Pool{New: func() any { return new(pooledRequest) }}

// handleRequest validates a request for a service and forwards it.
func (s *Server) handleRequest(ctx *fasthttp.RequestCtx, rest []byte) {
	in := requestPool.Get().(*pooledRequest)
	defer requestPool.Put(in)
	r := &in.Request
	*r = forwarder.Request{Table: s.cfg.Tables.Table(), Arrived: s.cfg.Now(), Hop: s.cfg.Hops}
	if r.Table == nil || r.Table.Version == 0 {
		s.refuseStarting(ctx)
		return
	}
	if bad := s.parse(ctx, rest, in); bad.status != 0 {
		forwarder.WriteError(ctx, bad.status, bad.message)
		return
	}
	if s.cfg.Now() >= r.Deadline {
		forwarder.WriteOutcome(ctx, r.UnsentOutcome(), router.DeadlineExceeded, s.cfg.Now())
		ctx.Response.Header.SetBytesV(forwarder.HeaderID, r.ID)
		return
	}
	s.cfg.Handler.Forward(ctx, r)
}

// refuseStarting refuses a request before the configuration is loaded, when the
// services and their retry rules are unknown. For a caller's retry the outcome is
// unknown, because an earlier attempt may have run.
func (s *Server) refuseStarting(ctx *fasthttp.RequestCtx) {
	h := &ctx.Request.Header
	outcome := forwarder.OutcomeNotRun
	if a := h.Peek(forwarder.HeaderAttempt); !s.cfg.Hops && len(a) > 0 && string(a) != "1" {
		outcome = forwarder.OutcomeUnknown
	}
	forwarder.WriteOutcome(ctx, outcome, forwarder.ReasonStarting, s.cfg.Now())
	if id := h.Peek(forwarder.HeaderID); forwarder.ValidateID(id) == nil {
		ctx.Response.Header.SetBytesV(forwarder.HeaderID, id)
	}
}

// handleReadError responds to a request that fasthttp could not read.
func handleReadError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.As(err, &small):
		forwarder.WriteError(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, "The header is larger than 8 KB.")
	case errors.As(err, &netErr) && netErr.Timeout():
		forwarder.WriteError(ctx, fasthttp.StatusRequestTimeout, "The request did not arrive in time.")
	default:
		forwarder.WriteError(ctx, fasthttp.StatusBadRequest, "The request is malformed.")
	}
}
