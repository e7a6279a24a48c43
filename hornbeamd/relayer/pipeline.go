package relayer

import (
	"bufio"
	"bytes"
	"time"

	"github.com/valyala/fasthttp"
)

// Callers may send further requests before the first is answered. Those that may
// run more than once are relayed at once; answers go out in the order of the
// requests.

// maxStarted bounds the requests of a connection that are relayed before their
// turn.
const maxPipelined = 8

// scanner finds the ends of heads, which may come in pieces. A head ends with an
// empty line; lines end with a line feed, as the codec reads them.
type headerScanner struct{ emptyLine bool }

// scan returns the length of p up to the end of the head, or of all of it if the
// head goes on.
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

// started is a request that is relayed before its turn.
type pipelined struct {
	ctx  *fasthttp.RequestCtx
	done chan struct{}
}

// startBehind starts the requests that wait behind the one in hand. Nothing is
// started that would be lost when the connection closes with an answer before.
func (r *Relayer) startPipelined(ctx *fasthttp.RequestCtx) {
	c, ok := ctx.Conn().(*conn)
	if !ok || ctx.Request.ConnectionClose() {
		return
	}
	for len(c.pipelined) < maxPipelined && !c.boundaryLost && !r.draining.Load() {
		rest := c.readAhead[c.startedBytes:]
		n, whole := (&headerScanner{}).scan(rest)
		if !whole {
			return
		}
		head := rest[:n]
		s := r.parsePipelined(c, head)
		if s == nil {
			return
		}
		c.startedBytes += len(head)
		c.pipelined = append(c.pipelined, s)
		go func() {
			defer close(s.done)
			r.serve(s.ctx, true)
		}()
	}
}

// lookBehind starts what has arrived behind the request while it waits for its
// answer.
func (r *Relayer) pollPipelined(c *call) {
	caller, ok := c.ctx.Conn().(*conn)
	if !ok || c.pipelined {
		return
	}
	if caller.pollClosed() {
		caller.peerClosed.Store(true)
	}
	r.startPipelined(c.ctx)
}

// parse reads the head of a request. It returns nil for one that must wait for its
// turn.
func (r *Relayer) parsePipelined(c *conn, head []byte) *pipelined {
	s := &pipelined{ctx: &fasthttp.RequestCtx{}, done: make(chan struct{})}
	s.ctx.Init2(c, nil, false)
	h := &s.ctx.Request.Header
	if err := h.Read(bufio.NewReaderSize(bytes.NewReader(head), len(head)+1)); err != nil {
		return nil
	}
	if !h.IsGet() || !h.IsHTTP11() || h.ConnectionClose() || h.ContentLength() > 0 || len(h.Peek(fasthttp.HeaderTransferEncoding)) > 0 {
		return nil
	}
	t := r.cfg.Tables.Load()
	if !t.HasConfig() {
		return nil
	}
	if route := t.Route(host(s.ctx), path(s.ctx)); route == nil || !route.Idempotent {
		return nil
	}
	return s
}

// next returns the started request that a request is, or nil. Started requests
// that do not match are of no use: the codec has read heads otherwise.
func (c *conn) takePipelined(h *fasthttp.RequestHeader) *pipelined {
	if len(c.pipelined) == 0 {
		return nil
	}
	s := c.pipelined[0]
	if !s.matches(h) {
		c.boundaryLost, c.pipelined = true, nil
		return nil
	}
	c.pipelined = c.pipelined[1:]
	return s
}

// is tells whether a request is the started one, byte by byte.
func (s *pipelined) matches(h *fasthttp.RequestHeader) bool {
	own := &s.ctx.Request.Header
	return bytes.Equal(own.Method(), h.Method()) &&
		bytes.Equal(own.RequestURI(), h.RequestURI()) &&
		bytes.Equal(own.RawHeaders(), h.RawHeaders())
}

// finishStarted answers with what was started before. Meanwhile it looks whether
// the caller is still there, and for further requests.
func (r *Relayer) awaitPipelined(ctx *fasthttp.RequestCtx, c *conn, s *pipelined) {
	look := time.NewTicker(callerPollInterval)
	defer look.Stop()
	for {
		r.startPipelined(ctx)
		select {
		case <-s.done:
			s.ctx.Response.CopyTo(&ctx.Response)
			return
		case <-look.C:
			if c.pollClosed() {
				c.peerClosed.Store(true)
			}
		}
	}
}
