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
const maxStarted = 8

// scanner finds the ends of heads, which may come in pieces. A head ends with an
// empty line; lines end with a line feed, as the codec reads them.
type scanner struct{ empty bool }

// scan returns the length of p up to the end of the head, or of all of it if the
// head goes on.
func (s *scanner) scan(p []byte) (n int, whole bool) {
	for i, b := range p {
		switch {
		case b == '\n' && s.empty:
			s.empty = false
			return i + 1, true
		case b == '\n':
			s.empty = true
		case b != '\r':
			s.empty = false
		}
	}
	return len(p), false
}

// started is a request that is relayed before its turn.
type started struct {
	ctx  *fasthttp.RequestCtx
	done chan struct{}
}

// startBehind starts the requests that wait behind the one in hand. Nothing is
// started that would be lost when the connection closes with an answer before.
func (r *Relayer) startBehind(ctx *fasthttp.RequestCtx) {
	c, ok := ctx.Conn().(*conn)
	if !ok || ctx.Request.ConnectionClose() {
		return
	}
	for len(c.started) < maxStarted && !c.loose && !r.closing.Load() {
		rest := c.ahead[c.begun:]
		n, whole := (&scanner{}).scan(rest)
		if !whole {
			return
		}
		head := rest[:n]
		s := r.parse(c, head)
		if s == nil {
			return
		}
		c.begun += len(head)
		c.started = append(c.started, s)
		go func() {
			defer close(s.done)
			r.serve(s.ctx, true)
		}()
	}
}

// lookBehind starts what has arrived behind the request while it waits for its
// answer.
func (r *Relayer) lookBehind(c *call) {
	caller, ok := c.ctx.Conn().(*conn)
	if !ok || c.early {
		return
	}
	if caller.closed() {
		caller.left.Store(true)
	}
	r.startBehind(c.ctx)
}

// parse reads the head of a request. It returns nil for one that must wait for its
// turn.
func (r *Relayer) parse(c *conn, head []byte) *started {
	s := &started{ctx: &fasthttp.RequestCtx{}, done: make(chan struct{})}
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
func (c *conn) next(h *fasthttp.RequestHeader) *started {
	if len(c.started) == 0 {
		return nil
	}
	s := c.started[0]
	if !s.is(h) {
		c.loose, c.started = true, nil
		return nil
	}
	c.started = c.started[1:]
	return s
}

// is tells whether a request is the started one, byte by byte.
func (s *started) is(h *fasthttp.RequestHeader) bool {
	own := &s.ctx.Request.Header
	return bytes.Equal(own.Method(), h.Method()) &&
		bytes.Equal(own.RequestURI(), h.RequestURI()) &&
		bytes.Equal(own.RawHeaders(), h.RawHeaders())
}

// finishStarted answers with what was started before. Meanwhile it looks whether
// the caller is still there, and for further requests.
func (r *Relayer) finishStarted(ctx *fasthttp.RequestCtx, c *conn, s *started) {
	look := time.NewTicker(checkTime)
	defer look.Stop()
	for {
		r.startBehind(ctx)
		select {
		case <-s.done:
			s.ctx.Response.CopyTo(&ctx.Response)
			return
		case <-look.C:
			if c.closed() {
				c.left.Store(true)
			}
		}
	}
}
