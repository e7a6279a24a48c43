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
	// lookupTime is how long callers may keep the answer to a look-up.
	lookupTime = 5 * time.Second
)

// reply is a bad request's status and sentence.
type reply struct {
	status   int
	sentence string
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.closing.Load() {
		defer ctx.Response.SetConnectionClose()
	}
	uri := ctx.Request.Header.RequestURI()
	if bytes.HasPrefix(uri, []byte(servicePrefix)) {
		s.request(ctx, uri[len(servicePrefix):])
		return
	}
	path := uri
	if i := bytes.IndexByte(uri, '?'); i >= 0 {
		path = uri[:i]
	}
	switch string(path) {
	case healthPath:
		s.health(ctx)
	case lookupPath:
		s.lookup(ctx)
	default:
		forwarder.WriteError(ctx, fasthttp.StatusNotFound, "There is nothing at this path.")
	}
}

func (s *Server) health(ctx *fasthttp.RequestCtx) {
	state := "ready"
	if s.leaving.Load() {
		state = "leaving"
		ctx.Response.Header.Set(forwarder.HeaderState, state)
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyString(`{"state":"` + state + "\"}\n")
}

// lookup tells a caller which instances to use.
func (s *Server) lookup(ctx *fasthttp.RequestCtx) {
	addr := source(ctx)
	if v := ctx.QueryArgs().Peek("block"); len(v) > 0 {
		var err error
		if addr, err = netip.ParseAddr(string(v)); err != nil {
			forwarder.WriteError(ctx, fasthttp.StatusBadRequest, "The block is not an IP address.")
			return
		}
	}
	ctx.SetContentType("application/json")
	until := (s.cfg.Now() + int64(lookupTime)) / int64(time.Millisecond)
	body := s.cfg.Resolver.AppendAnswer(ctx.Response.Body()[:0], addr.Unmap(), until)
	ctx.Response.SetBodyRaw(append(body, '\n'))
}

// source is the address that a connection comes from.
func source(ctx *fasthttp.RequestCtx) netip.Addr {
	if a, ok := ctx.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// inbound is a request with room for an id.
type inbound struct {
	forwarder.Request
	id [32]byte
}

var requests = sync.Pool{New: func() any { return new(inbound) }}

// request checks a request for a service and has it forwarded.
func (s *Server) request(ctx *fasthttp.RequestCtx, rest []byte) {
	in := requests.Get().(*inbound)
	defer requests.Put(in)
	r := &in.Request
	*r = forwarder.Request{Table: s.cfg.Tables.Table(), Arrived: s.cfg.Now(), Hop: s.cfg.Hops}
	if r.Table == nil || r.Table.Version == 0 {
		s.starting(ctx)
		return
	}
	if bad := s.parse(ctx, rest, in); bad.status != 0 {
		forwarder.WriteError(ctx, bad.status, bad.sentence)
		return
	}
	if s.cfg.Now() >= r.Deadline {
		forwarder.WriteOutcome(ctx, r.UnsentOutcome(), router.DeadlineExceeded, s.cfg.Now())
		ctx.Response.Header.SetBytesV(forwarder.HeaderID, r.ID)
		return
	}
	s.cfg.Handler.Forward(ctx, r)
}

// starting answers before there is a configuration, which tells the services and
// what may be repeated. A repeat that names no first attempt may have run.
func (s *Server) starting(ctx *fasthttp.RequestCtx) {
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

// badRequest answers what the codec could not read.
func badRequest(ctx *fasthttp.RequestCtx, err error) {
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
