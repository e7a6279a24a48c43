package relayer

import (
	"bufio"
	"bytes"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Callers may pipeline requests. Idempotent ones are relayed at once; the
// responses are written in the order of the requests.

// maxPipelined limits the requests per connection that are relayed before their
// turn.
const maxPipelined = 8

// headerScanner finds the ends of request headers, which may arrive in pieces.
// A header ends with an empty line. Lines end with a line feed, with or without
// a carriage return, as in fasthttp.
type headerScanner struct{ emptyLine bool }

// scan returns the length of p up to the end of the header, or len(p) if the
// header continues.
func (s *headerScanner) scan(p []byte) (n int, whole bool) {
	for i, b := range p {
		switch {
		case b == '\n' && s.emptyLine:
			s.emptyLine = false
			return i + 1, true
		case b == '\n':
			s.emptyLine = true
		case b != '\r':
			s.emptyLine = false
		}
	}
	return len(p), false
}

// pipelined is a request that is relayed before its turn.
type pipelined struct {
	ctx  *fasthttp.RequestCtx
	done chan struct{}
	// held is the number of bytes reserved for the response until its turn comes.
	held atomic.Int64
	// dropped reports that the turn of the response never comes.
	dropped atomic.Bool
}

// hold adds reserved bytes of the response. They are released at once if its turn never comes.
func (p *pipelined) hold(b *byteBudget, bytes int64) {
	p.held.Add(bytes)
	if p.dropped.Load() {
		b.Release(p.held.Swap(0))
	}
}

// dropPipelined releases the bytes of the responses whose turn never comes.
func (c *conn) dropPipelined(b *byteBudget) {
	for _, p := range c.pipelined {
		p.dropped.Store(true)
		b.Release(p.held.Swap(0))
	}
	c.pipelined = nil
}

// startPipelined starts the requests that follow the current one. It starts
// none if the connection closes with an earlier response, which would lose
// theirs.
func (r *Relayer) startPipelined(ctx *fasthttp.RequestCtx) {
	c, ok := ctx.Conn().(*conn)
	if !ok || ctx.Request.ConnectionClose() {
		return
	}
	for len(c.pipelined) < maxPipelined && !c.boundaryLost && !r.draining() {
		rest := c.readAhead[c.startedBytes:]
		n, whole := (&headerScanner{}).scan(rest)
		if !whole {
			return
		}
		header := rest[:n]
		p := r.parsePipelined(c, header)
		if p == nil {
			return
		}
		c.startedBytes += len(header)
		c.pipelined = append(c.pipelined, p)
		go func() {
			defer close(p.done)
			r.serve(p.ctx, p, requestBody{}, r.cfg.Now())
		}()
	}
}

// pollPipelined starts the requests that have arrived after c while c waits for
// its response.
func (r *Relayer) pollPipelined(c *call) {
	caller, ok := c.ctx.Conn().(*conn)
	if !ok || c.pipelined != nil {
		return
	}
	if caller.pollClosed() {
		caller.peerClosed.Store(true)
	}
	r.startPipelined(c.ctx)
}

// parsePipelined parses a request header. It returns nil if the request must
// wait for its turn.
func (r *Relayer) parsePipelined(c *conn, header []byte) *pipelined {
	p := &pipelined{ctx: &fasthttp.RequestCtx{}, done: make(chan struct{})}
	p.ctx.Init2(c, nil, false)
	h := &p.ctx.Request.Header
	if err := h.Read(bufio.NewReaderSize(bytes.NewReader(header), len(header)+1)); err != nil {
		return nil
	}
	if !h.IsGet() || !h.IsHTTP11() || h.ConnectionClose() || h.ContentLength() > 0 || len(h.Peek(fasthttp.HeaderTransferEncoding)) > 0 {
		return nil
	}
	t := r.cfg.Tables.Load()
	if !t.HasConfig() {
		return nil
	}
	if route := t.Route(host(p.ctx), path(p.ctx)); route == nil || !route.Idempotent {
		return nil
	}
	return p
}

// takePipelined returns the pipelined request with the given header, or nil. If
// the first one does not match, fasthttp has split the headers differently and
// all are dropped.
func (c *conn) takePipelined(b *byteBudget, h *fasthttp.RequestHeader) *pipelined {
	if len(c.pipelined) == 0 {
		return nil
	}
	p := c.pipelined[0]
	if !p.matches(h) {
		c.boundaryLost = true
		c.dropPipelined(b)
		return nil
	}
	c.pipelined = c.pipelined[1:]
	return p
}

// matches reports whether h is byte for byte the header of the pipelined
// request.
func (p *pipelined) matches(h *fasthttp.RequestHeader) bool {
	own := &p.ctx.Request.Header
	return bytes.Equal(own.Method(), h.Method()) &&
		bytes.Equal(own.RequestURI(), h.RequestURI()) &&
		bytes.Equal(own.RawHeaders(), h.RawHeaders())
}

// awaitPipelined waits for the response of a pipelined request. Meanwhile it
// starts further requests and polls whether the caller has closed the
// connection.
func (r *Relayer) awaitPipelined(ctx *fasthttp.RequestCtx, c *conn, p *pipelined) {
	poll := time.NewTicker(callerPollInterval)
	defer poll.Stop()
	for {
		r.startPipelined(ctx)
		select {
		case <-p.done:
			passResponse(&ctx.Response, &p.ctx.Response)
			c.hold(&r.byteBudget, p.held.Swap(0))
			return
		case <-poll.C:
			if c.pollClosed() {
				c.peerClosed.Store(true)
			}
		}
	}
}

// passResponse passes a response on without copying its body.
func passResponse(to, from *fasthttp.Response) {
	from.Header.CopyTo(&to.Header)
	to.SkipBody = from.SkipBody
	to.SetBodyRaw(from.Body())
}
